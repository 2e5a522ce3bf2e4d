//! Each client gets the whole answer to its own request.

use std::time::Duration;

use azuregate_platform::fakes::Behaviour;

use crate::world::{World, eventually, read_request, write_request};

#[tokio::test]
async fn a_request_passes_unchanged_and_so_does_its_answer() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    let answer = entry.send(&write_request("/write/a?b=%20c", "w1", "body")).await.unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer to w1"));
    assert_eq!(answer.header("x-response-signature"), Some("s-w1"));
    assert_eq!(answer.header("x-backend-load"), None);
    let seen = &world.backends[0].received()[0];
    assert_eq!(seen.method_and_path, "POST /write/a?b=%20c");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.target_backend, "b0");
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
async fn what_is_no_whole_answer_to_the_request_never_looks_like_one() {
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
        let world = World::start(2).await;
        let entry = world.instance(1).await;
        for number in 0..4 {
            entry.send(&read_request("/read/x", &format!("warm{number}"))).await.unwrap();
        }
        world.backends.iter().for_each(|backend| backend.set(case.behaviour.clone()));
        let read = entry.send(&read_request("/read/x", "r1")).await.unwrap();
        assert_eq!(read.status, case.read_status, "read, {:?}", case.behaviour);
        let write = entry.send(&write_request("/write/x", "w1", "b")).await.unwrap();
        assert_eq!(write.status, case.write_status, "write, {:?}", case.behaviour);
    }
}

/// A server answers twice: the second answer lies on the connection when the next
/// request is sent there. The next client gets its own answer, or a failure.
#[tokio::test]
async fn a_second_answer_belongs_to_nobody() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    world.backends[0].set(Behaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = entry.send(&read_request("/read/x", &id)).await.unwrap();
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}

/// One server of two spoils every answer. A read runs again on the other one, and
/// its client sees nothing of it.
#[tokio::test]
async fn a_read_whose_answer_is_spoilt_runs_on_another_server() {
    for behaviour in [Behaviour::DropResponse, Behaviour::Truncate, Behaviour::ServerError] {
        let world = World::start(2).await;
        let entry = world.instance(1).await;
        entry.send(&read_request("/read/x", "first")).await.unwrap();
        let used = world.backends.iter().find(|backend| !backend.received().is_empty()).unwrap();
        used.set(behaviour.clone());
        let answer = entry.send(&read_request("/read/x", "r1")).await.unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, "answer to r1"), "{behaviour:?}");
        assert_eq!(world.arrivals("r1"), 2);
    }
}

/// The server is silent. The client gets its answer when the route's time is over,
/// not when its own patience is, and the server's work is cancelled.
#[tokio::test]
async fn the_routes_timeout_ends_a_request_and_its_work() {
    let mut world = World::start(1).await;
    world.configure(|config| config.timeout_ms = 400);
    let entry = world.instance(1).await;
    world.backends[0].set(Behaviour::Delay(Duration::from_secs(5)));
    let start = std::time::Instant::now();
    let answer = entry.send(&read_request("/read/x", "r1")).await.unwrap();
    assert_eq!(answer.status, 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "took {:?}", start.elapsed());
    let backend = world.backends[0].clone();
    eventually("the work is cancelled", async || backend.received()[0].cancelled_at.is_some())
        .await;
}
