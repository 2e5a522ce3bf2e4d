//! Clients receive the complete response to their own request.

use std::time::Duration;

use azuregate_platform::fakes::Behaviour;

use crate::cluster::{TestCluster, eventually, get_request, post_request};

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let response = instance.send(&post_request("/write/a?b=%20c", "w1", "body")).await.unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "answer to w1"));
    assert_eq!(response.header("x-response-signature"), Some("s-w1"));
    assert_eq!(response.header("x-backend-load"), None);
    let received = &cluster.backends[0].received()[0];
    assert_eq!(received.method_and_path, "POST /write/a?b=%20c");
    assert_eq!(received.body, b"body");
    assert_eq!(received.target_backend, "b0");
    assert!(
        (1..=1_000).contains(&received.deadline_ms),
        "remaining time: {} ms",
        received.deadline_ms
    );
}

/// The expected statuses when all backend servers behave in this way.
struct Case {
    behaviour: Behaviour,
    read_status: u16,
    write_status: u16,
}

/// Guards against forwarding lost, truncated, unsigned or mismatched responses as a
/// success. Only a rejection by the server may become a 503, which clients retry.
#[tokio::test]
async fn invalid_backend_responses_are_not_reported_as_success() {
    let cases = [
        Case { behaviour: Behaviour::DropResponse, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::Truncate, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::StaleResponse, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::CloseDelimitedReset, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::Unsigned, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::ServerError, read_status: 500, write_status: 500 },
        Case { behaviour: Behaviour::Reject, read_status: 503, write_status: 503 },
        Case { behaviour: Behaviour::Misdirect, read_status: 503, write_status: 503 },
        Case { behaviour: Behaviour::CloseDelimited, read_status: 200, write_status: 200 },
    ];
    for case in cases {
        let cluster = TestCluster::start(2).await;
        let instance = cluster.start_ready_instance(1).await;
        for number in 0..4 {
            instance.send(&get_request("/read/x", &format!("warm{number}"))).await.unwrap();
        }
        cluster.backends.iter().for_each(|backend| backend.set(case.behaviour.clone()));
        let read = instance.send(&get_request("/read/x", "r1")).await.unwrap();
        assert_eq!(read.status, case.read_status, "read, {:?}", case.behaviour);
        let write = instance.send(&post_request("/write/x", "w1", "b")).await.unwrap();
        assert_eq!(write.status, case.write_status, "write, {:?}", case.behaviour);
    }
}

/// Guards against a duplicate response that remains on a reused connection being
/// delivered to the next client.
#[tokio::test]
async fn duplicate_response_is_not_delivered_to_next_request() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[0].set(Behaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("r{number}");
        let response = instance.send(&get_request("/read/x", &id)).await.unwrap();
        if response.status == 200 {
            assert_eq!(response.body, format!("answer to {id}"));
        }
    }
}

/// Guards against a read failing although another server can serve it.
#[tokio::test]
async fn failed_read_is_retried_on_another_server() {
    for behaviour in [Behaviour::DropResponse, Behaviour::Truncate, Behaviour::ServerError] {
        let cluster = TestCluster::start(2).await;
        let instance = cluster.start_ready_instance(1).await;
        instance.send(&get_request("/read/x", "first")).await.unwrap();
        let used = cluster.backends.iter().find(|backend| !backend.received().is_empty()).unwrap();
        used.set(behaviour.clone());
        let response = instance.send(&get_request("/read/x", "r1")).await.unwrap();
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "answer to r1"),
            "{behaviour:?}"
        );
        assert_eq!(cluster.request_count("r1"), 2);
    }
}

/// Guards against waiting for the client's deadline although the route's timeout is
/// shorter, and against leaving the request running at the server.
#[tokio::test]
async fn route_timeout_cancels_backend_request() {
    let mut cluster = TestCluster::start(1).await;
    cluster.update_config(|config| config.timeout_ms = 400);
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[0].set(Behaviour::Delay(Duration::from_secs(5)));
    let start = std::time::Instant::now();
    let response = instance.send(&get_request("/read/x", "r1")).await.unwrap();
    assert_eq!(response.status, 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
    let backend = cluster.backends[0].clone();
    eventually("the backend request is cancelled", async || {
        backend.received()[0].cancelled_at.is_some()
    })
    .await;
}
