//! A gateway with one backend server, called directly by the tests.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use azuregate::{
    backend::{HttpDialer, Pool, SharedDialer},
    body::{self, Body},
    claims::{ClaimCleaner, Claims},
    clock::{Clock, SharedClock, SystemClock},
    config::{Change, Config, Snapshots, Source},
    dispatch::{LoadExchange, RoutingMode},
    gateway::{Gateway, GatewayContext},
    metrics::{NullSink, Recorder},
    selector::{SelectorContext, Selectors},
    timer::Timer,
};
use azuregate_core::{
    home::HomeToken,
    names::{InstanceId, StartNumber, ZoneName},
    snapshot::Snapshot,
    time::Millis,
};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response};
use serde_json::json;
use tokio::time;

use crate::{fake_dialer::FakeDialer, fake_platform::FakePlatform, script::Script, server};

/// The backend adapter that the gateway uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Adapter {
    Real,
    Fake,
}

/// The system clocks, which a test can advance.
#[derive(Debug, Default)]
pub(crate) struct OffsetClock {
    system: SystemClock,
    ahead_ms: AtomicU64,
}

impl OffsetClock {
    /// Advances the clocks, as if the process had been paused.
    pub(crate) fn advance(&self, ms: u64) {
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }

    fn ahead(&self) -> Millis {
        Millis(self.ahead_ms.load(Ordering::SeqCst))
    }
}

impl Clock for OffsetClock {
    fn now(&self) -> Millis {
        self.system.now() + self.ahead()
    }

    fn epoch(&self) -> Millis {
        self.system.epoch() + self.ahead()
    }
}

/// An entry instance.
pub(crate) struct World {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) script: Script,
    pub(crate) platform: FakePlatform,
    pub(crate) start: StartNumber,
    pub(crate) clock: Arc<OffsetClock>,
    pub(crate) addr: SocketAddr,
    snapshots: Snapshots,
}

/// The response as the client received it.
#[derive(Debug)]
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after: String,
    pub(crate) code: String,
    /// The body, or `None` if it was truncated.
    pub(crate) body: Option<Vec<u8>>,
}

impl World {
    pub(crate) async fn start(adapter: Adapter, script: Script) -> World {
        let platform = FakePlatform::default();
        World::start_with(adapter, script, platform, "entry-1").await
    }

    /// Starts an instance that may share its platform with others.
    pub(crate) async fn start_with(
        adapter: Adapter,
        script: Script,
        platform: FakePlatform,
        name: &str,
    ) -> World {
        let addr = server::start(script.clone()).await;
        World::build(adapter, script, platform, name, addr).await
    }

    /// Starts an instance whose backend server is at `addr`.
    pub(crate) async fn start_at(adapter: Adapter, addr: SocketAddr) -> World {
        World::build(adapter, Script::new(&[]), FakePlatform::default(), "entry-1", addr).await
    }

    async fn build(
        adapter: Adapter,
        script: Script,
        platform: FakePlatform,
        name: &str,
        addr: SocketAddr,
    ) -> World {
        let offset_clock = Arc::new(OffsetClock::default());
        platform.state().clock.get_or_insert_with(|| Arc::clone(&offset_clock));
        let clock: SharedClock = offset_clock.clone();
        let dialer: SharedDialer = match adapter {
            Adapter::Real => Arc::new(HttpDialer { ip: [127, 0, 0, 1].into() }),
            Adapter::Fake => Arc::new(FakeDialer(script.clone())),
        };
        let topology = json!({
            "regions": [{ "name": "r", "zones": ["r-a"] }],
            "zone_delay_ms": 1, "region_delay_ms": 1, "link_mbit_per_s": 4000,
        });
        let topology = Arc::new(serde_json::from_value(topology).unwrap());
        let (config, snapshots) = Config::start(Snapshot::empty(topology));
        configure(&config, addr);
        let mut watch = snapshots.watch();
        watch.wait_for(|snapshot| snapshot.ready).await.unwrap();
        let instance = InstanceId::new(name);
        let start = StartNumber(clock.epoch().0 - clock.now().0);
        let selectors = Selectors::new(SelectorContext {
            instance: instance.clone(),
            zone: ZoneName::new("r-a"),
            start,
            routing_mode: RoutingMode::nearest(),
            clock: Arc::clone(&clock),
            snapshots: snapshots.clone(),
            exchange: LoadExchange::default(),
            timer: Timer::start(),
        });
        let gateway = Gateway::new(GatewayContext {
            instance: instance.clone(),
            zone: ZoneName::new("r-a"),
            snapshots: snapshots.clone(),
            config,
            clock: Arc::clone(&clock),
            dialer,
            pool: Pool::start(Arc::clone(&clock)),
            claims: Claims::new(
                Arc::new(platform.clone()),
                Arc::clone(&clock),
                snapshots.clone(),
                &instance,
                start,
            ),
            selectors,
            recorder: Recorder::start(Arc::new(NullSink)),
        });
        World {
            gateway: Arc::new(gateway),
            script,
            platform,
            start,
            clock: offset_clock,
            addr,
            snapshots,
        }
    }

    /// Returns the claim cleaner of an instance.
    pub(crate) fn cleaner(&self, instance: &str) -> ClaimCleaner {
        ClaimCleaner {
            instance: InstanceId::new(instance),
            platform: Arc::new(self.platform.clone()),
            clock: self.clock.clone(),
            snapshots: self.snapshots.clone(),
            timer: Timer::start(),
        }
    }

    /// Returns this instance's home token.
    pub(crate) fn home(&self) -> HomeToken {
        HomeToken {
            instance: InstanceId::new("entry-1"),
            start: self.start,
            issued_at_ms: self.clock.epoch(),
        }
    }

    pub(crate) async fn send(&self, request: Request<Body>) -> ClientResponse {
        read_response(self.gateway.handle(request, self.addr).await).await
    }

    /// Sends a request that leaves a connection in the pool.
    pub(crate) async fn warm_up(&self) {
        let steps = std::mem::take(&mut self.script.state().steps);
        self.send(get("/warm").body(body::empty()).unwrap()).await;
        // Let the pool's task process the returned connection.
        time::sleep(Duration::from_millis(5)).await;
        let mut state = self.script.state();
        state.steps = steps;
        (state.tried, state.ran, state.opened) = (0, 0, 0);
    }
}

/// Reads a whole response.
pub(crate) async fn read_response(response: Response<Body>) -> ClientResponse {
    let (head, body) = response.into_parts();
    let header = |name: &str| {
        let value = head.headers.get(name).map(|value| value.to_str().unwrap().to_owned());
        value.unwrap_or_else(|| "-".to_owned())
    };
    let body = body.collect().await.ok().map(|body| body.to_bytes().to_vec());
    let text = String::from_utf8(body.clone().unwrap_or_default()).unwrap();
    let (outcome, retry_after) = (header("azuregate-outcome"), header("retry-after"));
    let code = match outcome.as_str() {
        "-" => "-".to_owned(),
        _ => text.split(':').next().unwrap().to_owned(),
    };
    ClientResponse { status: head.status.as_u16(), outcome, retry_after, code, body }
}

pub(crate) fn get(path: &str) -> hyper::http::request::Builder {
    Request::builder().uri(path).header("host", "svc").header("azuregate-timeout-ms", "250")
}

pub(crate) fn post(path: &str) -> hyper::http::request::Builder {
    get(path).method(Method::POST)
}

/// Returns an order with an idempotency key and, optionally, the key's home.
pub(crate) fn order(key: &str, home: Option<&HomeToken>) -> Request<Body> {
    let mut builder = post("/orders").header("idempotency-key", key);
    if let Some(home) = home {
        builder = builder.header("azuregate-home", home.to_string());
    }
    builder.body(body::full("one starter")).unwrap()
}

/// Waits until `holds` returns true; panics after about 5 s.
pub(crate) async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never: {what}");
}

fn configure(config: &Config, addr: SocketAddr) {
    let policy = json!({
        "service": "svc", "version": 1, "operation_id": "o", "zone_share_ppm": {},
        "cap": { "share_ppm": 100_000, "window_ms": 1_000 },
        "timeout_ms": 5_000, "queue_ms": 200,
    });
    let entry = |id: &str| json!({ "id": id, "zone": "r-a", "ip": "127.0.0.1", "traffic_port": 1, "peer_port": 2 });
    let list = json!({
        "instances": [entry("entry-1"), entry("entry-2")],
        "backends": [{ "id": "b1", "service": "svc", "zone": "r-a", "addr": addr, "slots": 3 }],
    });
    config.change(Change::List(serde_json::from_value(list).unwrap()));
    config.change(Change::Policy(serde_json::from_value(policy).unwrap(), Source::Platform));
    config.change(Change::Confirmed);
}
