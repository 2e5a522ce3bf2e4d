//! One run of a plan.

use std::{
    fs,
    net::IpAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{
    Behaviour, ConfigDocument, FakeBackend, FakeStore, StoreFault, backend_row, config_row,
};
use tokio::time;

use crate::{
    ZONES, checks,
    clients::Traffic,
    plan::{Fault, Plan, TROUBLE},
    processes::Process,
    proxy::{Link, Proxy},
    world::{Client, look_up, read_request, readiness},
};

const SERVICE: &str = "shop";
/// From so many instances the configuration has many routes.
const MANY_ROUTES_FROM: usize = 16;
const MANY_ROUTES: usize = 1_400;
const SERVERS: usize = 6;
const CLIENTS: u64 = 14;
/// Time after the last fault in which all must be well again: contact with the
/// store, clients' lookups, and servers that were avoided.
const SETTLE: Duration = Duration::from_secs(7);
/// How long it is watched that all is well.
const CALM: Duration = Duration::from_secs(2);

/// A backend server behind its proxy.
pub(crate) struct Server {
    pub(crate) backend: FakeBackend,
    pub(crate) drained_at: Mutex<Option<Instant>>,
    proxy: Proxy,
    zone: &'static str,
}

/// Everything in a run.
pub(crate) struct Stage {
    pub(crate) instances: Vec<Process>,
    pub(crate) servers: Vec<Server>,
    pub(crate) problems: Mutex<Vec<String>>,
    store: FakeStore,
    store_links: Vec<Proxy>,
    config: Mutex<ConfigDocument>,
}

/// Plays `seed` with so many instances and returns what was wrong.
pub(crate) async fn play(seed: u64, instances: usize) -> Vec<String> {
    let plan = Plan::draw(seed, instances, SERVERS);
    let stage = Arc::new(set_up(seed, instances).await);
    let traffic = Traffic::new(stage.instances.iter().map(|i| i.lookups).collect(), seed);
    let clients: Vec<_> = (0..CLIENTS).map(|n| tokio::spawn(Arc::clone(&traffic).run(n))).collect();
    let start = Instant::now();
    let faults = plan.faults.iter().cloned().map(|(at, fault)| {
        let stage = Arc::clone(&stage);
        tokio::spawn(async move {
            time::sleep(at).await;
            stage.harm(fault).await;
        })
    });
    let faults: Vec<_> = faults.collect();
    time::sleep(TROUBLE).await;
    for fault in faults {
        fault.await.unwrap();
    }
    time::sleep(SETTLE).await;
    let calm_at = Instant::now();
    time::sleep(CALM).await;
    stage.check_all_well().await;
    traffic.end();
    for client in clients {
        client.await.unwrap();
    }
    let exchanges = traffic.exchanges();
    eprintln!("seed {seed}: {} faults, {}", plan.faults.len(), checks::summary(&exchanges));
    let mut problems = stage.problems.lock().unwrap().clone();
    problems.extend(checks::all(&stage, &plan, &exchanges, calm_at));
    let said =
        problems.iter().map(|problem| format!("seed {seed}, {instances} instances: {problem}"));
    let said: Vec<String> = said.collect();
    if !said.is_empty() {
        eprintln!("seed {seed} after {:?}: {plan:#?}", start.elapsed());
    }
    said
}

fn folder(seed: u64, instances: usize) -> PathBuf {
    let name = format!("soak-{seed}-{instances}");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Tells the runs of this process apart, so that two that play at the same time never
/// have the same IP numbers.
fn next_run() -> u8 {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    RUNS.fetch_add(1, Ordering::Relaxed)
}

/// IP numbers of a run; other test processes run at the same time.
fn ip(run: u8, instance: usize) -> IpAddr {
    let process = std::process::id() % 200 + 20;
    format!("127.{process}.{run}.{}", instance + 1).parse().unwrap()
}

async fn set_up(seed: u64, count: usize) -> Stage {
    let store = FakeStore::start("127.0.0.1").await;
    let config = ConfigDocument::new(SERVICE);
    store.put("op", "config", config_row(&config));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let id = format!("b{number}");
        let backend = FakeBackend::start(&id, "127.0.0.1").await;
        backend.set(USUAL);
        let proxy = Proxy::start(backend.addr()).await;
        let (zone, _) = ZONES[number % ZONES.len()];
        store.put("servers", &id, backend_row(SERVICE, proxy.addr, zone, "ready"));
        servers.push(Server { backend, drained_at: Mutex::new(None), proxy, zone });
    }
    let folder = folder(seed, count);
    let run = next_run();
    let (mut instances, mut store_links) = (Vec::new(), Vec::new());
    for number in 0..count {
        let link = Proxy::start(store.addr()).await;
        instances.push(Process::start(&folder, number, ip(run, number), link.addr));
        store_links.push(link);
    }
    let stage = Stage {
        instances,
        servers,
        problems: Mutex::default(),
        store,
        store_links,
        config: Mutex::new(config),
    };
    stage.wait_until_ready().await;
    stage
}

/// Servers work for a moment, so that requests are in progress when something
/// happens.
const USUAL: Behaviour = Behaviour::Delay(Duration::from_millis(40));

impl Stage {
    async fn wait_until_ready(&self) {
        for instance in &self.instances {
            let start = Instant::now();
            while readiness(instance.ready).await != 200 {
                assert!(start.elapsed() < Duration::from_secs(20), "an instance is never ready");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Instances hear of each other.
        time::sleep(Duration::from_secs(1)).await;
    }

    fn problem(&self, problem: String) {
        self.problems.lock().unwrap().push(problem);
    }

    async fn harm(&self, fault: Fault) {
        match fault {
            Fault::Kill { instance, pause } => self.instances[instance].kill(pause).await,
            Fault::KillAll { pause } => {
                let kills = self.instances.iter().map(|instance| instance.kill(pause));
                futures_util::future::join_all(kills).await;
            }
            Fault::Freeze { instance, pause } => self.instances[instance].freeze(pause).await,
            Fault::Stop { instance } => {
                if let Some(problem) = self.instances[instance].stop().await {
                    self.problem(format!("planned stop of entry-{instance}: {problem}"));
                }
            }
            Fault::Settings { instance, hangs_up } => {
                self.instances[instance].change_settings(hangs_up);
            }
            Fault::StoreLink { instance, link, lasts } => {
                harm_link(&self.store_links[instance], link, lasts).await;
            }
            Fault::Store { fault, lasts, rows_run_out } => {
                self.harm_store(fault, lasts, rows_run_out).await;
            }
            Fault::DiscardHistory => self.store.discard_history(),
            Fault::ServerLink { server, link, lasts } => {
                harm_link(&self.servers[server].proxy, link, lasts).await;
            }
            Fault::ServerBehaviour { server, behaviour, lasts } => {
                let backend = &self.servers[server].backend;
                backend.set(behaviour);
                time::sleep(lasts).await;
                backend.set(USUAL);
            }
            Fault::Drain { server } => self.drain(server).await,
            Fault::Configure => self.configure(),
        }
    }

    /// The store fails; all rows run out meanwhile if it was away for long, and are
    /// back soon after.
    async fn harm_store(&self, fault: StoreFault, lasts: Duration, rows_run_out: bool) {
        self.store.set_fault(fault);
        time::sleep(lasts).await;
        let runs_out = rows_run_out && lasts > Duration::from_secs(2);
        if runs_out {
            self.servers.iter().for_each(|s| self.store.remove("servers", s.backend.id()));
        }
        self.store.set_fault(StoreFault::None);
        if runs_out {
            time::sleep(Duration::from_millis(700)).await;
            self.servers.iter().for_each(|server| self.register(server));
        }
    }

    fn register(&self, server: &Server) {
        let is_drained = server.drained_at.lock().unwrap().is_some();
        let state = if is_drained { "draining" } else { "ready" };
        let row = backend_row(SERVICE, server.proxy.addr, server.zone, state);
        self.store.put("servers", server.backend.id(), row);
    }

    /// A server leaves: it says so, and its row goes after a while.
    async fn drain(&self, server: usize) {
        let server = &self.servers[server];
        *server.drained_at.lock().unwrap() = Some(Instant::now());
        self.register(server);
        time::sleep(Duration::from_secs(3)).await;
        self.store.remove("servers", server.backend.id());
    }

    fn configure(&self) {
        let mut config = self.config.lock().unwrap();
        config.version += 1;
        let prefix = format!("/new{}/", config.version);
        config.extra_prefixes = vec![prefix];
        if self.instances.len() >= MANY_ROUTES_FROM {
            config.extra_prefixes.extend((0..MANY_ROUTES).map(|n| format!("/more{n}/")));
        }
        self.store.put("op", "config", config_row(&config));
    }

    /// Each instance takes requests, serves the newest configuration and nothing
    /// older, and is named to clients.
    async fn check_all_well(&self) {
        let config = self.config.lock().unwrap().clone();
        for (number, instance) in self.instances.iter().enumerate() {
            if readiness(instance.ready).await != 200 {
                self.problem(format!("entry-{number} is not ready when all is well"));
                continue;
            }
            // The first one is new in this version.
            for prefix in config.extra_prefixes.iter().take(1) {
                let mut client = Client::connect(instance.traffic).await;
                client.send(&read_request(&format!("{prefix}x"), &format!("c{number}"))).await;
                let status = client.answer().await.map(|answer| answer.status);
                if status == Some(404) {
                    self.problem(format!("entry-{number} does not know {prefix}"));
                }
            }
            let (zone, _) = ZONES[number % ZONES.len()];
            let named = look_up(self.instances[0].lookups, zone, "").await;
            if !named.contains(&instance.traffic) {
                self.problem(format!("entry-{number} is not named when all is well"));
            }
        }
    }
}

async fn harm_link(proxy: &Proxy, link: Link, lasts: Duration) {
    proxy.set(link);
    time::sleep(lasts).await;
    proxy.set(Link::Passes);
}
