//! Runs the plan of one seed.

use std::{
    collections::BTreeMap,
    fs,
    net::IpAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{
    Behaviour, ConfigDocument, FakeBackend, FakeStore, ReceivedRequest, StoreFault, backend_row,
    config_row,
};
use tokio::{task::JoinSet, time};

use crate::{
    ZONES, announcements, checks,
    clients::{RequestRecord, Traffic},
    cluster::{Client, Network, get_request, lookup, readiness_status},
    crashing::CrashingClient,
    cuts::{self, Cut, CutPeriod, Cuts},
    plan::{FAULT_PHASE, Fault, Plan},
    processes::Process,
    proxy::{LinkMode, Proxy},
    rate_limits::{self, LimitedPeriod},
    retries,
};

const SERVICE: &str = "shop";
/// Number of instances from which the configuration has many routes.
const MANY_ROUTES_MIN_INSTANCES: usize = 16;
const MANY_ROUTES: usize = 1_400;
const SERVERS: usize = 6;
/// The last number of the first server's IP address, above those of the instances.
const FIRST_SERVER_HOST: usize = 240;
const CLIENTS: u64 = 14;
/// Time after the last fault within which the deployment must recover: contact with the
/// store, lookups of clients, and use of servers that had failed.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(7);
/// Time after recovery in which requests must succeed.
const STEADY_PHASE: Duration = Duration::from_secs(2);

/// A backend server behind its proxy.
pub(crate) struct Server {
    pub(crate) backend: FakeBackend,
    pub(crate) drained_at: Mutex<Option<Instant>>,
    proxy: Proxy,
    zone: &'static str,
}

/// All processes, fakes and proxies of a run.
pub(crate) struct Deployment {
    pub(crate) instances: Vec<Process>,
    pub(crate) servers: Vec<Server>,
    pub(crate) problems: Mutex<Vec<String>>,
    /// Times during which an instance was killed, stopped or paused.
    disturbances: Mutex<Vec<Disturbance>>,
    limited_periods: Mutex<Vec<LimitedPeriod>>,
    cuts: Cuts,
    cut_periods: Mutex<Vec<CutPeriod>>,
    /// Servers whose links had a fault, and when.
    link_faults: Mutex<Vec<(usize, Instant, Instant)>>,
    store: FakeStore,
    store_proxies: Vec<Proxy>,
    config: Mutex<ConfigDocument>,
    _network: Network,
}

struct Disturbance {
    instance: usize,
    from: Instant,
    to: Instant,
}

/// Runs `seed` with `instances` instances and returns the problems found.
pub(crate) async fn run(seed: u64, instances: usize) -> Vec<String> {
    let plan = Plan::generate(seed, instances, SERVERS);
    let deployment = Arc::new(set_up(seed, instances).await);
    // Dropped at the end of the run, since its tasks keep the deployment's processes.
    let _restarts = deployment.watch_restarts();
    let traffic = Traffic::new(deployment.instances.iter().map(|i| i.lookup_addr).collect(), seed);
    let clients: Vec<_> = (0..CLIENTS).map(|n| tokio::spawn(Arc::clone(&traffic).run(n))).collect();
    // Responses are lost with a server, so runs of planned operations have no crashes.
    let crashing = (!plan.is_planned_only).then(|| CrashingClient::new(seed));
    let crashing_task =
        crashing.clone().map(|client| tokio::spawn(client.run(Arc::clone(&deployment))));
    let start = Instant::now();
    let faults = plan.faults.iter().cloned().map(|(at, fault)| {
        let deployment = Arc::clone(&deployment);
        tokio::spawn(async move {
            time::sleep(at).await;
            deployment.inject(fault).await;
        })
    });
    let faults: Vec<_> = faults.collect();
    time::sleep(FAULT_PHASE).await;
    for fault in faults {
        fault.await.unwrap();
    }
    time::sleep(RECOVERY_TIMEOUT).await;
    let recovered_at = Instant::now();
    time::sleep(STEADY_PHASE).await;
    deployment.check_recovered().await;
    traffic.stop();
    crashing.iter().for_each(|client| client.stop());
    for client in clients.into_iter().chain(crashing_task) {
        client.await.unwrap();
    }
    let records = traffic.records();
    eprintln!("seed {seed}: {} faults, {}", plan.faults.len(), checks::summary(&records));
    let mut problems = deployment.problems.lock().unwrap().clone();
    problems.extend(checks::check_all(&deployment, &plan, &records, recovered_at));
    problems.extend(rate_limits::check(&deployment, &records));
    problems.extend(deployment.check_retries(&records));
    problems.extend(cuts::check(&deployment, &records));
    problems.extend(announcements::check(&deployment));
    if let Some(client) = &crashing {
        problems.extend(client.check(&deployment, &deployment.received()));
    }
    let findings =
        problems.iter().map(|problem| format!("seed {seed}, {instances} instances: {problem}"));
    let findings: Vec<String> = findings.collect();
    if !findings.is_empty() {
        eprintln!("seed {seed} after {:?}: {plan:#?}", start.elapsed());
    }
    findings
}

fn create_run_dir(seed: u64, instances: usize) -> PathBuf {
    // The same seed may run in another process.
    let name = format!("soak-{seed}-{instances}-{}", std::process::id());
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Returns an IP address of a run.
fn ip(network: &Network, host: usize) -> IpAddr {
    format!("{}.{host}", network.prefix).parse().unwrap()
}

pub(crate) async fn set_up(seed: u64, count: usize) -> Deployment {
    let network = Network::reserve();
    let store = FakeStore::start("127.0.0.1").await;
    let config = ConfigDocument::new(SERVICE);
    store.put("op", "config", config_row(&config));
    let (mut servers, cuts) = (Vec::new(), Cuts::default());
    for number in 0..SERVERS {
        let id = format!("b{number}");
        // No other process uses this address, so ports stay free while the server is down.
        let ip = ip(&network, FIRST_SERVER_HOST + number);
        let backend = FakeBackend::start(&id, &ip.to_string()).await;
        backend.set(NORMAL_BEHAVIOUR);
        let proxy =
            Proxy::start_with(ip, backend.addr(), backend.subscribe_up(), cuts.subscribe()).await;
        let (zone, _) = ZONES[number % ZONES.len()];
        store.put("servers", &id, backend_row(SERVICE, proxy.addr, zone, "ready"));
        servers.push(Server { backend, drained_at: Mutex::new(None), proxy, zone });
    }
    let dir = create_run_dir(seed, count);
    let (mut instances, mut store_proxies) = (Vec::new(), Vec::new());
    for number in 0..count {
        let proxy = Proxy::start(store.addr()).await;
        instances.push(Process::start(&dir, number, ip(&network, number + 1), proxy.addr));
        store_proxies.push(proxy);
    }
    let deployment = Deployment {
        instances,
        servers,
        problems: Mutex::default(),
        disturbances: Mutex::default(),
        limited_periods: Mutex::default(),
        cuts,
        cut_periods: Mutex::default(),
        link_faults: Mutex::default(),
        store,
        store_proxies,
        config: Mutex::new(config),
        _network: network,
    };
    deployment.wait_until_ready().await;
    deployment
}

/// The delay ensures that requests are in progress when a fault is injected.
const NORMAL_BEHAVIOUR: Behaviour = Behaviour::Delay(Duration::from_millis(40));

impl Deployment {
    pub(crate) async fn wait_until_ready(&self) {
        for instance in &self.instances {
            let start = Instant::now();
            while readiness_status(instance.readiness_addr).await != 200 {
                assert!(
                    start.elapsed() < Duration::from_secs(20),
                    "an instance did not become ready"
                );
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Wait until instances know each other.
        time::sleep(Duration::from_secs(1)).await;
    }

    fn problem(&self, problem: String) {
        self.problems.lock().unwrap().push(problem);
    }

    pub(crate) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Kill { instance, downtime } => {
                self.disturb(instance, self.instances[instance].kill(downtime)).await;
            }
            Fault::KillAll { downtime } => {
                let numbered = self.instances.iter().enumerate();
                let kills = numbered.map(|(number, i)| self.disturb(number, i.kill(downtime)));
                futures_util::future::join_all(kills).await;
            }
            Fault::Pause { instance, duration } => {
                self.disturb(instance, self.instances[instance].pause(duration)).await;
            }
            Fault::Stop { instance } => {
                if let Some(problem) = self.disturb(instance, self.instances[instance].stop()).await
                {
                    self.problem(format!("planned stop of entry-{instance}: {problem}"));
                }
            }
            Fault::ChangeSettings { instance, send_sighup } => {
                self.instances[instance].change_settings(send_sighup);
            }
            Fault::StoreLink { instance, link, duration } => {
                inject_link_fault(&self.store_proxies[instance], link, duration).await;
            }
            Fault::Store { fault, duration, expire_rows } => {
                self.inject_store_fault(fault, duration, expire_rows).await;
            }
            Fault::DiscardHistory => self.store.discard_history(),
            Fault::ServerLink { server, link, duration } => {
                let from = Instant::now();
                inject_link_fault(&self.servers[server].proxy, link, duration).await;
                self.link_faults.lock().unwrap().push((server, from, Instant::now()));
            }
            Fault::ServerBehaviour { server, behaviour, duration } => {
                let backend = &self.servers[server].backend;
                backend.set(behaviour);
                time::sleep(duration).await;
                backend.set(NORMAL_BEHAVIOUR);
            }
            Fault::Drain { server } => self.drain(server).await,
            Fault::ChangeConfig => self.publish_config(),
            Fault::CrashServer { server } => self.servers[server].backend.crash(),
            Fault::CutOff { instances, cut, duration } => {
                self.cut_off(instances, cut, duration).await;
            }
            Fault::LimitRate { server, limit, duration } => {
                self.limit_rate(server, limit, duration).await;
            }
            Fault::PushBack { server, pause, duration } => {
                let backend = &self.servers[server].backend;
                backend.set(Behaviour::PushBack(pause));
                time::sleep(duration).await;
                backend.set(NORMAL_BEHAVIOUR);
            }
            Fault::Leave { server } => self.leave(server).await,
        }
    }

    /// Cuts instances off from all servers, and records the time.
    async fn cut_off(&self, instances: Vec<usize>, cut: Cut, duration: Duration) {
        let ips: Vec<IpAddr> =
            instances.iter().map(|&number| self.instances[number].traffic_addr.ip()).collect();
        self.cuts.send_modify(|cuts| cuts.extend(ips.iter().map(|&ip| (ip, cut))));
        let from = Instant::now();
        time::sleep(duration).await;
        let period = CutPeriod { instances, from, to: Instant::now() };
        self.cut_periods.lock().unwrap().push(period);
        self.cuts.send_modify(|cuts| cuts.retain(|ip, _| !ips.contains(ip)));
    }

    pub(crate) fn cut_periods(&self) -> Vec<CutPeriod> {
        self.cut_periods.lock().unwrap().clone()
    }

    /// Lets a server name a rate limit, and records the time until it changes, the server crashes
    /// or its link has a fault.
    async fn limit_rate(&self, server: usize, limit: &'static str, duration: Duration) {
        let backend = &self.servers[server].backend;
        let (id, from) = (backend.id(), Instant::now());
        backend.set_rate_limit(Some(limit));
        let named = backend.rate_limit();
        let is_as_named = || {
            backend.rate_limit() == named
                && backend.id() == id
                && self.servers[server].proxy.is_forwarding()
        };
        let mut to = from;
        while from.elapsed() < duration && is_as_named() {
            to = Instant::now();
            time::sleep(Duration::from_millis(20)).await;
        }
        if let Some(limit_per_s) = limit.parse().ok().filter(|limit: &f64| limit.is_finite()) {
            let period = LimitedPeriod { server, limit_per_s, from, to };
            self.limited_periods.lock().unwrap().push(period);
        }
        time::sleep(duration.saturating_sub(from.elapsed())).await;
        if backend.rate_limit() == named {
            backend.set_rate_limit(None);
        }
    }

    pub(crate) fn limited_periods(&self) -> Vec<LimitedPeriod> {
        self.limited_periods.lock().unwrap().clone()
    }

    /// Injects a fault into the store. After a long fault, `expire_rows` removes the rows
    /// of all servers for a short time.
    async fn inject_store_fault(&self, fault: StoreFault, duration: Duration, expire_rows: bool) {
        self.store.set_fault(fault);
        time::sleep(duration).await;
        let rows_expire = expire_rows && duration > Duration::from_secs(2);
        if rows_expire {
            self.servers.iter().for_each(|s| self.store.remove("servers", &s.backend.id()));
        }
        self.store.set_fault(StoreFault::None);
        if rows_expire {
            time::sleep(Duration::from_millis(700)).await;
            self.servers.iter().for_each(|server| self.register(server));
        }
    }

    /// Records the time that a fault of an instance takes.
    async fn disturb<T>(&self, instance: usize, fault: impl Future<Output = T>) -> T {
        let from = Instant::now();
        let result = fault.await;
        let disturbance = Disturbance { instance, from, to: Instant::now() };
        self.disturbances.lock().unwrap().push(disturbance);
        result
    }

    /// Returns whether an instance was killed, stopped or paused at any time from `from` to
    /// `to`.
    pub(crate) fn was_disturbed(&self, instance: usize, from: Instant, to: Instant) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances.iter().any(|d| d.instance == instance && d.from <= to && d.to >= from)
    }

    /// Returns the requests that all servers have received.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.servers.iter().flat_map(|server| server.backend.received()).collect()
    }

    /// Checks the retries. Requests without a record count from their first arrival.
    fn check_retries(&self, records: &[RequestRecord]) -> Option<String> {
        let received = self.received();
        let mut sent: BTreeMap<&str, Instant> =
            records.iter().map(|record| (record.id.as_str(), record.sent_at)).collect();
        for request in &received {
            sent.entry(&request.id).or_insert(request.received_at);
        }
        let sent: Vec<Instant> = sent.into_values().collect();
        retries::check(&sent, &received)
    }

    /// Replaces the rows of servers after their crashes, until the result is dropped.
    pub(crate) fn watch_restarts(self: &Arc<Deployment>) -> JoinSet<()> {
        let servers = 0..self.servers.len();
        servers.map(|server| Arc::clone(self).register_restarts(server)).collect()
    }

    async fn register_restarts(self: Arc<Deployment>, server: usize) {
        let server = &self.servers[server];
        loop {
            let crashed_id = server.backend.restarted().await;
            self.store.remove("servers", &crashed_id);
            if server.drained_at.lock().unwrap().is_none() {
                self.register(server);
            }
        }
    }

    fn register(&self, server: &Server) {
        let is_drained = server.drained_at.lock().unwrap().is_some();
        let state = if is_drained { "draining" } else { "ready" };
        let row = backend_row(SERVICE, server.proxy.addr, server.zone, state);
        self.store.put("servers", &server.backend.id(), row);
    }

    /// Marks a server as draining and removes its row later.
    async fn drain(&self, server: usize) {
        let server = &self.servers[server];
        *server.drained_at.lock().unwrap() = Some(Instant::now());
        self.register(server);
        time::sleep(Duration::from_secs(3)).await;
        self.store.remove("servers", &server.backend.id());
    }

    /// Lets a server say in its responses that it is leaving, and removes its row later without
    /// marking it as draining.
    async fn leave(&self, server: usize) {
        let backend = &self.servers[server].backend;
        let id = backend.id();
        backend.set_headers(&["Server-Leaving: 1"]);
        time::sleep(Duration::from_secs(4)).await;
        self.store.remove("servers", &id);
    }

    /// Returns whether the link of a server had a fault at any time from `from` to `to`.
    pub(crate) fn had_link_fault(&self, server: usize, from: Instant, to: Instant) -> bool {
        let faults = self.link_faults.lock().unwrap();
        faults.iter().any(|&(other, begin, end)| other == server && begin <= to && end >= from)
    }

    /// Adds routes of writes, and sets the timeout of all routes.
    pub(crate) fn set_timeouts(&self, write_prefixes: &[&str], timeout: Duration) {
        let mut config = self.config.lock().unwrap();
        config.version += 1;
        config.timeout_ms = u64::try_from(timeout.as_millis()).unwrap();
        config.extra_write_prefixes = write_prefixes.iter().map(|&p| p.to_owned()).collect();
        self.store.put("op", "config", config_row(&config));
    }

    fn publish_config(&self) {
        let mut config = self.config.lock().unwrap();
        config.version += 1;
        let prefix = format!("/new{}/", config.version);
        config.extra_prefixes = vec![prefix];
        if self.instances.len() >= MANY_ROUTES_MIN_INSTANCES {
            config.extra_prefixes.extend((0..MANY_ROUTES).map(|n| format!("/more{n}/")));
        }
        self.store.put("op", "config", config_row(&config));
    }

    /// Checks that each instance is ready, serves the newest configuration and is returned
    /// by lookups.
    async fn check_recovered(&self) {
        let config = self.config.lock().unwrap().clone();
        for (number, instance) in self.instances.iter().enumerate() {
            if readiness_status(instance.readiness_addr).await != 200 {
                self.problem(format!("entry-{number} is not ready after recovery"));
                continue;
            }
            // Only the first prefix is new in this version.
            for prefix in config.extra_prefixes.iter().take(1) {
                let mut client = Client::connect(instance.traffic_addr).await;
                client.send(&get_request(&format!("{prefix}x"), &format!("c{number}"))).await;
                let status = client.response().await.map(|answer| answer.status);
                if status == Some(404) {
                    self.problem(format!("entry-{number} has no route for {prefix}"));
                }
            }
            let (zone, _) = ZONES[number % ZONES.len()];
            let addrs = lookup(self.instances[0].lookup_addr, zone, "").await;
            if !addrs.contains(&instance.traffic_addr) {
                self.problem(format!("entry-{number} is missing from lookups after recovery"));
            }
        }
    }
}

async fn inject_link_fault(proxy: &Proxy, link: LinkMode, duration: Duration) {
    proxy.set(link);
    time::sleep(duration).await;
    proxy.set(LinkMode::Forward);
}
