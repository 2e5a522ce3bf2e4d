//! Two instances watch the store, the others follow them.

use std::time::Duration;

use azuregate_platform::stand_in::StoreFault;
use tokio::time;

use crate::cluster::{Instance, TestCluster, eventually, get, get_request};

/// Time in which instances find out whom to follow.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// So many instances, which have found out whom to follow.
async fn start_settled(cluster: &TestCluster, count: u8) -> Vec<Instance> {
    let mut instances = Vec::new();
    for number in 1..=count {
        instances.push(cluster.start_ready_instance(number).await);
    }
    time::sleep(SETTLE_TIME).await;
    instances
}

async fn serves(instance: &Instance, path: &str) -> bool {
    let response = instance.send(&get_request(path, "r1")).await;
    response.is_some_and(|response| response.status == 200)
}

fn backend_watch_calls(cluster: &TestCluster) -> usize {
    let calls = cluster.store.calls();
    calls.iter().filter(|call| call.starts_with("/-/rows-feed?table=servers")).count()
}

/// Five instances, and backend servers that change one after the other. Every
/// instance learns of each, and only two ask the store.
#[tokio::test]
async fn only_two_instances_poll_the_store() {
    let mut cluster = TestCluster::start(1).await;
    let instances = start_settled(&cluster, 5).await;
    let before = backend_watch_calls(&cluster);
    let changes = 6;
    for _ in 0..changes {
        cluster.add_backend("zone-a").await;
        time::sleep(Duration::from_millis(400)).await;
    }
    // A call for each change, and one for a wait that ended before it.
    let calls = backend_watch_calls(&cluster) - before;
    assert!(calls <= 2 * 2 * changes, "{calls} calls for {changes} changes");
    cluster.update_config(|config| config.more_prefixes.push("/new/".to_owned()));
    for instance in &instances {
        eventually("the change is in force", async || serves(instance, "/new/x").await).await;
    }
}

/// All instances but one stop, and with them those that watched the store. The one
/// that is left has a change in force that comes right after.
#[tokio::test]
async fn remaining_instance_takes_over_the_store_watch() {
    let mut cluster = TestCluster::start(1).await;
    let mut instances = start_settled(&cluster, 4).await;
    let last = instances.remove(0);
    instances.iter().for_each(|instance| instance.stopper.stop());
    for instance in instances {
        eventually("the instance has stopped", async || instance.thread.is_finished()).await;
    }
    cluster.update_config(|config| config.more_prefixes.push("/new/".to_owned()));
    let changed_at = time::Instant::now();
    eventually("the change is in force", async || serves(&last, "/new/x").await).await;
    assert!(changed_at.elapsed() < Duration::from_millis(2_000));
}

/// The store refuses every call for some seconds. Instances go on asking, but not
/// for every table and not all the time, and are back in contact soon after it.
#[tokio::test]
async fn unreachable_store_is_polled_with_backoff() {
    let mut cluster = TestCluster::start(1).await;
    let instances = start_settled(&cluster, 4).await;
    cluster.store.set_fault(StoreFault::Refuse(503));
    // The first calls fail within a wait, and the pauses grow after that.
    time::sleep(Duration::from_millis(2_500)).await;
    let before = cluster.store.calls().len();
    time::sleep(Duration::from_millis(4_000)).await;
    let calls = cluster.store.calls().len() - before;
    assert!(calls <= 4 * instances.len() + 2, "{calls} calls in four seconds");
    cluster.store.set_fault(StoreFault::None);
    let returned_at = time::Instant::now();
    cluster.update_config(|config| config.more_prefixes.push("/new/".to_owned()));
    for instance in &instances {
        eventually("the change is in force", async || serves(instance, "/new/x").await).await;
    }
    assert!(returned_at.elapsed() < Duration::from_millis(3_500));
}

#[tokio::test]
async fn metrics_report_store_watchers() {
    let cluster = TestCluster::start(1).await;
    let instances = start_settled(&cluster, 4).await;
    let mut watching = 0;
    for instance in &instances {
        let text = get(instance.metrics_addr, "/metrics").await.unwrap().body;
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
