//! Clients are told to use instances that live.

use std::time::Duration;

use tokio::time;

use crate::world::{World, eventually, get, read_request};

/// Two instances know each other by the store and by heartbeats. When one stops,
/// the other names it no more, long before clients could tell.
#[tokio::test]
async fn an_instance_that_stops_is_named_no_more() {
    let world = World::start(1).await;
    let (first, second) = (world.instance(1).await, world.instance(2).await);
    let both = [first.traffic, second.traffic];
    for entry in [&first, &second] {
        eventually("both are named", async || {
            let mut named = entry.lookup("zone-a", "region-1").await;
            named.sort();
            named == both
        })
        .await;
    }
    first.stopper.stop();
    eventually("one is named", async || {
        second.lookup("zone-a", "region-1").await == [second.traffic]
    })
    .await;
    assert!(!first.lookup("zone-a", "region-1").await.contains(&first.traffic));
    assert_eq!(first.ready().await, 503);
}

/// An instance that registered and is silent since, because it was killed, is not
/// named: its row outlives it.
#[tokio::test]
async fn an_instance_that_is_silent_is_not_named() {
    let world = World::start(1).await;
    let row = r#"{"traffic":"127.1.1.1:80","ip":"127.1.1.1","zone":"zone-a","start":7}"#;
    world.store.put("instances", "entry-9", row);
    let entry = world.instance(1).await;
    time::sleep(Duration::from_millis(700)).await;
    assert_eq!(entry.lookup("zone-a", "region-1").await, [entry.traffic]);
    // Clients of a place without instances are sent to those that there are.
    assert_eq!(entry.lookup("zone-c", "region-2").await, [entry.traffic]);
}

/// Counters and latencies are for whoever is on call, on a port of their own.
#[tokio::test]
async fn metrics_are_served_to_operators_only() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    entry.send(&read_request("/read/x", "r1")).await.unwrap();
    let text = get(entry.metrics, "/metrics").await.unwrap().body;
    assert!(text.contains("azuregate_ready 1\n"), "{text}");
    let labels = "service=\"shop\",route=\"r-read-\",code=\"answered\"";
    assert!(text.contains(&format!("azuregate_requests_total{{{labels}}} 1\n")), "{text}");
    assert!(
        text.contains(&format!("azuregate_latency_ms{{{labels},quantile=\"0.99\"}}")),
        "{text}"
    );
    assert_eq!(get(entry.lookups, "/metrics").await.unwrap().status, 404);
}
