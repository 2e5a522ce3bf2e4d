//! Non-idempotent requests are executed at most once, and a 503 means not executed.

use azuregate_platform::fakes::Behaviour;

use crate::cluster::{TestCluster, get_request, post_request};

/// Guards against executing a write twice by retrying it on another server, or by
/// inviting the client to retry it.
#[tokio::test]
async fn possibly_executed_write_is_not_retried() {
    for behaviour in [
        Behaviour::DropResponse,
        Behaviour::Truncate,
        Behaviour::Unsigned,
        Behaviour::StaleResponse,
        Behaviour::ServerError,
    ] {
        let cluster = TestCluster::start(3).await;
        let instance = cluster.start_ready_instance(1).await;
        cluster.backends.iter().for_each(|backend| backend.set(behaviour.clone()));
        let response = instance.send(&post_request("/write/x", "w1", "body")).await.unwrap();
        assert!(matches!(response.status, 500 | 502), "{behaviour:?} returned {}", response.status);
        assert_eq!(response.header("retry-after"), None);
        assert_eq!(cluster.request_count("w1"), 1, "{behaviour:?}");
    }
}

/// Guards against failing a write, or losing its body, when only one server rejects it.
#[tokio::test]
async fn rejected_write_is_retried_on_another_server() {
    for behaviour in [Behaviour::Reject, Behaviour::Misdirect] {
        let cluster = TestCluster::start(2).await;
        let instance = cluster.start_ready_instance(1).await;
        instance.send(&get_request("/read/x", "first")).await.unwrap();
        let used = cluster.backends.iter().find(|backend| !backend.received().is_empty()).unwrap();
        used.set(behaviour.clone());
        let response = instance.send(&post_request("/write/x", "w1", "body")).await.unwrap();
        assert_eq!(response.status, 200, "{behaviour:?}");
        let other = cluster.backends.iter().find(|backend| backend.id() != used.id()).unwrap();
        assert_eq!(other.received()[0].body, b"body");
    }
}

/// Guards against delaying the 503, or omitting its `Retry-After`, when all servers reject
/// a request.
#[tokio::test]
async fn request_rejected_by_all_servers_fails_fast() {
    let cluster = TestCluster::start(2).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Reject));
    let start = std::time::Instant::now();
    let response = instance.send(&post_request("/write/x", "w1", "body")).await.unwrap();
    assert_eq!(response.status, 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((0.03..=0.15).contains(&retry_after), "{retry_after}");
    assert!(start.elapsed().as_millis() < 2_000);
}

/// Guards against a 502 for a request that was never sent.
#[tokio::test]
async fn request_fails_when_no_server_is_reachable() {
    let cluster = TestCluster::start(0).await;
    let unused_addr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let row = azuregate_platform::fakes::backend_row("shop", unused_addr, "zone-a", "ready");
    cluster.store.put("servers", "gone", row);
    let instance = cluster.start_ready_instance(1).await;
    let response = instance.send(&post_request("/write/x", "w1", "body")).await.unwrap();
    assert_eq!(response.status, 503);
}

/// Guards against a request that no response can be tied to, since it has no ID or several.
#[tokio::test]
async fn request_without_one_id_is_not_sent() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let request = post_request("/write/x", "w1", "body");
    let id = "X-Request-Id: w1\r\n";
    for ids in [String::new(), id.repeat(2)] {
        let response = instance.send(&request.replace(id, &ids)).await.unwrap();
        assert_eq!(response.status, 400, "{ids:?}");
    }
    assert_eq!(cluster.backends[0].received().len(), 0);
}
