//! Test fixtures: a clock that can jump, a scripted platform, and snapshots.

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

/// Follows the test's time, and jumps ahead to simulate a pause of the process.
#[derive(Debug)]
pub(crate) struct JumpClock {
    origin: Instant,
    offset_ms: AtomicU64,
}

impl JumpClock {
    pub(crate) fn start() -> Arc<JumpClock> {
        Arc::new(JumpClock { origin: Instant::now(), offset_ms: AtomicU64::new(1_000) })
    }

    pub(crate) fn jump(&self, ms: u64) {
        self.offset_ms.fetch_add(ms, Ordering::Relaxed);
    }
}

impl Clock for JumpClock {
    fn now(&self) -> Millis {
        let offset_ms = self.offset_ms.load(Ordering::Relaxed);
        Millis(self.origin.elapsed().as_millis() as u64 + offset_ms)
    }

    fn epoch(&self) -> Millis {
        self.now()
    }
}

/// The result of one read of policies.
#[derive(Clone, Debug)]
pub(crate) enum PolicyRead {
    /// Returns rows with this sequence number.
    Ok(u64, Vec<Row>),
    /// Returns the same after a pause of the process, in milliseconds.
    Paused(u64, Vec<Row>, u64),
    /// Fails.
    Down,
}

/// Returns scripted results, and the last of them repeatedly.
pub(crate) struct ScriptedPlatform {
    pub(crate) clock: Arc<JumpClock>,
    pub(crate) list: InstanceList,
    /// Reads of the list that fail before the first that succeeds.
    pub(crate) list_failures: AtomicU64,
    reads: Mutex<VecDeque<PolicyRead>>,
    pub(crate) requested_sequences: Mutex<Vec<u64>>,
}

impl ScriptedPlatform {
    pub(crate) fn new(
        clock: &Arc<JumpClock>,
        list: InstanceList,
        reads: &[PolicyRead],
    ) -> ScriptedPlatform {
        ScriptedPlatform {
            clock: Arc::clone(clock),
            list,
            list_failures: AtomicU64::new(0),
            reads: Mutex::new(reads.iter().cloned().collect()),
            requested_sequences: Mutex::default(),
        }
    }

    fn next(&self) -> PolicyRead {
        let mut reads = self.reads.lock().unwrap();
        if reads.len() > 1 { reads.pop_front().unwrap() } else { reads[0].clone() }
    }
}

#[async_trait]
impl Platform for ScriptedPlatform {
    async fn changes(&self, _table: Table, since_sequence: u64) -> Result<Changes> {
        self.requested_sequences.lock().unwrap().push(since_sequence);
        match self.next() {
            PolicyRead::Ok(sequence, rows) => Ok(Changes { sequence, rows }),
            PolicyRead::Paused(sequence, rows, ms) => {
                self.clock.jump(ms);
                // Lets the membership task detect the pause before the response comes.
                time::sleep(Duration::from_millis(600)).await;
                Ok(Changes { sequence, rows })
            }
            PolicyRead::Down => Err(PlatformError::new(Effect::None, "down")),
        }
    }

    async fn instances(&self) -> Result<InstanceList> {
        let refuse = |left: u64| left.checked_sub(1);
        let left = &self.list_failures;
        if left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, refuse).is_ok() {
            return Err(PlatformError::new(Effect::None, "down"));
        }
        Ok(self.list.clone())
    }

    async fn read(&self, _table: Table, _key: &str) -> Result<Option<Row>> {
        unimplemented!("the poller reads changes, not rows")
    }

    async fn transact(&self, _writes: &[Write]) -> Result<Commit> {
        unimplemented!("nothing is written here")
    }

    async fn put_object(&self, _name: &str, _bytes: Bytes) -> Result<()> {
        unimplemented!("nothing is written here")
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Bytes>> {
        unimplemented!("the poller reads no objects")
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

pub(crate) fn empty_snapshot() -> Snapshot {
    Snapshot::empty(Arc::new(Topology {
        regions: Vec::new(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    }))
}

/// Starts a configuration with version 5 in force that is ready.
pub(crate) fn ready(clock: &Arc<JumpClock>, list: InstanceList) -> (Config, Snapshots) {
    let clock: Arc<dyn Clock> = Arc::clone(clock) as _;
    let (config, snapshots) = Config::start_with_clock(empty_snapshot(), clock);
    config.change(Change::List(list));
    config.change(Change::Policy(Box::new(policy(5)), Source::Platform));
    config.change(Change::Confirmed);
    (config, snapshots)
}

pub(crate) fn version(snapshots: &Snapshots) -> u64 {
    snapshots.current().policies.get("desk").map_or(0, |policy| policy.version)
}

/// Lets the tasks handle the messages that were sent to them.
pub(crate) async fn run_pending_tasks() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}
