//! Connection reuse, and retries on dead connections.

use std::sync::Arc;

use azuregate::{
    backend::{BackendDialer, Pool},
    body,
};

use crate::{
    fake_dialer::FakeDialer,
    script::{Script, Step},
    world::{Adapter, OffsetClock, World, get, post},
};

// A pooled connection is dead while new ones work. A read on it must be retried on a
// new connection instead of waiting for its deadline.
#[tokio::test]
async fn a_read_on_a_dead_connection_is_retried_on_a_new_one() {
    let world = World::start(Adapter::Real, Script::new(&[Step::Silent])).await;
    world.warm_up().await;
    let seen = world.send(get("/list").body(body::empty()).unwrap()).await;
    assert_eq!((seen.status, seen.body.as_deref()), (200, Some(&b"xxxxx"[..])));
    let state = world.script.state();
    assert_eq!((state.tried, state.opened), (2, 1), "one attempt on each connection");
}

// A write may have run, so it must not be retried.
#[tokio::test]
async fn a_write_on_a_dead_connection_is_not_retried() {
    let world = World::start(Adapter::Real, Script::new(&[Step::Silent])).await;
    world.warm_up().await;
    let seen = world.send(post("/orders").body(body::full("one")).unwrap()).await;
    assert_eq!((seen.code.as_str(), seen.outcome.as_str()), ("deadline-after-send", "unknown"));
    assert_eq!(world.script.state().tried, 1);
}

// The server responds before it has read the request body. If the connection were
// reused, it would take the rest of the body for the next request.
#[tokio::test]
async fn a_connection_with_an_early_response_is_not_reused() {
    for adapter in [Adapter::Real, Adapter::Fake] {
        let world = World::start(adapter, Script::new(&[Step::Early])).await;
        let large = futures_util::stream::unfold(0, |sent| async move {
            if sent == 8 {
                return None;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            let frame = hyper::body::Frame::data(bytes::Bytes::from(vec![0; 64 << 10]));
            Some((Ok(frame), sent + 1))
        });
        let large = http_body_util::StreamBody::new(large);
        let large = http_body_util::BodyExt::boxed_unsync(large);
        let request = post("/photos").header("content-length", 8 * (64 << 10));
        let seen = world.send(request.body(large).unwrap()).await;
        assert_eq!(seen.body.as_deref(), Some(&b"early"[..]));
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        let seen = world.send(get("/list").body(body::empty()).unwrap()).await;
        assert_eq!(seen.body.as_deref(), Some(&b"xxxxx"[..]), "{adapter:?}");
        assert_eq!(world.script.state().opened, 2, "{adapter:?}");
    }
}

#[tokio::test]
async fn a_connection_is_reused_after_a_refusal() {
    let world = World::start(Adapter::Real, Script::new(&[Step::Refused])).await;
    world.warm_up().await;
    let seen = world.send(post("/orders").body(body::full("one")).unwrap()).await;
    assert_eq!(seen.status, 200);
    // The retry opened a new connection; the first one was returned to the pool.
    assert_eq!(world.script.state().opened, 1);
    // So two concurrent requests need no further connection.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    world.script.state().steps.extend([Step::Slow, Step::Slow]);
    let order = || world.send(post("/orders").body(body::full("one")).unwrap());
    tokio::join!(order(), order());
    assert_eq!(world.script.state().opened, 1);
}

// A connection that was idle for longer, or across a pause of the process, may be
// dead; a write on it would wait for its whole deadline.
#[tokio::test]
async fn only_recently_used_connections_are_reused() {
    for (age_ms, taken) in [(0, true), (900, true), (1_100, false), (600_000, false)] {
        let clock = Arc::new(OffsetClock::default());
        let pool = Pool::start(clock.clone());
        let addr = ([127, 0, 0, 1], 1).into();
        let conn = FakeDialer(Script::new(&[])).dial(addr).await.unwrap();
        pool.put(addr, conn);
        // Once the task replies, it has processed `put`.
        assert!(pool.take(([127, 0, 0, 1], 2).into()).await.is_none());
        clock.advance(age_ms);
        assert_eq!(pool.take(addr).await.is_some(), taken, "after {age_ms} ms");
    }
}
