//! A clock that jumps, a platform that answers by a script, and first snapshots.

use std::{
    collections::VecDeque,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use azuregate::{
    clock::Clock,
    config::{Change, Config, Snapshots, Source},
    platform::{Changes, Commit, Effect, Platform, PlatformError, Result, Row, Table, Write},
};
use azuregate_core::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::{Cap, DEFAULT_SHIFT_DELAY_MS, Policy},
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
    topology::Topology,
};
use bytes::Bytes;
use tokio::time::{self, Instant};

/// Follows the time of the test, and jumps when the process is "paused".
#[derive(Debug)]
pub(crate) struct JumpClock {
    origin: Instant,
    jumped_ms: AtomicU64,
}

impl JumpClock {
    pub(crate) fn start() -> Arc<JumpClock> {
        Arc::new(JumpClock { origin: Instant::now(), jumped_ms: AtomicU64::new(1_000) })
    }

    pub(crate) fn jump(&self, ms: u64) {
        self.jumped_ms.fetch_add(ms, Ordering::Relaxed);
    }
}

impl Clock for JumpClock {
    fn now(&self) -> Millis {
        let jumped_ms = self.jumped_ms.load(Ordering::Relaxed);
        Millis(self.origin.elapsed().as_millis() as u64 + jumped_ms)
    }

    fn epoch(&self) -> Millis {
        self.now()
    }
}

/// How one reading of policies goes.
#[derive(Clone, Debug)]
pub(crate) enum Reading {
    /// Answers rows with this sequence.
    Ok(u64, Vec<Row>),
    /// The same, while the process is paused for so long.
    Paused(u64, Vec<Row>, u64),
    /// Refuses.
    Down,
}

/// Answers by a script, its last line again and again.
pub(crate) struct Script {
    pub(crate) clock: Arc<JumpClock>,
    pub(crate) list: InstanceList,
    /// How often the list is refused at first.
    pub(crate) list_refusals: AtomicU64,
    readings: Mutex<VecDeque<Reading>>,
    pub(crate) asked: Mutex<Vec<u64>>,
}

impl Script {
    pub(crate) fn new(clock: &Arc<JumpClock>, list: InstanceList, readings: &[Reading]) -> Script {
        Script {
            clock: Arc::clone(clock),
            list,
            list_refusals: AtomicU64::new(0),
            readings: Mutex::new(readings.iter().cloned().collect()),
            asked: Mutex::default(),
        }
    }

    fn next(&self) -> Reading {
        let mut readings = self.readings.lock().unwrap();
        if readings.len() > 1 { readings.pop_front().unwrap() } else { readings[0].clone() }
    }
}

#[async_trait]
impl Platform for Script {
    async fn changes(&self, _table: Table, since_sequence: u64) -> Result<Changes> {
        self.asked.lock().unwrap().push(since_sequence);
        match self.next() {
            Reading::Ok(sequence, rows) => Ok(Changes { sequence, rows }),
            Reading::Paused(sequence, rows, ms) => {
                self.clock.jump(ms);
                // The pause is noticed before the old answer is read.
                time::sleep(Duration::from_millis(600)).await;
                Ok(Changes { sequence, rows })
            }
            Reading::Down => Err(PlatformError::new(Effect::None, "down")),
        }
    }

    async fn instances(&self) -> Result<InstanceList> {
        let refuse = |left: u64| left.checked_sub(1);
        let left = &self.list_refusals;
        if left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, refuse).is_ok() {
            return Err(PlatformError::new(Effect::None, "down"));
        }
        Ok(self.list.clone())
    }

    async fn read(&self, _table: Table, _key: &str) -> Result<Option<Row>> {
        unimplemented!("configuration is read by its changes")
    }

    async fn transact(&self, _writes: &[Write]) -> Result<Commit> {
        unimplemented!("nothing is written here")
    }

    async fn put_object(&self, _name: &str, _bytes: Bytes) -> Result<()> {
        unimplemented!("nothing is written here")
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Bytes>> {
        unimplemented!("configuration is no object")
    }
}

pub(crate) fn policy(version: u64) -> Policy {
    Policy {
        service: ServiceName::new("desk"),
        version,
        operation_id: format!("change-{version}"),
        zone_share_ppm: [].into(),
        cap: Cap { share_ppm: 100_000, window_ms: 1_000 },
        shift: None,
        shift_delay_ms: DEFAULT_SHIFT_DELAY_MS,
        drains: [].into(),
        timeout_ms: 1_000,
        queue_ms: 100,
    }
}

pub(crate) fn row(version: u64) -> Row {
    Row { key: "desk".to_owned(), version, value: serde_json::to_value(policy(version)).unwrap() }
}

pub(crate) fn instance(name: &str, ip: IpAddr) -> Instance {
    Instance {
        id: InstanceId::new(name),
        zone: ZoneName::new("zone"),
        ip,
        traffic_port: 7_100,
        peer_port: 7_101,
        liveness: Liveness::Live,
    }
}

pub(crate) fn server(index: u16) -> BackendServer {
    BackendServer {
        id: BackendId::new(&format!("desk-{index}")),
        service: ServiceName::new("desk"),
        zone: ZoneName::new("zone"),
        addr: SocketAddr::new([127, 0, 0, 1].into(), 1),
        start: StartNumber(1),
        slots: 3,
        liveness: Liveness::Live,
    }
}

pub(crate) fn list(instances: &[Instance]) -> InstanceList {
    InstanceList { instances: instances.to_vec(), backends: (0..4).map(server).collect() }
}

pub(crate) fn first() -> Snapshot {
    Snapshot::empty(Arc::new(Topology {
        regions: Vec::new(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    }))
}

/// A configuration with version 5 in force, ready.
pub(crate) fn ready(clock: &Arc<JumpClock>, list: InstanceList) -> (Config, Snapshots) {
    let clock: Arc<dyn Clock> = Arc::clone(clock) as _;
    let (config, snapshots) = Config::start_with_clock(first(), clock);
    config.change(Change::List(list));
    config.change(Change::Policy(Box::new(policy(5)), Source::Platform));
    config.change(Change::Confirmed);
    (config, snapshots)
}

pub(crate) fn version(snapshots: &Snapshots) -> u64 {
    snapshots.current().policies.get("desk").map_or(0, |policy| policy.version)
}

/// Lets the tasks take in what was sent to them.
pub(crate) async fn settle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}
