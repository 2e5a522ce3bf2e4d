//! A platform in memory that fails as it is told, and a service that uses it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use azuregate::{
    clock::Clock,
    config::{Change, Config, Snapshots},
    metrics::{NullSink, Recorder},
    operators::{Dependencies, FailureClass, OperatorsService, convert},
    platform::{
        Changes, Commit, Effect, Expect, Platform, PlatformError, Result, Row, Table, Write,
    },
    settings::Settings,
    stop,
};
use azuregate_core::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::{Cap, Policy},
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
};
use azuregate_schema::v1::ChangeResponse;
use bytes::Bytes;
use tonic::{Response, Status};

pub(crate) const SERVICE: &str = "starter-desk";

/// What goes wrong with one transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Refused, without effect.
    Refused,
    /// Takes effect; the answer is lost.
    ResponseLost,
    /// The call is lost on its way; no effect.
    RequestLost,
    /// Takes effect, the answer is lost, and a rival changes the policy.
    ResponseLostThenConflict,
    /// The call is lost on its way, and a rival changes the policy.
    RequestLostThenConflict,
    /// The answer is lost, and the effect comes with the next transaction.
    AppliedLate,
    /// Takes effect; the answer is lost, and the platform goes down.
    ResponseLostThenDown,
    /// A rival changes the policy just before.
    ConflictFirst,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(Table, String), Row>,
    script: VecDeque<Fault>,
    delayed: Option<Vec<Write>>,
    down: bool,
}

#[derive(Default)]
pub(crate) struct FakePlatform {
    state: Mutex<State>,
}

impl FakePlatform {
    pub(crate) fn script(&self, faults: &[Fault]) {
        self.state.lock().unwrap().script = faults.iter().copied().collect();
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub(crate) fn policy(&self) -> Policy {
        let state = self.state.lock().unwrap();
        let row = &state.rows[&(Table::Policy, SERVICE.to_owned())];
        serde_json::from_value(row.value.clone()).unwrap()
    }

    pub(crate) fn put(&self, table: Table, key: &str, value: serde_json::Value) {
        let version = 1;
        let row = Row { key: key.to_owned(), version, value };
        self.state.lock().unwrap().rows.insert((table, key.to_owned()), row);
    }
}

impl State {
    fn apply(&mut self, writes: &[Write]) -> Commit {
        for (index, write) in writes.iter().enumerate() {
            let row = self.rows.get(&(write.table, write.key.clone()));
            let met = match write.expect {
                Expect::Absent => row.is_none(),
                Expect::Version(version) => row.is_some_and(|row| row.version == version),
            };
            if !met {
                return Commit::Conflict { index, row: row.cloned() };
            }
        }
        let mut versions = Vec::new();
        for write in writes {
            let key = (write.table, write.key.clone());
            let version = self.rows.get(&key).map_or(1, |row| row.version + 1);
            let value = write.value.clone().unwrap();
            self.rows.insert(key, Row { key: write.key.clone(), version, value });
            versions.push(version);
        }
        Commit::Done(versions)
    }

    /// Another operator makes the timeout a millisecond longer.
    fn apply_concurrent_change(&mut self) {
        let row = self.rows.get_mut(&(Table::Policy, SERVICE.to_owned())).unwrap();
        let mut policy: Policy = serde_json::from_value(row.value.clone()).unwrap();
        policy.version += 1;
        policy.timeout_ms += 1;
        policy.operation_id = "rival".to_owned();
        row.version += 1;
        row.value = serde_json::to_value(&policy).unwrap();
    }
}

fn response_lost() -> PlatformError {
    PlatformError::new(Effect::Unknown, "no answer within 1000 ms")
}

fn refused() -> PlatformError {
    PlatformError::new(Effect::None, "refused: 503")
}

#[async_trait]
impl Platform for FakePlatform {
    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>> {
        // Lets calls that run at once overtake each other.
        tokio::task::yield_now().await;
        let state = self.state.lock().unwrap();
        if state.down {
            return Err(refused());
        }
        Ok(state.rows.get(&(table, key.to_owned())).cloned())
    }

    async fn changes(&self, _table: Table, _since_sequence: u64) -> Result<Changes> {
        Err(refused())
    }

    async fn transact(&self, writes: &[Write]) -> Result<Commit> {
        tokio::task::yield_now().await;
        let mut state = self.state.lock().unwrap();
        if let Some(delayed) = state.delayed.take() {
            state.apply(&delayed);
        }
        let Some(fault) = state.script.pop_front() else {
            if state.down {
                return Err(refused());
            }
            return Ok(state.apply(writes));
        };
        match fault {
            Fault::Refused => return Err(refused()),
            Fault::ConflictFirst => {
                state.apply_concurrent_change();
                return Ok(state.apply(writes));
            }
            Fault::RequestLost => {}
            Fault::RequestLostThenConflict => state.apply_concurrent_change(),
            Fault::AppliedLate => state.delayed = Some(writes.to_vec()),
            Fault::ResponseLost => drop(state.apply(writes)),
            Fault::ResponseLostThenConflict => {
                state.apply(writes);
                state.apply_concurrent_change();
            }
            Fault::ResponseLostThenDown => {
                state.apply(writes);
                state.down = true;
            }
        }
        Err(response_lost())
    }

    async fn put_object(&self, _name: &str, _bytes: Bytes) -> Result<()> {
        Err(refused())
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Bytes>> {
        Err(refused())
    }

    async fn instances(&self) -> Result<InstanceList> {
        Err(refused())
    }
}

/// A clock that stands.
#[derive(Debug)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Millis {
        Millis(1_000)
    }

    fn epoch(&self) -> Millis {
        Millis(1_000_000)
    }
}

/// A service on a platform that holds version 1 of one policy.
pub(crate) struct Fixture {
    pub(crate) platform: Arc<FakePlatform>,
    pub(crate) service: OperatorsService,
    pub(crate) snapshots: Snapshots,
    pub(crate) recorder: Recorder,
    pub(crate) config: Config,
    _stopper: stop::Stopper,
}

impl Fixture {
    pub(crate) async fn new() -> Fixture {
        let text = include_str!("../../../../examples/entry.jsonc");
        let settings = Settings::parse(text).unwrap();
        let platform = Arc::new(FakePlatform::default());
        platform.put(Table::Policy, SERVICE, serde_json::to_value(initial_policy()).unwrap());
        let (config, snapshots) = Config::start(Snapshot::empty(Arc::new(settings.topology)));
        config.change(Change::List(instance_list()));
        let policy = Box::new(initial_policy());
        config.change(Change::Policy(policy, azuregate::config::Source::Platform));
        config.change(Change::Confirmed);
        snapshots.watch().wait_for(|snapshot| snapshot.ready).await.unwrap();
        let recorder = Recorder::start(Arc::new(NullSink));
        let (stopper, stop) = stop::channel();
        let service = OperatorsService::new(Dependencies {
            instance: settings.instance,
            zone: settings.zone,
            start: StartNumber(7),
            config: config.clone(),
            snapshots: snapshots.clone(),
            platform: platform.clone(),
            clock: Arc::new(FixedClock),
            recorder: recorder.clone(),
            stop,
        });
        Fixture { platform, service, snapshots, recorder, config, _stopper: stopper }
    }

    /// The version in force on this instance.
    pub(crate) fn version_in_force(&self) -> u64 {
        self.snapshots.current().policies[SERVICE].version
    }
}

pub(crate) fn initial_policy() -> Policy {
    Policy {
        service: ServiceName::new(SERVICE),
        version: 1,
        operation_id: "first".to_owned(),
        zone_share_ppm: [("sofia-a", 600_000), ("varna-a", 400_000)]
            .map(|(zone, ppm)| (ZoneName::new(zone), ppm))
            .into(),
        cap: Cap { share_ppm: 100_000, window_ms: 1_000 },
        shift: None,
        shift_delay_ms: 13_000,
        drains: Default::default(),
        timeout_ms: 10_000,
        queue_ms: 200,
    }
}

/// The platform's list: two backend servers in each of three zones, and two entry instances.
pub(crate) fn instance_list() -> InstanceList {
    let zones = ["sofia-a", "plovdiv-a", "varna-a"];
    let backends = (0_u16..6).map(|index| BackendServer {
        id: BackendId::new(&format!("{SERVICE}-{:02}", index + 1)),
        service: ServiceName::new(SERVICE),
        zone: ZoneName::new(zones[usize::from(index) % zones.len()]),
        addr: format!("127.0.11.1:{}", 9_000 + index).parse().unwrap(),
        start: StartNumber(1),
        slots: 3,
        liveness: Liveness::Live,
    });
    let instances = [("entry-1", "sofia-a"), ("entry-2", "varna-a")].map(|(id, zone)| Instance {
        id: InstanceId::new(id),
        zone: ZoneName::new(zone),
        ip: "127.0.10.1".parse().unwrap(),
        traffic_port: 8080,
        peer_port: 8081,
        liveness: Liveness::Live,
    });
    InstanceList { instances: instances.into(), backends: backends.collect() }
}

/// How a call ended, in a word and the version that it speaks of.
pub(crate) fn outcome(result: &std::result::Result<Response<ChangeResponse>, Status>) -> String {
    let response = match result {
        Ok(response) => response.get_ref(),
        Err(status) => return FailureClass::from_status(status).unwrap().as_str().to_owned(),
    };
    let policy = response.policy.clone().map(|policy| convert::from_proto(policy).unwrap());
    let version = policy.map_or(0, |policy| policy.version);
    match (response.accepted, response.conflict, response.repeated) {
        (true, false, false) => format!("accepted {version}"),
        (true, false, true) => format!("repeated {version}"),
        (false, true, false) => format!("conflict {version}"),
        (false, false, false) => format!("planned {version}"),
        odd => panic!("{odd:?}"),
    }
}
