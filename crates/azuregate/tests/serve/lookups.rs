//! Clients are told to use instances that live.

use std::time::Duration;

use tokio::time;

use crate::cluster::{TestCluster, eventually, get, get_request};

/// Two instances know each other by the store and by heartbeats. When one stops,
/// the other names it no more, long before clients could tell.
#[tokio::test]
async fn stopping_instance_is_removed_from_lookups() {
    let cluster = TestCluster::start(1).await;
    let (first, second) =
        (cluster.start_ready_instance(1).await, cluster.start_ready_instance(2).await);
    let both = [first.traffic_addr, second.traffic_addr];
    for instance in [&first, &second] {
        eventually("both are named", async || {
            let mut addrs = instance.lookup("zone-a", "region-1").await;
            addrs.sort();
            addrs == both
        })
        .await;
    }
    first.stopper.stop();
    eventually("one is named", async || {
        second.lookup("zone-a", "region-1").await == [second.traffic_addr]
    })
    .await;
    assert!(!first.lookup("zone-a", "region-1").await.contains(&first.traffic_addr));
    assert_eq!(first.readiness().await, 503);
}

/// An instance that registered and is silent since, because it was killed, is not
/// named: its row outlives it.
#[tokio::test]
async fn silent_instance_is_omitted_from_lookups() {
    let cluster = TestCluster::start(1).await;
    let row = r#"{"traffic":"127.1.1.1:80","ip":"127.1.1.1","zone":"zone-a","start":7}"#;
    cluster.store.put("instances", "entry-9", row);
    let instance = cluster.start_ready_instance(1).await;
    time::sleep(Duration::from_millis(700)).await;
    assert_eq!(instance.lookup("zone-a", "region-1").await, [instance.traffic_addr]);
    // Clients of a place without instances are sent to those that there are.
    assert_eq!(instance.lookup("zone-c", "region-2").await, [instance.traffic_addr]);
}

/// Counters and latencies are for whoever is on call, on a port of their own.
#[tokio::test]
async fn metrics_are_served_only_on_metrics_port() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    instance.send(&get_request("/read/x", "r1")).await.unwrap();
    let text = get(instance.metrics_addr, "/metrics").await.unwrap().body;
    assert!(text.contains("azuregate_ready 1\n"), "{text}");
    let labels = "service=\"shop\",route=\"r-read-\",code=\"answered\"";
    assert!(text.contains(&format!("azuregate_requests_total{{{labels}}} 1\n")), "{text}");
    assert!(
        text.contains(&format!("azuregate_latency_ms{{{labels},quantile=\"0.99\"}}")),
        "{text}"
    );
    assert_eq!(get(instance.lookup_addr, "/metrics").await.unwrap().status, 404);
}
