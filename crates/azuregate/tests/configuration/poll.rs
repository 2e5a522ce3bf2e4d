//! Tests of polling the platform.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use azuregate::{
    config::{Config, PAUSE_THRESHOLD_MS, Snapshots},
    membership::{self, Members},
    platform::Row,
    poll::{Poller, READS_PER_S},
    timer::Timer,
};
use azuregate_core::{
    membership::Heartbeat,
    names::{InstanceId, StartNumber},
    snapshot::{Instance, Readiness},
};
use tokio::time;

use crate::world::{
    JumpClock, PolicyRead, ScriptedPlatform, empty_snapshot, instance, list, row, version,
};

struct World {
    snapshots: Snapshots,
    members: Members,
    platform: Arc<ScriptedPlatform>,
}

fn start(listed: &[Instance], reads: &[PolicyRead]) -> World {
    let clock = JumpClock::start();
    let (config, snapshots) = Config::start_with_clock(empty_snapshot(), Arc::clone(&clock) as _);
    let timer = Timer::start();
    let members = Members::start(membership::Parts {
        instance: InstanceId::new("entry-0"),
        config: config.clone(),
        snapshots: snapshots.clone(),
        clock: Arc::clone(&clock) as _,
        timer: timer.clone(),
    });
    let platform = Arc::new(ScriptedPlatform::new(&clock, list(listed), reads));
    let poller = Poller {
        platform: Arc::clone(&platform) as _,
        config,
        snapshots: snapshots.clone(),
        members: members.clone(),
        clock,
        timer,
        min_interval_ms: 500,
    };
    tokio::spawn(poller.serve());
    World { snapshots, members, platform }
}

fn instances(count: usize) -> Vec<Instance> {
    (0..count).map(|i| instance(&format!("entry-{i}"), [127, 0, 0, 1].into())).collect()
}

fn invalid_row() -> Row {
    Row { key: "desk".to_owned(), version: 9, value: serde_json::json!({ "service": 7 }) }
}

// The version in force must never decrease, and only the platform's newest state may
// make an instance ready.
#[tokio::test(start_paused = true)]
async fn policy_reads_set_version_and_readiness() {
    use PolicyRead::{Down, Ok, Paused};

    let cases: Vec<(&str, Vec<PolicyRead>, u64, Readiness)> = vec![
        ("one read", vec![Ok(3, vec![row(5)])], 5, Readiness::Platform),
        ("platform down", vec![Down], 0, Readiness::Starting),
        ("platform down after a read", vec![Ok(3, vec![row(5)]), Down], 5, Readiness::Platform),
        ("lagging read", vec![Ok(3, vec![row(5)]), Ok(2, vec![row(4)])], 5, Readiness::Platform),
        (
            "invalid row",
            vec![Ok(3, vec![row(5)]), Ok(4, vec![invalid_row()])],
            5,
            Readiness::Platform,
        ),
        ("deleted row", vec![Ok(3, vec![row(5)]), Ok(4, vec![])], 5, Readiness::Platform),
        (
            "response delayed by a pause",
            vec![Paused(3, vec![row(5)], PAUSE_THRESHOLD_MS + 1), Down],
            5,
            Readiness::Resumed,
        ),
    ];
    for (case, reads, in_force, readiness) in cases {
        let world = start(&instances(3), &reads);
        time::sleep(Duration::from_secs(4)).await;
        let snapshot = world.snapshots.current();
        assert_eq!(version(&world.snapshots), in_force, "{case}");
        assert_eq!(snapshot.readiness, readiness, "{case}");
    }
}

// If policies are read but the list is not, a ready instance would have no backend
// server for any request.
#[tokio::test(start_paused = true)]
async fn policies_without_an_instance_list_do_not_make_ready() {
    let world = start(&instances(3), &[PolicyRead::Ok(3, vec![row(5)])]);
    world.platform.list_failures.store(2, Ordering::Relaxed);
    time::sleep(Duration::from_millis(400)).await;
    assert_eq!((version(&world.snapshots), world.snapshots.current().ready), (5, false));
    time::sleep(Duration::from_secs(2)).await;
    assert!(world.snapshots.current().ready);
}

// If a read from a lagging replica counted as a confirmation, an instance with an
// outdated configuration would keep getting work.
#[tokio::test(start_paused = true)]
async fn an_older_state_is_not_a_confirmation() {
    let older = PolicyRead::Ok(2, vec![row(4)]);
    let reads = [PolicyRead::Ok(3, vec![row(5)]), older.clone(), older.clone(), older];
    let world = start(&instances(3), &reads);
    time::sleep(Duration::from_millis(900)).await;
    let first = world.members.confirmed_at_ms();
    time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(world.members.confirmed_at_ms(), first);
    // After a restore from a backup, the state stays older and is accepted in the end.
    time::sleep(Duration::from_secs(5)).await;
    assert!(world.members.confirmed_at_ms() > first);
    assert!(
        world.platform.requested_sequences.lock().unwrap().contains(&0),
        "reading did not start again from 0"
    );
    assert_eq!(version(&world.snapshots), 5);
}

// The rate of reads of all instances together must not grow with their number.
#[tokio::test(start_paused = true)]
async fn instances_share_the_read_rate() {
    for count in [3, 90, 680] {
        let world = start(&instances(count), &[PolicyRead::Ok(1, vec![row(5)])]);
        time::sleep(Duration::from_secs(600)).await;
        let polls = world.platform.requested_sequences.lock().unwrap().len();
        let reads_per_s = polls as f64 * 2.0 * count as f64 / 600.0;
        let limit = (READS_PER_S as f64 * 1.1).max(4.0 * count.min(10) as f64 * 1.5);
        assert!(reads_per_s <= limit, "{count} instances: {reads_per_s} reads/s, limit {limit}");
    }
}

// A single peer may have missed a change, so one that agrees must not be enough to
// become ready.
#[tokio::test(start_paused = true)]
async fn two_agreeing_peers_make_an_instance_ready_while_the_platform_is_down() {
    let world = start(&instances(5), &[PolicyRead::Down]);
    time::sleep(Duration::from_secs(1)).await;
    let heartbeat = Heartbeat {
        ready: true,
        confirmed_age_ms: Some(60_000),
        digest: world.snapshots.current().digest(),
    };
    let other_digest = Heartbeat { digest: heartbeat.digest + 1, ..heartbeat };
    let not_ready = Heartbeat { ready: false, ..heartbeat };
    let receive = |index, heartbeat| {
        let id = InstanceId::new(&format!("entry-{index}"));
        world.members.heartbeat_received(&id, StartNumber(1), heartbeat);
    };
    receive(1, heartbeat);
    receive(2, other_digest);
    receive(3, not_ready);
    time::sleep(Duration::from_millis(600)).await;
    assert!(!world.snapshots.current().ready, "ready with only one agreeing peer");
    receive(1, heartbeat);
    receive(2, heartbeat);
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(world.snapshots.current().readiness, Readiness::Peers(2));
}
