//! A small deployment on loopback: the store, upstreams, and azuregate as processes of its own.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Command, Stdio, exit},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client, net,
    record::Record,
    store::Store,
    upstream::{Runs, Upstream},
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/azuregate";
const ARGUMENT: &str = "serve";

/// The ids of the processes that this case has started, to be ended with it.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case since it cannot run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    finish(2)
}

/// Ends all processes that were started, and the case. The logs are kept if KEEP_LOGS is set.
pub fn finish(code: i32) -> ! {
    let started: Vec<u32> = STARTED.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in started {
        signal(id, "KILL");
    }
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(folder());
    }
    exit(code)
}

/// The temporary folder of this case: the settings and the logs of the machines.
fn folder() -> PathBuf {
    env::temp_dir().join(format!("azuregate-review-{}", std::process::id()))
}

/// Sends a signal to a process that this case has started.
pub fn signal(id: u32, name: &str) {
    // The shell has `kill` built in, so no program of that name is needed.
    let command = format!("kill -s {name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

/// One machine of the system.
pub struct Machine {
    pub name: String,
    pub traffic: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub id: u32,
}

impl Machine {
    pub fn is_ready(&self) -> bool {
        client::get(self.readiness, "/-/readyz").is_ok_and(|(status, _)| status == 200)
    }
}

pub struct World {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub record: Arc<Record>,
    pub runs: Arc<Runs>,
}

/// What to start.
pub struct Plan<'a> {
    /// The zones of the machines.
    pub machines: &'a [&'a str],
    /// The service and the zone of each upstream.
    pub upstreams: &'a [(&'a str, &'a str)],
    pub config: String,
}

impl World {
    /// Starts a deployment and waits until it is ready and each machine knows all others.
    pub fn start(plan: &Plan<'_>, record: &Arc<Record>) -> World {
        let process = std::process::id();
        let net = [127, 20 + (process % 200) as u8, 1 + (process / 200 % 250) as u8];
        let ip = |host: usize| IpAddr::V4(Ipv4Addr::new(net[0], net[1], net[2], host as u8));
        let ips: Vec<IpAddr> = (0..plan.machines.len()).map(|n| ip(10 + n)).collect();
        let server_ips: Vec<IpAddr> = (0..plan.upstreams.len()).map(|n| ip(100 + n)).collect();
        let all: Vec<IpAddr> = ips.iter().chain(&server_ips).copied().chain([ip(250)]).collect();
        let mut ports = Vec::new();
        for _ in 0..8 {
            let port = net::free_port(&all, &ports);
            ports.push(port);
        }
        fs::create_dir_all(folder()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Store::start(SocketAddr::new(ip(250), ports[0]), record);
        let runs = Arc::new(Runs::default());
        let upstreams: Vec<Arc<Upstream>> = plan
            .upstreams
            .iter()
            .enumerate()
            .map(|(n, (service, zone))| {
                let addr = SocketAddr::new(server_ips[n], ports[1]);
                Upstream::start(&format!("i-{n:08x}"), service, zone, addr, record, &runs)
            })
            .collect();
        store.put("op", "config", &plan.config);
        // They write again each 1.5 s, but an entry changes only when more than `sequence` does.
        for upstream in &upstreams {
            store.put("servers", &upstream.id, &upstream.entry(1));
        }
        let mut world = World { store, machines: Vec::new(), record: Arc::clone(record), runs };
        for (n, zone) in plan.machines.iter().enumerate() {
            let text = settings(n, zone, plan.machines, ips[n], &ports, world.store.addr);
            let machine = world.start_machine(n, ips[n], &ports, &text);
            world.machines.push(machine);
        }
        world.wait_until_ready();
        world
    }

    fn start_machine(&self, n: usize, ip: IpAddr, ports: &[u16], settings: &str) -> Machine {
        let path = folder().join(format!("{n}.conf"));
        fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = fs::File::create(folder().join(format!("{n}.log")))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("AZUREGATE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{PROGRAM}: {e}")));
        let id = child.id();
        STARTED.lock().unwrap().push(id);
        self.record.line(&format!("machine {n} is started"));
        Machine {
            name: format!("edge-{n}"),
            traffic: SocketAddr::new(ip, ports[2]),
            readiness: SocketAddr::new(ip, ports[3]),
            directory: SocketAddr::new(ip, ports[5]),
            id,
        }
    }

    fn wait_until_ready(&self) {
        let started_at = Instant::now();
        let knows_all = |machine: &Machine| {
            machine.is_ready() && self.store.count("instances") == self.machines.len()
        };
        while !self.machines.iter().all(knows_all) {
            if started_at.elapsed() > Duration::from_secs(10) {
                cannot_run("the machines are not ready after 10 s");
            }
            thread::sleep(Duration::from_millis(50));
        }
        // As in the users' sites, traffic begins some seconds after the machines.
        thread::sleep(Duration::from_secs(4));
        self.record.line("all machines are ready");
    }

    /// The operator's manifest, acknowledged when this returns.
    pub fn put_config(&self, config: &str) {
        self.store.put("op", "config", config);
    }

    /// Ends the case: 1 if the rule was broken, 0 if it held.
    pub fn end(&self, breaks: &[String]) -> ! {
        for text in breaks {
            self.record.line(&format!("BROKEN: {text}"));
            println!("broken: {text}");
        }
        if breaks.is_empty() {
            self.record.line("the rule held");
            println!("the rule held");
        }
        finish(i32::from(!breaks.is_empty()))
    }
}

fn settings(
    n: usize,
    zone: &str,
    zones: &[&str],
    ip: IpAddr,
    ports: &[u16],
    store: SocketAddr,
) -> String {
    let region = region_of(zone);
    let zone_lines: String =
        zones.iter().map(|zone| format!("network.zones.{zone}={}\n", region_of(zone))).collect();
    let (low, high) = (ports[6].min(ports[7]), ports[6].max(ports[7]));
    format!(
        "self.nodeName=edge-{n}\nself.role=entry\nself.machineClass=edge\n\
         self.serves=edge,directory\nself.ip={ip}\nself.zone={zone}\nself.region={region}\n\
         self.failureCounted=false\nself.bootstrap=true\nself.limits.cpuShare=0.2\n\
         self.limits.cpus=1\nself.limits.memoryMb=260\nself.limits.maxFds=4100\n\
         self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n\
         network.listen.frontend={ip}:{}\nnetwork.listen.readiness={ip}:{}\n\
         network.listen.control={ip}:{}\nnetwork.listen.directory={ip}:{}\n\
         network.internalPorts={low},{high}\nnetwork.seeds=\n{zone_lines}\
         provider.discovery=platform\nprovider.entrypoint=directory\nprovider.heartbeatS=1.5\n\
         provider.provider.address={store}\nprovider.provider.form=table\n\
         provider.provider.writesPerS=400\nprovider.provider.readsPerS=2000\n\
         provider.provider.txS=0.003\nprovider.provider.appendsPerS=300\n\
         provider.provider.rowBytes=65536\nprovider.provider.across=true\n\
         provider.provider.historyS=20\n\
         terms.contracts=base,drain,config,cost,retry,recover,places,platform\n\
         terms.faultTolerance.machines=1\nterms.faultTolerance.zones=1\n\
         terms.faultTolerance.regions=1\nterms.bounds.contactS=3\nterms.bounds.drainS=2\n\
         terms.bounds.graceS=6\nterms.bounds.lossSlackS=0.2\nterms.bounds.configApplyS=2\n\
         terms.bounds.rollbackSlackS=0.25\nterms.bounds.outerS=5\n\
         terms.bounds.retryBudgetRatio=0.2\nterms.bounds.retryWindowS=10\n\
         terms.bounds.retryBurst=56\nterms.bounds.warmupOverage=1.5\n\
         terms.bounds.warmupSlack=5\nterms.bounds.evacuateS=5\nterms.bounds.recoveryS=15\n\
         terms.bounds.ttl_max_s=5\nterms.bounds.maxShift=0.15\n",
        ports[2], ports[3], ports[4], ports[5]
    )
}

fn region_of(zone: &str) -> &'static str {
    match zone.split('-').next() {
        Some("em") => "east-mids",
        Some("wm") => "west-mids",
        _ => "south-mids",
    }
}

/// A route of a manifest.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
}

/// A manifest in the form of the users' example.
pub fn config(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"type\":\"{}\",\"targetLatencyS\":0.3,\"priority\":1,\
                 \"sessionAffinity\":false,\"match\":{{\"prefix\":\"{}\"}},\"action\":\
                 {{\"backend\":\"{}\",\"timeoutS\":{},\"attempts\":2,\"homeRegions\":[]}}}}",
                route.name, route.kind, route.prefix, route.service, route.timeout_s
            )
        })
        .collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":330,\
                 \"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":9.0}}"
            )
        })
        .collect();
    format!(
        "{{\"configVersion\":\"{version:08x}\",\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"listeners\":[{{\"host\":\"{}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        client::HOST,
        rules.join(","),
        clusters.join(",")
    )
}
