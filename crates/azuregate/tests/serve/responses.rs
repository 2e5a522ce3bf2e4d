//! Each client gets the whole answer to its own request.

use std::time::Duration;

use azuregate_platform::stand_in::Behaviour;

use crate::cluster::{TestCluster, eventually, get_request, post_request};

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let response = instance.send(&post_request("/write/a?b=%20c", "w1", "body")).await.unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "answer to w1"));
    assert_eq!(response.header("x-response-signature"), Some("s-w1"));
    assert_eq!(response.header("x-backend-load"), None);
    let seen = &cluster.backends[0].seen()[0];
    assert_eq!(seen.line, "POST /write/a?b=%20c");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.expected_backend, "b0");
    assert!((1..=1_000).contains(&seen.deadline_ms), "what is left: {}", seen.deadline_ms);
}

/// What a client gets when each server answers in this way.
struct Case {
    behaviour: Behaviour,
    read_status: u16,
    write_status: u16,
}

/// Every server answers the first request as it should, and the next ones in a way
/// that must not reach a client as a success. The client of a read and the client
/// of a write see a failure that promises nothing, except where the server says
/// that it has not run the request.
#[tokio::test]
async fn invalid_backend_responses_are_not_reported_as_success() {
    let cases = [
        Case { behaviour: Behaviour::LoseAnswer, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::CutShort, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::AnswerToAnother, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::UnframedReset, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::Unsigned, read_status: 502, write_status: 502 },
        Case { behaviour: Behaviour::Fail, read_status: 500, write_status: 500 },
        Case { behaviour: Behaviour::Reject, read_status: 503, write_status: 503 },
        Case { behaviour: Behaviour::AnotherServer, read_status: 503, write_status: 503 },
        Case { behaviour: Behaviour::Unframed, read_status: 200, write_status: 200 },
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

/// A server answers twice: the second answer lies on the connection when the next
/// request is sent there. The next client gets its own answer, or a failure.
#[tokio::test]
async fn duplicate_response_is_not_delivered_to_next_request() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[0].set(Behaviour::AnswerTwice);
    for number in 0..10 {
        let id = format!("r{number}");
        let response = instance.send(&get_request("/read/x", &id)).await.unwrap();
        if response.status == 200 {
            assert_eq!(response.body, format!("answer to {id}"));
        }
    }
}

/// One server of two spoils every answer. A read runs again on the other one, and
/// its client sees nothing of it.
#[tokio::test]
async fn failed_read_is_retried_on_another_server() {
    for behaviour in [Behaviour::LoseAnswer, Behaviour::CutShort, Behaviour::Fail] {
        let cluster = TestCluster::start(2).await;
        let instance = cluster.start_ready_instance(1).await;
        instance.send(&get_request("/read/x", "first")).await.unwrap();
        let used = cluster.backends.iter().find(|backend| !backend.seen().is_empty()).unwrap();
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

/// The server is silent. The client gets its answer when the route's time is over,
/// not when its own patience is, and the server's work is cancelled.
#[tokio::test]
async fn route_timeout_cancels_backend_request() {
    let mut cluster = TestCluster::start(1).await;
    cluster.update_config(|config| config.timeout_ms = 400);
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[0].set(Behaviour::Slow(Duration::from_secs(5)));
    let start = std::time::Instant::now();
    let response = instance.send(&get_request("/read/x", "r1")).await.unwrap();
    assert_eq!(response.status, 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
    let backend = cluster.backends[0].clone();
    eventually("the work is cancelled", async || backend.seen()[0].cancelled_at.is_some()).await;
}
