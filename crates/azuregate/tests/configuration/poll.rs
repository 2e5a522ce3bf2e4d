//! Reading the platform.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use azuregate::{
    config::{Config, PAUSE_MS, Snapshots},
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

use crate::world::{JumpClock, Reading, Script, first, instance, list, row, version};

struct World {
    snapshots: Snapshots,
    members: Members,
    platform: Arc<Script>,
}

fn start(listed: &[Instance], readings: &[Reading]) -> World {
    let clock = JumpClock::start();
    let (config, snapshots) = Config::start_with_clock(first(), Arc::clone(&clock) as _);
    let timer = Timer::start();
    let members = Members::start(membership::Parts {
        instance: InstanceId::new("entry-0"),
        config: config.clone(),
        snapshots: snapshots.clone(),
        clock: Arc::clone(&clock) as _,
        timer: timer.clone(),
    });
    let platform = Arc::new(Script::new(&clock, list(listed), readings));
    let poller = Poller {
        platform: Arc::clone(&platform) as _,
        config,
        snapshots: snapshots.clone(),
        members: members.clone(),
        clock,
        timer,
        every_ms: 500,
    };
    tokio::spawn(poller.serve());
    World { snapshots, members, platform }
}

fn instances(count: usize) -> Vec<Instance> {
    (0..count).map(|i| instance(&format!("entry-{i}"), [127, 0, 0, 1].into())).collect()
}

fn garbage() -> Row {
    Row { key: "desk".to_owned(), version: 9, value: serde_json::json!({ "service": 7 }) }
}

// The platform is read a few times, by a script. What is in force at the end
// never goes back, and only its newest state makes an instance ready.
#[tokio::test(start_paused = true)]
async fn readings() {
    use Reading::{Down, Ok, Paused};

    let cases: Vec<(&str, Vec<Reading>, u64, Readiness)> = vec![
        ("plain", vec![Ok(3, vec![row(5)])], 5, Readiness::Platform),
        ("down", vec![Down], 0, Readiness::Starting),
        ("goes down", vec![Ok(3, vec![row(5)]), Down], 5, Readiness::Platform),
        ("lagging", vec![Ok(3, vec![row(5)]), Ok(2, vec![row(4)])], 5, Readiness::Platform),
        ("garbage", vec![Ok(3, vec![row(5)]), Ok(4, vec![garbage()])], 5, Readiness::Platform),
        ("row deleted", vec![Ok(3, vec![row(5)]), Ok(4, vec![])], 5, Readiness::Platform),
        ("an old answer", vec![Paused(3, vec![row(5)], PAUSE_MS + 1), Down], 5, Readiness::Resumed),
    ];
    for (case, readings, in_force, readiness) in cases {
        let world = start(&instances(3), &readings);
        time::sleep(Duration::from_secs(4)).await;
        let snapshot = world.snapshots.current();
        assert_eq!(version(&world.snapshots), in_force, "{case}");
        assert_eq!(snapshot.readiness, readiness, "{case}");
    }
}

// The platform comes up between two reads: the list was refused, policies are
// answered. Served now, every request would find no backend server.
#[tokio::test(start_paused = true)]
async fn policies_without_a_list_are_not_enough() {
    let world = start(&instances(3), &[Reading::Ok(3, vec![row(5)])]);
    world.platform.list_refusals.store(2, Ordering::Relaxed);
    time::sleep(Duration::from_millis(400)).await;
    assert_eq!((version(&world.snapshots), world.snapshots.current().ready), (5, false));
    time::sleep(Duration::from_secs(2)).await;
    assert!(world.snapshots.current().ready);
}

// A copy of the platform lags: its answer is older than what was read before. It
// does not count as a confirmation, or an instance would stay in the answers of
// the others with a configuration that was replaced meanwhile.
#[tokio::test(start_paused = true)]
async fn an_older_state_confirms_nothing() {
    let older = Reading::Ok(2, vec![row(4)]);
    let readings = [Reading::Ok(3, vec![row(5)]), older.clone(), older.clone(), older];
    let world = start(&instances(3), &readings);
    time::sleep(Duration::from_millis(900)).await;
    let first = world.members.confirmed_at_ms();
    time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(world.members.confirmed_at_ms(), first);
    // A platform that was restored stays older; in the end that is its state.
    time::sleep(Duration::from_secs(5)).await;
    assert!(world.members.confirmed_at_ms() > first);
    assert!(world.platform.asked.lock().unwrap().contains(&0), "all is read again");
    assert_eq!(version(&world.snapshots), 5);
}

// All instances together read the platform at a fixed rate.
#[tokio::test(start_paused = true)]
async fn the_rate_of_reads_is_shared_out() {
    for count in [3, 90, 680] {
        let world = start(&instances(count), &[Reading::Ok(1, vec![row(5)])]);
        time::sleep(Duration::from_secs(600)).await;
        let polls = world.platform.asked.lock().unwrap().len();
        let reads_per_s = polls as f64 * 2.0 * count as f64 / 600.0;
        let limit = (READS_PER_S as f64 * 1.1).max(4.0 * count.min(10) as f64 * 1.5);
        assert!(reads_per_s <= limit, "{count} instances read {reads_per_s} a second");
    }
}

// The platform is down when an instance starts. One peer may be as ignorant of a
// change as anyone; two that agree are enough, and the instance says so.
#[tokio::test(start_paused = true)]
async fn several_peers_make_ready_while_the_platform_is_down() {
    let world = start(&instances(5), &[Reading::Down]);
    time::sleep(Duration::from_secs(1)).await;
    let beat = Heartbeat {
        ready: true,
        confirmed_age_ms: Some(60_000),
        digest: world.snapshots.current().digest(),
    };
    let other = Heartbeat { digest: beat.digest + 1, ..beat };
    let not_ready = Heartbeat { ready: false, ..beat };
    let hear = |index, heartbeat| {
        let id = InstanceId::new(&format!("entry-{index}"));
        world.members.heard(&id, StartNumber(1), heartbeat);
    };
    hear(1, beat);
    hear(2, other);
    hear(3, not_ready);
    time::sleep(Duration::from_millis(600)).await;
    assert!(!world.snapshots.current().ready, "one peer agrees");
    hear(1, beat);
    hear(2, beat);
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(world.snapshots.current().readiness, Readiness::Peers(2));
}
