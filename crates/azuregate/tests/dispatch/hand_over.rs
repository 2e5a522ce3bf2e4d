//! Hand-overs: responses to clients for each dispatcher state, and validation of
//! incoming hand-overs.

use std::{net::SocketAddr, time::Duration};

use azuregate::body::BodyError;
use azuregate_core::route::group::GroupLoad;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame, header::HeaderValue};
use tokio::time;

use crate::{
    net::Host,
    world::{World, caller, peer, request, server},
};

const HAND_OVER: &str = "azuregate-hand-over";
const LOAD: &str = "azuregate-load";

fn outcome<T>(response: &Response<T>) -> &str {
    response.headers().get("azuregate-outcome").map_or("-", |value| value.to_str().unwrap())
}

/// Dispatcher state, method, expected status and outcome, and the number of requests
/// that reach the dispatcher and, directly, the backend server.
type Case = (Host, &'static str, u16, &'static str, usize, usize);

// A request that the dispatcher did not run is retried there or, if the dispatcher is
// dead, sent directly; one that may have run is retried only if it is idempotent.
#[tokio::test]
async fn responses_by_dispatcher_state() {
    let cases: &[Case] = &[
        (Host::Responds, "GET", 200, "-", 1, 0),
        (Host::Responds, "POST", 200, "-", 1, 0),
        (Host::NotRun, "POST", 503, "not-run", 3, 0),
        (Host::Unknown, "POST", 504, "unknown", 1, 0),
        (Host::Unknown, "GET", 504, "unknown", 1, 0),
        (Host::Dead, "GET", 200, "-", 0, 1),
        (Host::Dead, "POST", 200, "-", 0, 1),
        (Host::Cut, "GET", 200, "-", 1, 1),
        (Host::Cut, "POST", 502, "unknown", 1, 0),
    ];
    for &(host, method, status, expected, at_peer, at_server) in cases {
        let world = World::start(host).await;
        let response = world.send(request(method)).await;
        let seen = (response.status().as_u16(), outcome(&response));
        assert_eq!(seen, (status, expected), "{host:?} {method}");
        assert!(response.headers().get(LOAD).is_none(), "{host:?} {method}");
        let calls = (world.net.calls(peer()), world.net.calls(server()));
        assert_eq!(calls, (at_peer, at_server), "{host:?} {method}");
    }
}

// The dispatcher freezes after it has sent load updates. A read is retried directly
// within about a second; a write may have run, so it waits for its deadline.
#[tokio::test]
async fn a_read_does_not_wait_for_a_frozen_dispatcher() {
    for (method, status) in [("GET", 200), ("POST", 504)] {
        let world = World::start(Host::Responds).await;
        assert_eq!(world.send(request(method)).await.status(), 200);
        world.deliver_load(3);
        time::sleep(Duration::from_millis(20)).await;
        world.net.set(peer(), Host::Frozen);
        let response = world.send(request(method)).await;
        assert_eq!(response.status(), status, "{method}");
        let response = world.send(request(method)).await;
        assert_eq!(response.status(), 200, "the next {method} does not go there");
    }
}

// The frozen dispatcher never sent load updates, so their absence shows nothing. The
// read is retried directly once the peer link reports the instance as away.
#[tokio::test]
async fn a_read_does_not_wait_for_a_dispatcher_reported_away() {
    let world = World::start(Host::Frozen).await;
    let (response, ()) = tokio::join!(world.send(request("GET")), async {
        time::sleep(Duration::from_millis(100)).await;
        world.report_peer_away();
    });
    assert_eq!(response.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (1, 1));
}

// Neither a client that aborts a handed-over upload nor a truncated response is a
// failure of the dispatcher. If it were excluded, two instances would dispatch for
// one group.
#[tokio::test]
async fn client_aborts_and_truncated_responses_do_not_exclude_a_dispatcher() {
    let world = World::start(Host::Responds).await;
    let broken = stream::iter([Err::<Frame<Bytes>, _>(BodyError::from("gone"))]);
    let mut upload = request("POST");
    *upload.body_mut() = StreamBody::new(broken).boxed_unsync();
    assert_eq!(world.send(upload).await.status(), 400);
    assert_eq!(world.send(request("POST")).await.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (1, 0));
    world.net.set(peer(), Host::CutsResponses);
    let cut = world.send(request("POST")).await;
    assert!(cut.into_body().collect().await.is_err());
    assert_eq!(world.send(request("POST")).await.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (3, 0));
}

#[tokio::test]
async fn a_recovered_dispatcher_is_used_again() {
    let world = World::start(Host::Dead).await;
    assert_eq!(world.send(request("GET")).await.status(), 200);
    world.net.set(peer(), Host::Responds);
    time::sleep(Duration::from_millis(1_100)).await;
    for _ in 0..3 {
        assert_eq!(world.send(request("GET")).await.status(), 200);
    }
    assert!(world.net.calls(peer()) >= 1);
}

#[tokio::test]
async fn a_hand_over_carries_its_group_and_reserves_the_return_delay() {
    let world = World::start(Host::Responds).await;
    world.send(request("GET")).await;
    let state = world.net.state();
    let (_, headers) = &state.calls[0];
    assert_eq!(headers.get(HAND_OVER).unwrap(), "r-b/0 200");
    let left_ms: u64 = headers["azuregate-timeout-ms"].to_str().unwrap().parse().unwrap();
    assert!((2_000..3_000).contains(&left_ms), "{left_ms}");
}

async fn send_hand_over(world: &World, from: SocketAddr, header: &'static str) -> Response<()> {
    let mut request = request("POST");
    request.headers_mut().insert(HAND_OVER, HeaderValue::from_static(header));
    request.headers_mut().insert("idempotency-key", HeaderValue::from_static("k"));
    world.gateway.handle(request, from).await.map(|_| ())
}

// A client that forges the header would bypass the claim of its key.
#[tokio::test]
async fn a_forged_hand_over_is_refused() {
    let world = World::start(Host::Responds).await;
    let response = send_hand_over(&world, caller(), "r-b/0 100").await;
    assert_eq!((response.status().as_u16(), outcome(&response)), (503, "not-run"));
    assert!(response.headers().get(LOAD).is_none());
    assert!(world.net.state().calls.is_empty());
}

// The instance lists differ: this instance considers the sender the dispatcher of the
// group. Handing the request back could loop. The sender has claimed the key.
#[tokio::test]
async fn a_hand_over_is_not_handed_over_or_claimed_again() {
    let world = World::start(Host::Responds).await;
    let response = send_hand_over(&world, peer(), "r-b/0 100").await;
    assert_eq!(response.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (0, 1));
    assert!(!world.net.state().calls[0].1.contains_key(HAND_OVER));
    let load: GroupLoad = response.headers()[LOAD].to_str().unwrap().parse().unwrap();
    assert_eq!((load.slots, load.seen), (3, 1));
}

#[tokio::test]
async fn refused_hand_overs_have_not_run() {
    for (header, status) in
        [("r-c/0 100", 503), ("r-b/0", 400), ("nonsense", 400), ("r-b/x 1", 400)]
    {
        let world = World::start(Host::Responds).await;
        let response = send_hand_over(&world, peer(), header).await;
        assert_eq!(
            (response.status().as_u16(), outcome(&response)),
            (status, "not-run"),
            "{header}"
        );
        assert!(world.net.state().calls.is_empty());
    }
}
