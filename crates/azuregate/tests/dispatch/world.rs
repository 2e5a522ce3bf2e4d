//! A gateway, another instance and a backend server on a simulated network.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use azuregate::{
    backend::Pool,
    body::{self, Body},
    claims::Claims,
    clock::{SharedClock, SystemClock},
    config::{Change, Config, Source},
    dispatch::{LoadExchange, LoadUpdate, RoutingMode},
    gateway::{Gateway, GatewayContext},
    metrics::{NullSink, Recorder},
    platform::{Changes, Commit, Effect, Platform, PlatformError, Result, Row, Table, Write},
    selector::{SelectorContext, Selectors},
    timer::Timer,
};
use azuregate_core::{
    names::{InstanceId, ServiceName, StartNumber, ZoneName},
    route::group::{GroupId, GroupLoad},
    snapshot::{InstanceList, Snapshot},
};
use bytes::Bytes;
use hyper::{Request, Response};
use serde_json::json;

use crate::net::{Host, Net};

/// Address of the backend server, which is in the other instance's zone.
pub(crate) fn server() -> SocketAddr {
    "127.0.0.9:1".parse().unwrap()
}

/// Address of the other instance, which dispatches for the server's group.
pub(crate) fn peer() -> SocketAddr {
    "127.0.0.2:1".parse().unwrap()
}

/// Address of a client, which is not an instance.
pub(crate) fn caller() -> SocketAddr {
    "127.0.0.77:5".parse().unwrap()
}

pub(crate) struct World {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) net: Net,
    exchange: LoadExchange,
    config: Config,
}

impl World {
    /// `entry-1` in zone `r-a`, with `entry-2` and the server in `r-b`.
    pub(crate) async fn start(peer_host: Host) -> World {
        let net = Net::default();
        net.set(server(), Host::Responds);
        net.set(peer(), peer_host);
        let clock: SharedClock = Arc::new(SystemClock::new());
        let topology = json!({
            "regions": [{ "name": "r", "zones": ["r-a", "r-b"] }],
            "zone_delay_ms": 1, "region_delay_ms": 1, "link_mbit_per_s": 4000,
        });
        let topology = Arc::new(serde_json::from_value(topology).unwrap());
        let (config, snapshots) = Config::start(Snapshot::empty(topology));
        configure(&config);
        snapshots.watch().wait_for(|snapshot| snapshot.ready).await.unwrap();
        let (instance, zone) = (InstanceId::new("entry-1"), ZoneName::new("r-a"));
        let start = StartNumber(clock.epoch().0);
        let exchange = LoadExchange::default();
        let selectors = Selectors::new(SelectorContext {
            instance: instance.clone(),
            zone: zone.clone(),
            start,
            routing_mode: RoutingMode::Dispatch,
            clock: Arc::clone(&clock),
            snapshots: snapshots.clone(),
            exchange: exchange.clone(),
            timer: Timer::start(),
        });
        let gateway = Gateway::new(GatewayContext {
            instance: instance.clone(),
            zone,
            snapshots: snapshots.clone(),
            config: config.clone(),
            clock: Arc::clone(&clock),
            dialer: Arc::new(net.clone()),
            pool: Pool::start(Arc::clone(&clock)),
            claims: Claims::new(Arc::new(UnavailablePlatform), clock, snapshots, &instance, start),
            selectors,
            recorder: Recorder::start(Arc::new(NullSink)),
        });
        World { gateway: Arc::new(gateway), net, exchange, config }
    }

    pub(crate) async fn send(&self, request: Request<Body>) -> Response<Body> {
        self.gateway.handle(request, caller()).await
    }

    /// Reports the other instance as away.
    pub(crate) fn report_peer_away(&self) {
        self.config.change(Change::Unavailable([InstanceId::new("entry-2")].into()));
    }

    /// Delivers a load update of the dispatcher for the server's group.
    pub(crate) fn deliver_load(&self, free: u32) {
        let load = GroupLoad { free, slots: 3, service_ms: 20, ..GroupLoad::default() };
        let service = ServiceName::new("svc");
        let group = GroupId { zone: ZoneName::new("r-b"), part: 0 };
        self.exchange.receive(LoadUpdate {
            peer: InstanceId::new("entry-2"),
            service,
            group,
            load,
        });
    }
}

pub(crate) fn request(method: &str) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri("/")
        .header("host", "svc")
        .header("azuregate-timeout-ms", "3000")
        .body(body::empty())
        .unwrap()
}

fn configure(config: &Config) {
    let policy = json!({
        "service": "svc", "version": 1, "operation_id": "o", "zone_share_ppm": {},
        "cap": { "share_ppm": 100_000, "window_ms": 1_000 },
        "timeout_ms": 5_000, "queue_ms": 200,
    });
    let entry = |id: &str, zone: &str, ip: &str| json!({ "id": id, "zone": zone, "ip": ip, "traffic_port": 1, "peer_port": 2 });
    let list = json!({
        "instances": [entry("entry-1", "r-a", "127.0.0.1"), entry("entry-2", "r-b", "127.0.0.2")],
        "backends": [{ "id": "b1", "service": "svc", "zone": "r-b", "addr": server(), "slots": 3 }],
    });
    let list: InstanceList = serde_json::from_value(list).unwrap();
    config.change(Change::List(list));
    config.change(Change::Policy(serde_json::from_value(policy).unwrap(), Source::Platform));
    config.change(Change::Confirmed);
}

/// A platform that is down; no test here may depend on it.
struct UnavailablePlatform;

fn down<T>() -> Result<T> {
    Err(PlatformError::new(Effect::None, "down"))
}

#[async_trait]
impl Platform for UnavailablePlatform {
    async fn read(&self, _table: Table, _key: &str) -> Result<Option<Row>> {
        down()
    }

    async fn changes(&self, _table: Table, _since_sequence: u64) -> Result<Changes> {
        down()
    }

    async fn transact(&self, _writes: &[Write]) -> Result<Commit> {
        down()
    }

    async fn put_object(&self, _name: &str, _bytes: Bytes) -> Result<()> {
        down()
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Bytes>> {
        down()
    }

    async fn instances(&self) -> Result<InstanceList> {
        down()
    }
}
