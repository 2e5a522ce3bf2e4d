//! Two instances watch the store, the others follow them.

use std::time::Duration;

use azuregate_platform::fakes::StoreFault;
use tokio::time;

use crate::world::{Instance, World, eventually, get, read_request};

/// Time in which instances find out whom to follow.
const SETTLED: Duration = Duration::from_millis(3_000);

/// So many instances, which have found out whom to follow.
async fn settled(world: &World, count: u8) -> Vec<Instance> {
    let mut entries = Vec::new();
    for number in 1..=count {
        entries.push(world.instance(number).await);
    }
    time::sleep(SETTLED).await;
    entries
}

async fn serves(entry: &Instance, path: &str) -> bool {
    let answer = entry.send(&read_request(path, "r1")).await;
    answer.is_some_and(|answer| answer.status == 200)
}

fn watches_of_backends(world: &World) -> usize {
    let calls = world.store.calls();
    calls.iter().filter(|call| call.starts_with("/-/rows-feed?table=servers")).count()
}

/// Five instances, and backend servers that change one after the other. Every
/// instance learns of each, and only two ask the store.
#[tokio::test]
async fn a_change_costs_calls_of_two_instances_only() {
    let mut world = World::start(1).await;
    let entries = settled(&world, 5).await;
    let before = watches_of_backends(&world);
    let changes = 6;
    for _ in 0..changes {
        world.add_backend("zone-a").await;
        time::sleep(Duration::from_millis(400)).await;
    }
    // A call for each change, and one for a wait that ended before it.
    let calls = watches_of_backends(&world) - before;
    assert!(calls <= 2 * 2 * changes, "{calls} calls for {changes} changes");
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    for entry in &entries {
        eventually("the change is in force", async || serves(entry, "/new/x").await).await;
    }
}

/// All instances but one stop, and with them those that watched the store. The one
/// that is left has a change in force that comes right after.
#[tokio::test]
async fn whoever_is_left_watches_the_store() {
    let mut world = World::start(1).await;
    let mut entries = settled(&world, 4).await;
    let last = entries.remove(0);
    entries.iter().for_each(|entry| entry.stopper.stop());
    for entry in entries {
        eventually("the instance has stopped", async || entry.thread.is_finished()).await;
    }
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    let changed_at = time::Instant::now();
    eventually("the change is in force", async || serves(&last, "/new/x").await).await;
    assert!(changed_at.elapsed() < Duration::from_millis(2_000));
}

/// The store refuses every call for some seconds. Instances go on asking, but not
/// for every table and not all the time, and are back in contact soon after it.
#[tokio::test]
async fn a_store_that_is_away_is_asked_seldom() {
    let mut world = World::start(1).await;
    let entries = settled(&world, 4).await;
    world.store.set_fault(StoreFault::ErrorStatus(503));
    // The first calls fail within a wait, and the pauses grow after that.
    time::sleep(Duration::from_millis(2_500)).await;
    let before = world.store.calls().len();
    time::sleep(Duration::from_millis(4_000)).await;
    let calls = world.store.calls().len() - before;
    assert!(calls <= 4 * entries.len() + 2, "{calls} calls in four seconds");
    world.store.set_fault(StoreFault::None);
    let returned_at = time::Instant::now();
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    for entry in &entries {
        eventually("the change is in force", async || serves(entry, "/new/x").await).await;
    }
    assert!(returned_at.elapsed() < Duration::from_millis(3_500));
}

#[tokio::test]
async fn metrics_tell_where_changes_come_from() {
    let world = World::start(1).await;
    let entries = settled(&world, 4).await;
    let mut watching = 0;
    for entry in &entries {
        let text = get(entry.metrics, "/metrics").await.unwrap().body;
        let value = |name: &str| -> u64 {
            let line = text.lines().find(|line| line.split(' ').next() == Some(name));
            line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).expect(name)
        };
        watching += value("azuregate_watching");
        assert_eq!(value("azuregate_config_version"), 1);
        assert!(value("azuregate_knowledge_age_ms") < 1_200, "{text}");
        let has_sent = value("azuregate_changes_sent_bytes_total") > 0;
        assert!(value("azuregate_watching") == 1 || !has_sent, "{text}");
        assert!(value("azuregate_tables_read_total") >= 1);
    }
    assert_eq!(watching, 2);
}
