//! Replication of table changes between instances, of which two watch the store.

use std::time::Duration;

use azuregate_platform::fakes::StoreFault;
use tokio::time;

use crate::cluster::{Instance, TestCluster, eventually, get, get_request};

/// The time in which instances select their sources.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// Starts `count` instances and waits until they have selected their sources.
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

/// Guards against store calls growing with the number of instances.
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
    // One call per change, plus one long poll that timed out before it.
    let calls = backend_watch_calls(&cluster) - before;
    assert!(calls <= 2 * 2 * changes, "{calls} calls for {changes} changes");
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    for instance in &instances {
        eventually("the change is applied", async || serves(instance, "/new/x").await).await;
    }
}

/// Guards against missing changes when both instances that watch the store stop.
#[tokio::test]
async fn remaining_instance_takes_over_the_store_watch() {
    let mut cluster = TestCluster::start(1).await;
    let mut instances = start_settled(&cluster, 4).await;
    let last = instances.remove(0);
    instances.iter().for_each(|instance| instance.stopper.stop());
    for instance in instances {
        eventually("the instance has stopped", async || instance.thread.is_finished()).await;
    }
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    let changed_at = time::Instant::now();
    eventually("the change is applied", async || serves(&last, "/new/x").await).await;
    assert!(changed_at.elapsed() < Duration::from_millis(2_000));
}

/// Guards against overloading a failing store with retries, and against backing off so
/// long that recovery is delayed.
#[tokio::test]
async fn unreachable_store_is_polled_with_backoff() {
    let mut cluster = TestCluster::start(1).await;
    let instances = start_settled(&cluster, 4).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    // Let the first long polls fail and the backoff reach its maximum.
    time::sleep(Duration::from_millis(2_500)).await;
    let before = cluster.store.calls().len();
    time::sleep(Duration::from_millis(4_000)).await;
    let calls = cluster.store.calls().len() - before;
    assert!(calls <= 4 * instances.len() + 2, "{calls} calls in four seconds");
    cluster.store.set_fault(StoreFault::None);
    let returned_at = time::Instant::now();
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    for instance in &instances {
        eventually("the change is applied", async || serves(instance, "/new/x").await).await;
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
