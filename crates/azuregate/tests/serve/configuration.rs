//! Propagation of configuration changes from the store.

use std::time::Duration;

use azuregate_platform::fakes::{StoreFault, config_row};
use tokio::time;

use crate::cluster::{TestCluster, eventually, get_request};

#[tokio::test]
async fn new_route_takes_effect() {
    let mut cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    assert_eq!(instance.send(&get_request("/new/x", "r1")).await.unwrap().status, 404);
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    eventually("the route is served", async || {
        instance.send(&get_request("/new/x", "r2")).await.unwrap().status == 200
    })
    .await;
}

/// Guards against a lagging store replica reverting the configuration.
#[tokio::test]
async fn older_configuration_is_ignored() {
    let mut cluster = TestCluster::start(1).await;
    let old = config_row(&cluster.config);
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.put("op", "config", old);
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(instance.send(&get_request("/new/x", "r1")).await.unwrap().status, 200);
}

/// Guards against missing a change because a watch waits on a dead connection.
#[tokio::test]
async fn silent_store_connection_is_replaced() {
    let mut cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.set_fault(StoreFault::Hang);
    time::sleep(Duration::from_millis(300)).await;
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    cluster.store.set_fault(StoreFault::None);
    eventually("the route is served", async || {
        instance.send(&get_request("/new/x", "r1")).await.unwrap().status == 200
    })
    .await;
}

/// Guards against missing a change that the store no longer has in its change history.
#[tokio::test]
async fn tables_are_reread_after_history_loss() {
    let mut cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.update_config(|config| config.extra_prefixes.push("/new/".to_owned()));
    cluster.store.discard_history();
    eventually("the route is served", async || {
        instance.send(&get_request("/new/x", "r1")).await.unwrap().status == 200
    })
    .await;
}

/// Guards against malformed rows replacing the current configuration or servers.
#[tokio::test]
async fn malformed_rows_are_ignored() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.put("op", "config", &br#"{"configVersion":"000000ff","listen"#[..]);
    cluster.store.put("servers", "strange", &br#"{"backend":"shop","state":"asleep"}"#[..]);
    cluster.store.put("servers", "noise", &[0xff, 0x00][..]);
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(instance.send(&get_request("/read/x", "r1")).await.unwrap().status, 200);
}

/// Guards against reporting ready, or returning anything but 503, before the first
/// configuration is loaded.
#[tokio::test]
async fn instance_without_configuration_is_not_ready() {
    let cluster = TestCluster::start(1).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    let instance = cluster.start_instance(1);
    eventually("the instance responds", async || instance.readiness().await == 503).await;
    let response = instance.send(&get_request("/read/x", "r1")).await.unwrap();
    assert_eq!(response.status, 503);
    cluster.store.set_fault(StoreFault::None);
    eventually("the instance is ready", async || instance.readiness().await == 200).await;
}

/// Guards against a 404 for a route that was added while the instance had no contact with
/// the store.
#[tokio::test]
async fn unknown_route_returns_503_without_store_contact() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.set_fault(StoreFault::Hang);
    let status_of = |path| {
        let instance = &instance;
        async move { instance.send(&get_request(path, "r1")).await.unwrap().status }
    };
    assert_eq!(status_of("/new/x").await, 404);
    eventually("an unknown route returns 503", async || status_of("/new/x").await == 503).await;
    assert_eq!(status_of("/read/x").await, 200);
    cluster.store.set_fault(StoreFault::None);
    eventually("an unknown route returns 404 again", async || status_of("/new/x").await == 404)
        .await;
}
