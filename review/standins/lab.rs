//! Starts the entry instances beside the stand-ins, and keeps the record of a run.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::Connection, store::Store};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// After this time a run is given up.
const MAX_RUN: Duration = Duration::from_secs(110);
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

struct Shared {
    started_at: Instant,
    record: Mutex<File>,
    instances: Mutex<Vec<Arc<Instance>>>,
    dir: PathBuf,
    random: AtomicU64,
    is_finishing: AtomicBool,
}

/// One run of a case.
#[derive(Clone)]
pub struct Lab {
    shared: Arc<Shared>,
    /// The first three numbers of the loopback addresses of this run.
    net: String,
}

/// One entry instance.
pub struct Instance {
    pub name: String,
    pub traffic: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Mutex<Child>,
}

impl Lab {
    pub fn new(record: &str) -> Lab {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("azuregate-review-{pid}"));
        let files = fs::create_dir_all(&dir).and_then(|()| File::create(record));
        let file = match files {
            Ok(file) => file,
            Err(e) => {
                eprintln!("cannot write {record}: {e}");
                std::process::exit(COULD_NOT_RUN);
            }
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            record: Mutex::new(file),
            instances: Mutex::default(),
            dir,
            random: AtomicU64::new(now.as_nanos() as u64 | 1),
            is_finishing: AtomicBool::new(false),
        });
        let lab = Lab { shared, net: format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250) };
        let guard = lab.clone();
        std::panic::set_hook(Box::new(move |panic| {
            guard.log(&format!("the driver panicked: {panic}"));
            guard.finish(COULD_NOT_RUN);
        }));
        let guard = lab.clone();
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            guard.log("the run took too long");
            guard.finish(COULD_NOT_RUN);
        });
        lab
    }

    /// Returns a loopback address of this run.
    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.net)
    }

    pub fn elapsed(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    /// Adds a line to the record.
    pub fn log(&self, line: &str) {
        let at = self.elapsed().as_secs_f64();
        if let Ok(mut record) = self.shared.record.lock() {
            let _ = writeln!(record, "{at:8.3} s  {line}");
        }
    }

    /// Adds a line to the record and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.log(line);
    }

    pub fn cannot_run(&self, why: &str) -> i32 {
        self.say(&format!("could not run: {why}"));
        COULD_NOT_RUN
    }

    /// Ends all processes that were started, and this one.
    pub fn finish(&self, code: i32) -> ! {
        self.shared.is_finishing.store(true, Ordering::SeqCst);
        if let Ok(instances) = self.shared.instances.lock() {
            instances.iter().for_each(|instance| instance.kill());
        }
        let _ = fs::remove_dir_all(&self.shared.dir);
        self.say(&format!("exit {code}"));
        std::process::exit(code);
    }

    /// Returns a pseudo-random number below `end`.
    pub fn random(&self, end: u64) -> u64 {
        let mut x = self.shared.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % end
    }

    /// Returns whether an event of this probability happens.
    pub fn chance(&self, probability: f64) -> bool {
        (self.random(1_000_000) as f64) < probability * 1e6
    }

    /// Returns a request id, which is new.
    pub fn request_id(&self) -> String {
        format!("{:016x}", self.random(u64::MAX))
    }

    /// Returns the first of eight ports in a row that are free at all of `ips`.
    fn free_ports(&self, ips: &[String]) -> Option<u16> {
        (0..200).map(|_| 20_000 + self.random(10_000) as u16).find(|&first| {
            (first..first + 8).all(|port| {
                ips.iter().all(|ip| {
                    TcpListener::bind((ip.as_str(), port)).is_ok()
                        && UdpSocket::bind((ip.as_str(), port)).is_ok()
                })
            })
        })
    }

    /// Starts an entry instance in each of `zones` and waits until all are ready.
    pub fn start_instances(
        &self,
        zones: &[&str],
        store: &Store,
    ) -> Result<Vec<Arc<Instance>>, String> {
        let ips: Vec<String> = (0..zones.len()).map(|number| self.ip(10 + number)).collect();
        let port = self.free_ports(&ips).ok_or("no free ports")?;
        let mut instances = Vec::new();
        for (zone, ip) in zones.iter().zip(&ips) {
            let instance = Arc::new(self.start_instance(zone, ip, port, store)?);
            self.shared.instances.lock().unwrap().push(Arc::clone(&instance));
            instances.push(instance);
        }
        for instance in &instances {
            self.wait_until_ready(instance)?;
        }
        self.log("all entry instances are ready");
        Ok(instances)
    }

    fn start_instance(
        &self,
        zone: &str,
        ip: &str,
        port: u16,
        store: &Store,
    ) -> Result<Instance, String> {
        let name = format!("edge-{zone}-1");
        let path = self.shared.dir.join(format!("{name}.conf"));
        let addr = |offset: u16| SocketAddr::new(ip.parse().expect("an address"), port + offset);
        fs::write(&path, settings(&name, zone, ip, port, store)).map_err(|e| e.to_string())?;
        let child = self.spawn(&name, &path)?;
        self.log(&format!("{name} started at {}", addr(0)));
        let (traffic, readiness) = (addr(0), addr(1));
        Ok(Instance { name, traffic, readiness, settings: path, child: Mutex::new(child) })
    }

    /// Starts a process by the command of the deploy file.
    fn spawn(&self, name: &str, settings: &Path) -> Result<Child, String> {
        let log = self.shared.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        Command::new("target/release/azuregate")
            .arg("serve")
            .env("AZUREGATE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/azuregate: {e}"))
    }

    /// Kills an instance's process and starts it again after `downtime`.
    pub fn kill_and_restart(&self, instance: &Instance, downtime: Duration) {
        instance.kill();
        self.log(&format!("{} killed", instance.name));
        thread::sleep(downtime);
        // Held, so that the end of the run either prevents the start or finds the process.
        let mut child = instance.child.lock().unwrap();
        if self.shared.is_finishing.load(Ordering::SeqCst) {
            return;
        }
        match self.spawn(&instance.name, &instance.settings) {
            Ok(started) => *child = started,
            Err(e) => self.log(&format!("{} cannot restart: {e}", instance.name)),
        }
        drop(child);
        self.log(&format!("{} started again", instance.name));
    }

    fn wait_until_ready(&self, instance: &Instance) -> Result<(), String> {
        for _ in 0..200 {
            if self.is_ready(instance) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", instance.name))
    }

    fn is_ready(&self, instance: &Instance) -> bool {
        let Ok(stream) = TcpStream::connect(instance.readiness) else { return false };
        let mut connection = Connection::new(stream);
        let request = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let deadline = Instant::now() + Duration::from_secs(1);
        connection.stream.write_all(request.as_bytes()).is_ok()
            && connection.read_response(deadline).is_ok_and(|response| response.status == 200)
    }

    /// Sends a signal to an entry instance.
    pub fn signal(&self, instance: &Instance, signal: i32) {
        let pid = instance.child.lock().unwrap().id() as i32;
        // SAFETY: `kill` has no preconditions; the process is a child that was not waited for.
        unsafe { kill(pid, signal) };
        self.log(&format!("signal {signal} to {}", instance.name));
    }
}

impl Instance {
    fn kill(&self) {
        if let Ok(mut child) = self.child.lock() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the private memory of the process in bytes, without its program text.
    pub fn memory_bytes(&self) -> u64 {
        let pid = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }
}

/// Returns the settings of an instance, with the bounds of the deployment kvas-edge.
fn settings(name: &str, zone: &str, ip: &str, port: u16, store: &Store) -> String {
    let region = zone.split('-').next().unwrap_or_default();
    let zones = ["sofia-a", "sofia-b", "plovdiv-a", "plovdiv-b", "varna-a", "varna-b"];
    let zones = zones.map(|zone| {
        let region = zone.split('-').next().unwrap_or_default();
        format!("network.zones.{zone}={region}\n")
    });
    format!(
        "self.nodeName={name}\nself.role=entry\nself.machineClass=edge\n\
         self.serves=edge,directory\nself.ip={ip}\nself.zone={zone}\nself.region={region}\n\
         self.failureCounted=false\nself.bootstrap=true\nself.limits.cpuShare=0.2\n\
         self.limits.cpus=1\nself.limits.memoryMb=260\nself.limits.maxFds=4100\n\
         network.listen.frontend={ip}:{}\nnetwork.listen.readiness={ip}:{}\n\
         network.listen.directory={ip}:{}\nnetwork.internalPorts={},{}\n{}\
         provider.discovery=platform\nprovider.entrypoint=directory\nprovider.heartbeatS=1.5\n\
         provider.provider.address={}\nprovider.provider.form=table\n\
         provider.provider.writesPerS=400\nprovider.provider.readsPerS=2000\n\
         terms.contracts=base,drain,config,cost,retry,recover,places,platform\n\
         terms.bounds.seedLagS=3\nterms.bounds.reuseAfterS=2\nterms.bounds.contactS=3\n\
         terms.bounds.ackS=4\nterms.bounds.catchUpS=4\nterms.bounds.drainS=2.5\n\
         terms.bounds.graceS=6\nterms.bounds.lossSlackS=0.2\nterms.bounds.configApplyS=2.5\n\
         terms.bounds.rollbackSlackS=0.25\nterms.bounds.outerS=5\n\
         terms.bounds.retryBudgetRatio=0.2\nterms.bounds.retryWindowS=10\n\
         terms.bounds.retryBurst=58\nterms.bounds.warmupOverage=1.5\n\
         terms.bounds.warmupSlack=5\nterms.bounds.evacuateS=5\nterms.bounds.recoveryS=15\n\
         terms.bounds.ttl_max_s=5\nterms.bounds.maxShift=0.15\n",
        port,
        port + 1,
        port + 2,
        port + 3,
        port + 7,
        zones.concat(),
        store.addr,
    )
}

/// A route of the manifest.
pub struct Rule {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub attempts: u32,
}

/// Writes the manifest, with one service.
pub fn put_manifest(store: &Store, rules: &[Rule]) {
    let rules: Vec<String> = rules
        .iter()
        .enumerate()
        .map(|(number, rule)| {
            let Rule { prefix, kind, timeout_s, attempts } = rule;
            format!(
                "{{\"name\":\"r{number}\",\"type\":\"{kind}\",\"targetLatencyS\":0.3,\
                 \"priority\":1,\"sessionAffinity\":true,\"match\":{{\"prefix\":\"{prefix}\"}},\
                 \"action\":{{\"backend\":\"{SERVICE}\",\"timeoutS\":{timeout_s},\
                 \"attempts\":{attempts},\"homeRegions\":[]}}}}"
            )
        })
        .collect();
    let manifest = format!(
        "{{\"configVersion\":\"0000000c\",\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\
         \"clusters\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":330,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":9.0}}]}}",
        rules.join(",")
    );
    store.put("op", "config", &manifest);
}

pub const SERVICE: &str = "starter-desk";
pub const HOST: &str = "ficu95.example";
