//! What must not run twice does not, and "not run" is true.

use azuregate_platform::fakes::Behaviour;

use crate::world::{World, read_request, write_request};

/// A server closes the connection after it got a write. It may have run it, so no
/// other server gets it, and the client is promised nothing.
#[tokio::test]
async fn a_write_that_may_have_run_is_not_sent_again() {
    for behaviour in [
        Behaviour::DropResponse,
        Behaviour::Truncate,
        Behaviour::Unsigned,
        Behaviour::StaleResponse,
        Behaviour::ServerError,
    ] {
        let world = World::start(3).await;
        let entry = world.instance(1).await;
        world.backends.iter().for_each(|backend| backend.set(behaviour.clone()));
        let answer = entry.send(&write_request("/write/x", "w1", "body")).await.unwrap();
        assert!(matches!(answer.status, 500 | 502), "{behaviour:?} gave {}", answer.status);
        assert_eq!(answer.header("retry-after"), None);
        assert_eq!(world.arrivals("w1"), 1, "{behaviour:?}");
    }
}

/// The first server rejects the write. It has not run it, so the second one gets
/// the write with its whole body.
#[tokio::test]
async fn a_write_that_was_rejected_runs_elsewhere() {
    for behaviour in [Behaviour::Reject, Behaviour::Misdirect] {
        let world = World::start(2).await;
        let entry = world.instance(1).await;
        entry.send(&read_request("/read/x", "first")).await.unwrap();
        let used = world.backends.iter().find(|backend| !backend.received().is_empty()).unwrap();
        used.set(behaviour.clone());
        let answer = entry.send(&write_request("/write/x", "w1", "body")).await.unwrap();
        assert_eq!(answer.status, 200, "{behaviour:?}");
        let other = world.backends.iter().find(|backend| backend.id() != used.id()).unwrap();
        assert_eq!(other.received()[0].body, b"body");
    }
}

/// All servers reject. The client is told that the request has not run and when to
/// come back, at once.
#[tokio::test]
async fn a_request_that_all_reject_is_refused_at_once() {
    let world = World::start(2).await;
    let entry = world.instance(1).await;
    world.backends.iter().for_each(|backend| backend.set(Behaviour::Reject));
    let start = std::time::Instant::now();
    let answer = entry.send(&write_request("/write/x", "w1", "body")).await.unwrap();
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((0.03..=0.15).contains(&retry_after), "{retry_after}");
    assert!(start.elapsed().as_millis() < 2_000);
}

/// No server listens any more. Nothing was sent, and the client may come back.
#[tokio::test]
async fn a_request_that_reached_no_server_is_refused() {
    let world = World::start(0).await;
    let gone = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let row = azuregate_platform::fakes::backend_row("shop", gone, "zone-a", "ready");
    world.store.put("servers", "gone", row);
    let entry = world.instance(1).await;
    let answer = entry.send(&write_request("/write/x", "w1", "body")).await.unwrap();
    assert_eq!(answer.status, 503);
}
