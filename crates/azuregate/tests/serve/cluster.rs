//! A test cluster on loopback: a fake store, fake backend servers and entry instances.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use azuregate::{
    serve::{self, Connector, TcpConnector},
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

/// The service that all tests use.
pub(crate) const SERVICE: &str = "shop";
/// The first port of every instance; each instance has its own IP address.
pub(crate) const FIRST_PORT: u16 = 18_160;
pub(crate) const PEER_PORT: u16 = 18_170;
/// Held by the process that uses a network.
const GUARD: &str = "254:18199";
/// The last number of the backend servers' IP address.
const BACKEND_HOST: u8 = 250;
/// The metrics port declared in `deploy/system.toml`.
pub(crate) const METRICS_PORT: u16 = 9_464;
/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_NETWORK: AtomicU32 = AtomicU32::new(0);

/// A network of loopback addresses that no other test process uses.
pub(crate) struct Network {
    /// The first three numbers of its addresses.
    pub(crate) prefix: String,
    _guard: TcpListener,
}

impl Network {
    pub(crate) fn reserve() -> Network {
        // Processes with the same number try the same networks.
        let process = std::process::id() % 200 + 20;
        loop {
            let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed) % 256;
            let prefix = format!("127.{process}.{number}");
            if let Ok(guard) = TcpListener::bind(format!("{prefix}.{GUARD}")) {
                return Network { prefix, _guard: guard };
            }
        }
    }
}

/// The environment of the entry instances.
pub(crate) struct TestCluster {
    pub(crate) store: FakeStore,
    pub(crate) backends: Vec<FakeBackend>,
    pub(crate) config: ConfigDocument,
    pub(crate) network: String,
    _network: Network,
}

impl TestCluster {
    /// Starts a store with a configuration, and `count` backend servers.
    pub(crate) async fn start(count: usize) -> TestCluster {
        let network = Network::reserve();
        let store = FakeStore::start("127.0.0.1").await;
        let config = ConfigDocument::new(SERVICE);
        store.put("op", "config", config_row(&config));
        let mut cluster = TestCluster {
            store,
            backends: Vec::new(),
            config,
            network: network.prefix.clone(),
            _network: network,
        };
        for _ in 0..count {
            cluster.add_backend("zone-a").await;
        }
        cluster
    }

    /// Starts another backend server and registers it.
    pub(crate) async fn add_backend(&mut self, zone: &str) -> FakeBackend {
        let id = format!("b{}", self.backends.len());
        // No other process uses this address, so the port stays free while the server is down.
        let ip = format!("{}.{BACKEND_HOST}", self.network);
        let backend = FakeBackend::start(&id, &ip).await;
        self.store.put("servers", &id, backend_row(SERVICE, backend.addr(), zone, "ready"));
        self.backends.push(backend.clone());
        backend
    }

    /// Modifies the configuration and writes it to the store as a new version.
    pub(crate) fn update_config(&mut self, change: impl FnOnce(&mut ConfigDocument)) {
        self.config.version += 1;
        change(&mut self.config);
        self.store.put("op", "config", config_row(&self.config));
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_ready_instance(&self, number: u8) -> Instance {
        let instance = self.start_instance(number);
        eventually("the instance is ready", async || instance.readiness().await == 200).await;
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

    /// Starts an instance with modified settings.
    pub(crate) fn start_instance_with(
        &self,
        number: u8,
        change: impl FnOnce(String) -> String,
    ) -> Instance {
        let text = change(self.settings_text(number));
        let settings = Settings::parse(&text).expect("the settings are complete");
        let connector = TcpConnector { ip: settings.ip };
        self.start_instance_with_connector(number, &text, Box::new(connector))
    }

    /// Starts an instance that reaches backend servers through `connector`.
    pub(crate) fn start_instance_with_connector(
        &self,
        number: u8,
        text: &str,
        connector: Box<dyn Connector>,
    ) -> Instance {
        let settings = Settings::parse(text).expect("the settings are complete");
        std::fs::write(self.settings_file(number), text).expect("the file can be written");
        let (traffic_addr, readiness_addr, lookup_addr) =
            (settings.traffic_addr, settings.readiness_addr, settings.lookup_addr);
        let file = self.settings_file(number);
        let (stopper, stop) = stop::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime can be built");
            let run = serve::run_with_connector(settings, Some(file), stop, connector);
            runtime.block_on(run).expect("the ports are free");
        });
        let metrics_addr = SocketAddr::new(traffic_addr.ip(), METRICS_PORT);
        Instance { traffic_addr, readiness_addr, lookup_addr, metrics_addr, stopper, thread }
    }

    /// Returns the settings file contents of an instance.
    pub(crate) fn settings_text(&self, number: u8) -> String {
        let ip = format!("{}.{number}", self.network);
        settings_text(&format!("entry-{number}"), &ip, FIRST_PORT, PEER_PORT, self.store.addr())
    }

    /// Returns the path of an instance's settings file.
    pub(crate) fn settings_file(&self, number: u8) -> PathBuf {
        let name = format!("{}-{number}.conf", self.network);
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
    }

    /// Returns how many requests with this ID the backend servers have received.
    pub(crate) fn request_count(&self, id: &str) -> usize {
        let received = self.backends.iter().flat_map(FakeBackend::received);
        received.filter(|request| request.id == id).count()
    }
}

/// A running entry instance.
pub(crate) struct Instance {
    pub(crate) traffic_addr: SocketAddr,
    pub(crate) readiness_addr: SocketAddr,
    pub(crate) lookup_addr: SocketAddr,
    pub(crate) metrics_addr: SocketAddr,
    pub(crate) stopper: StopHandle,
    pub(crate) thread: JoinHandle<()>,
}

impl Instance {
    /// Returns the status of the readiness endpoint, or 0 if there is no response.
    pub(crate) async fn readiness(&self) -> u16 {
        readiness_status(self.readiness_addr).await
    }

    /// Returns the value of a metric without labels.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        metric(self.metrics_addr, name).await
    }

    /// Returns the addresses that a lookup by a client in `zone` of `region` lists.
    pub(crate) async fn lookup(&self, zone: &str, region: &str) -> Vec<SocketAddr> {
        lookup(self.lookup_addr, zone, region).await
    }

    /// Sends one request on a new connection.
    pub(crate) async fn send(&self, request: &str) -> Option<HttpResponse> {
        let mut client = Client::connect(self.traffic_addr).await;
        client.send(request).await;
        client.response().await
    }
}

/// Returns a GET request.
pub(crate) fn get_request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: 17\r\nX-Deadline-Ms: 3000\r\n\r\n"
    )
}

/// Returns a POST request.
pub(crate) fn post_request(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: 17\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A response received by a client.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl HttpResponse {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = fields.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A client connection.
pub(crate) struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    pub(crate) async fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).await.expect("the instance accepts connections");
        Client { stream, bytes: Vec::new() }
    }

    /// Connects, or returns `None` if the instance does not accept the connection.
    pub(crate) async fn try_connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).await.ok()?;
        Some(Client { stream, bytes: Vec::new() })
    }

    pub(crate) async fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Reads the next complete response, or returns `None` if the connection closes first.
    pub(crate) async fn response(&mut self) -> Option<HttpResponse> {
        time::timeout(TIMEOUT, self.read_response())
            .await
            .expect("a response or a close arrives in time")
    }

    async fn read_response(&mut self) -> Option<HttpResponse> {
        let end = loop {
            if let Some(at) = self.bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
        let mut response = HttpResponse { status, head, body: String::new() };
        self.bytes.drain(..end);
        let length = response.header("content-length").and_then(|text| text.parse().ok());
        let body = match response.header("transfer-encoding") {
            Some(_) => self.read_chunks().await?,
            None => self.take(length.unwrap_or(0)).await?,
        };
        response.body = String::from_utf8_lossy(&body).into_owned();
        Some(response)
    }

    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.bytes.windows(2).position(|window| window == b"\r\n") {
                    break at;
                }
                self.fill().await?;
            };
            let line = self.take(end + 2).await?;
            let size = usize::from_str_radix(std::str::from_utf8(&line[..end]).ok()?, 16).ok()?;
            body.extend(self.take(size).await?);
            self.take(2).await?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    async fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.bytes.len() < count {
            self.fill().await?;
        }
        Some(self.bytes.drain(..count).collect())
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

pub(crate) async fn get(addr: SocketAddr, path: &str) -> Option<HttpResponse> {
    let mut client = Client::try_connect(addr).await?;
    client.send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    client.response().await
}

/// Returns the value of a metric without labels that is served at `addr`.
pub(crate) async fn metric(addr: SocketAddr, name: &str) -> u64 {
    let text = get(addr, "/metrics").await.expect("metrics are served").body;
    let mut values = text.lines().filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    values.next().and_then(|value| value.parse().ok()).expect("the metric exists")
}

/// Returns the status of the readiness endpoint at `addr`, or 0 if there is no response.
pub(crate) async fn readiness_status(addr: SocketAddr) -> u16 {
    get(addr, "/-/readyz").await.map_or(0, |response| response.status)
}

/// Returns the addresses that a lookup at `addr` lists for a client in `zone` of `region`.
pub(crate) async fn lookup(addr: SocketAddr, zone: &str, region: &str) -> Vec<SocketAddr> {
    let path = format!("/-/resolve?name=shop.example&region={region}&zone={zone}");
    let Some(response) = get(addr, &path).await else { return Vec::new() };
    let Ok(body) = serde_json::from_str::<serde_json::Value>(&response.body) else {
        return Vec::new();
    };
    let addrs = body["addresses"].as_array().cloned().unwrap_or_default();
    addrs.iter().filter_map(|addr| addr.as_str()?.parse().ok()).collect()
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if the condition does not hold within the timeout.
pub(crate) async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}
