//! Instance lookups and metrics.

use std::time::Duration;

use tokio::time;

use crate::cluster::{TestCluster, eventually, get, get_request};

/// Guards against directing clients to an instance that is shutting down.
#[tokio::test]
async fn stopping_instance_is_removed_from_lookups() {
    let cluster = TestCluster::start(1).await;
    let (first, second) =
        (cluster.start_ready_instance(1).await, cluster.start_ready_instance(2).await);
    let both = [first.traffic_addr, second.traffic_addr];
    for instance in [&first, &second] {
        eventually("both instances are listed", async || {
            let mut addrs = instance.lookup("zone-a", "region-1").await;
            addrs.sort();
            addrs == both
        })
        .await;
    }
    first.stopper.stop();
    eventually("only the second instance is listed", async || {
        second.lookup("zone-a", "region-1").await == [second.traffic_addr]
    })
    .await;
    assert!(!first.lookup("zone-a", "region-1").await.contains(&first.traffic_addr));
    assert_eq!(first.readiness().await, 503);
}

/// Guards against directing clients to a killed instance whose row is still in the store.
#[tokio::test]
async fn silent_instance_is_omitted_from_lookups() {
    let cluster = TestCluster::start(1).await;
    let row = r#"{"traffic":"127.1.1.1:80","ip":"127.1.1.1","zone":"zone-a","start":7}"#;
    cluster.store.put("instances", "entry-9", row);
    let instance = cluster.start_ready_instance(1).await;
    time::sleep(Duration::from_millis(700)).await;
    assert_eq!(instance.lookup("zone-a", "region-1").await, [instance.traffic_addr]);
    // Clients in a region without instances are directed to other regions.
    assert_eq!(instance.lookup("zone-c", "region-2").await, [instance.traffic_addr]);
}

/// Guards against exposing metrics to clients.
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
