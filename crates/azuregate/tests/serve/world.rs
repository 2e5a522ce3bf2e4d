//! A store, backend servers and entry instances on loopback.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use azuregate::{
    serve,
    stop::{self, StopHandle},
};
use azuregate_platform::{
    fakes::{ConfigDocument, FakeBackend, FakeStore, backend_row, config_row, settings_text},
    settings::Settings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// The service of all tests.
pub(crate) const SERVICE: &str = "shop";
/// Ports of every instance; each has an address of its own.
pub(crate) const FIRST_PORT: u16 = 18_160;
pub(crate) const PEER_PORT: u16 = 18_170;
/// Where `deploy/system.toml` says that metrics are.
const METRICS_PORT: u16 = 9_464;
/// How long anything may take that must happen at last.
const LIMIT: Duration = Duration::from_secs(10);

static NETWORKS: AtomicU32 = AtomicU32::new(0);

/// Everything outside the instances.
pub(crate) struct World {
    pub(crate) store: FakeStore,
    pub(crate) backends: Vec<FakeBackend>,
    pub(crate) config: ConfigDocument,
    pub(crate) network: String,
}

impl World {
    /// A store with a configuration and `count` backend servers.
    pub(crate) async fn start(count: usize) -> World {
        // Other test processes run at the same time.
        let process = std::process::id() % 200 + 20;
        let network = format!("127.{process}.{}", NETWORKS.fetch_add(1, Ordering::Relaxed));
        let store = FakeStore::start("127.0.0.1").await;
        let config = ConfigDocument::new(SERVICE);
        store.put("op", "config", config_row(&config));
        let mut world = World { store, backends: Vec::new(), config, network };
        for _ in 0..count {
            world.add_backend("zone-a").await;
        }
        world
    }

    /// Starts one more backend server and registers it.
    pub(crate) async fn add_backend(&mut self, zone: &str) -> FakeBackend {
        let id = format!("b{}", self.backends.len());
        let backend = FakeBackend::start(&id, "127.0.0.1").await;
        self.store.put("servers", &id, backend_row(SERVICE, backend.addr(), zone, "ready"));
        self.backends.push(backend.clone());
        backend
    }

    /// Changes the configuration.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut ConfigDocument)) {
        self.config.version += 1;
        change(&mut self.config);
        self.store.put("op", "config", config_row(&self.config));
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn instance(&self, number: u8) -> Instance {
        let instance = self.start_instance(number);
        eventually("the instance is ready", async || instance.ready().await == 200).await;
        instance
    }

    /// Starts an instance.
    pub(crate) fn start_instance(&self, number: u8) -> Instance {
        self.start_instance_in(number, "zone-a")
    }

    /// Starts an instance in an availability zone.
    pub(crate) fn start_instance_in(&self, number: u8, zone: &str) -> Instance {
        let own_zone = format!("self.zone={zone}\n");
        self.start_instance_with(number, |text| text.replace("self.zone=zone-a\n", &own_zone))
    }

    /// Starts an instance with changed settings.
    pub(crate) fn start_instance_with(
        &self,
        number: u8,
        change: impl FnOnce(String) -> String,
    ) -> Instance {
        let text = change(self.settings_text(number));
        let settings = Settings::parse(&text).expect("the settings are complete");
        std::fs::write(self.settings_file(number), text).expect("the file can be written");
        let (traffic, ready, lookups) =
            (settings.traffic_addr, settings.readiness_addr, settings.lookup_addr);
        let file = self.settings_file(number);
        let (stopper, stop) = stop::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime can be built");
            runtime.block_on(serve::run(settings, Some(file), stop)).expect("the ports are free");
        });
        let metrics = SocketAddr::new(traffic.ip(), METRICS_PORT);
        Instance { traffic, ready, lookups, metrics, stopper, thread }
    }

    /// The settings of an instance.
    pub(crate) fn settings_text(&self, number: u8) -> String {
        let ip = format!("{}.{number}", self.network);
        settings_text(&format!("entry-{number}"), &ip, FIRST_PORT, PEER_PORT, self.store.addr())
    }

    /// Where the settings of an instance are.
    pub(crate) fn settings_file(&self, number: u8) -> PathBuf {
        let name = format!("{}-{number}.conf", self.network);
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
    }

    /// Requests of all backend servers with the id `id`.
    pub(crate) fn arrivals(&self, id: &str) -> usize {
        let seen = self.backends.iter().flat_map(FakeBackend::received);
        seen.filter(|seen| seen.id == id).count()
    }
}

/// A running entry instance.
pub(crate) struct Instance {
    pub(crate) traffic: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) lookups: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) stopper: StopHandle,
    pub(crate) thread: JoinHandle<()>,
}

impl Instance {
    /// The status of the question whether it is ready; 0 if there is no answer.
    pub(crate) async fn ready(&self) -> u16 {
        readiness(self.ready).await
    }

    /// Which instances a client in `zone` of `region` is told to use.
    pub(crate) async fn lookup(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        look_up(self.lookups, zone, region).await
    }

    /// Sends one request on a connection of its own.
    pub(crate) async fn send(&self, request: &str) -> Option<Answer> {
        let mut client = Client::connect(self.traffic).await;
        client.send(request).await;
        client.answer().await
    }
}

/// A request without a body.
pub(crate) fn read_request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: 17\r\nX-Deadline-Ms: 3000\r\n\r\n"
    )
}

/// A request with a body.
pub(crate) fn write_request(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: 17\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a client got.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Answer {
    /// A header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = fields.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A client's connection.
pub(crate) struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    pub(crate) async fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).await.expect("the instance takes connections");
        Client { stream, bytes: Vec::new() }
    }

    /// Connects, unless the instance does not take connections.
    pub(crate) async fn try_connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).await.ok()?;
        Some(Client { stream, bytes: Vec::new() })
    }

    pub(crate) async fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// The next whole answer, or `None` if the connection ends first.
    pub(crate) async fn answer(&mut self) -> Option<Answer> {
        time::timeout(LIMIT, self.read_answer()).await.expect("an answer or an end comes in time")
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(at) = self.bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
        let mut answer = Answer { status, head, body: String::new() };
        let length = answer.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < end + length {
            self.fill().await?;
        }
        answer.body = String::from_utf8_lossy(&self.bytes[end..end + length]).into_owned();
        self.bytes.drain(..end + length);
        Some(answer)
    }

    async fn fill(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer).await {
            Ok(count @ 1..) => {
                self.bytes.extend_from_slice(&buffer[..count]);
                Some(())
            }
            Ok(0) | Err(_) => None,
        }
    }
}

pub(crate) async fn get(addr: SocketAddr, path: &str) -> Option<Answer> {
    let mut client = Client::try_connect(addr).await?;
    client.send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    client.answer().await
}

/// The status of the question at `addr` whether an instance is ready; 0 if there is
/// no answer.
pub(crate) async fn readiness(addr: SocketAddr) -> u16 {
    get(addr, "/-/readyz").await.map_or(0, |answer| answer.status)
}

/// Which instances the one at `addr` tells a client in `zone` of `region` to use.
pub(crate) async fn look_up(addr: SocketAddr, zone: &str, region: &str) -> Vec<SocketAddr> {
    let path = format!("/-/resolve?name=shop.example&region={region}&zone={zone}");
    let Some(answer) = get(addr, &path).await else { return Vec::new() };
    let Ok(body) = serde_json::from_str::<serde_json::Value>(&answer.body) else {
        return Vec::new();
    };
    let addrs = body["addresses"].as_array().cloned().unwrap_or_default();
    addrs.iter().filter_map(|addr| addr.as_str()?.parse().ok()).collect()
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// When it does not hold in time.
pub(crate) async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < LIMIT, "not in time: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}
