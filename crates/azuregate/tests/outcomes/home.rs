//! Keyed requests whose claim is in the memory of the key's home instance.

use azuregate_core::{
    names::{InstanceId, StartNumber},
    time::Millis,
};

use crate::{
    script::{Script, Step},
    world::{Adapter, World, order},
};

// At their home, keyed requests and their retries need no platform.
#[tokio::test]
async fn a_keyed_request_at_its_home_needs_no_platform() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    world.platform.state().down = true;
    let home = world.home();
    for _ in 0..3 {
        let seen = world.send(order("k", Some(&home))).await;
        assert_eq!(seen.status, 200);
    }
    assert_eq!((world.script.state().ran, world.platform.state().writes), (1, 0));
}

#[tokio::test]
async fn concurrent_requests_with_one_key_at_its_home_run_once() {
    let world = World::start(Adapter::Real, Script::new(&[Step::Slow])).await;
    let home = world.home();
    let sends = (0..20).map(|_| world.send(order("k", Some(&home))));
    let seen = futures_util::future::join_all(sends).await;
    assert_eq!(world.script.state().ran, 1);
    assert_eq!(seen.iter().filter(|seen| seen.status == 200).count(), 1);
}

#[tokio::test]
async fn an_invalid_home_runs_nothing() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    let mine = world.home();
    let before = StartNumber(mine.start.0 - 1);
    let old = mine.issued_at_ms - Millis(601_000);
    let ahead = mine.issued_at_ms + Millis(61_000);
    let cases = [
        ("an earlier start of this instance", "entry-1", before, mine.issued_at_ms, "home-gone"),
        ("an unlisted instance", "entry-9", mine.start, mine.issued_at_ms, "home-gone"),
        ("a token given out too long ago", "entry-1", mine.start, old, "home-expired"),
        ("a token from a clock far ahead", "entry-1", mine.start, ahead, "home-expired"),
        ("an instance out of reach", "entry-2", mine.start, mine.issued_at_ms, "home-unreachable"),
    ];
    for (name, instance, start, issued_at_ms, code) in cases {
        let instance = InstanceId::new(instance);
        let home = azuregate_core::home::HomeToken { instance, start, issued_at_ms };
        let seen = world.send(order("k", Some(&home))).await;
        assert_eq!((seen.code.as_str(), seen.outcome.as_str()), (code, "unknown"), "{name}");
    }
    assert_eq!((world.script.state().ran, world.platform.state().writes), (0, 0));
}

// Instances that disagree about the home of a key must not forward a request in a
// loop.
#[tokio::test]
async fn a_request_is_forwarded_to_a_home_at_most_once() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    let mut home = world.home();
    home.instance = InstanceId::new("entry-2");
    let mut request = order("k", Some(&home));
    request.headers_mut().insert("azuregate-home-hop", "1".parse().unwrap());
    assert_eq!(world.send(request).await.code, "home-gone");
}

// A response that is too large to store is streamed, and a retry learns that the
// request ran.
#[tokio::test]
async fn a_response_too_large_to_store_is_streamed() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    world.script.state().answer_bytes = 2 << 20;
    let home = world.home();
    let first = world.send(order("k", Some(&home))).await;
    assert_eq!(first.body.map(|body| body.len()), Some(2 << 20));
    let then = world.send(order("k", Some(&home))).await;
    assert_eq!((then.code.as_str(), world.script.state().ran), ("answer-not-kept", 1));
}
