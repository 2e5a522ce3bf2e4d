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

const MARK: &str = "azuregate-hand-over";
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
async fn the_state_of_the_dispatcher_decides_what_the_caller_sees() {
    let cases: &[Case] = &[
        (Host::Answers, "GET", 200, "-", 1, 0),
        (Host::Answers, "POST", 200, "-", 1, 0),
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
async fn a_frozen_dispatcher_holds_no_read_until_its_deadline() {
    for (method, status) in [("GET", 200), ("POST", 504)] {
        let world = World::start(Host::Answers).await;
        assert_eq!(world.send(request(method)).await.status(), 200);
        world.frame(3);
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
async fn a_dispatcher_that_its_link_finds_away_holds_no_read() {
    let world = World::start(Host::Frozen).await;
    let (response, ()) = tokio::join!(world.send(request("GET")), async {
        time::sleep(Duration::from_millis(100)).await;
        world.peer_is_away();
    });
    assert_eq!(response.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (1, 1));
}

// Neither a client that aborts a handed-over upload nor a truncated response is a
// failure of the dispatcher. If it were excluded, two instances would dispatch for
// one group.
#[tokio::test]
async fn a_caller_that_breaks_off_and_a_cut_answer_pass_nobody_over() {
    let world = World::start(Host::Answers).await;
    let broken = stream::iter([Err::<Frame<Bytes>, _>(BodyError::from("gone"))]);
    let mut upload = request("POST");
    *upload.body_mut() = StreamBody::new(broken).boxed_unsync();
    assert_eq!(world.send(upload).await.status(), 400);
    assert_eq!(world.send(request("POST")).await.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (1, 0));
    world.net.set(peer(), Host::CutsAnswers);
    let cut = world.send(request("POST")).await;
    assert!(cut.into_body().collect().await.is_err());
    assert_eq!(world.send(request("POST")).await.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (3, 0));
}

#[tokio::test]
async fn a_dispatcher_that_is_back_is_used_again() {
    let world = World::start(Host::Dead).await;
    assert_eq!(world.send(request("GET")).await.status(), 200);
    world.net.set(peer(), Host::Answers);
    time::sleep(Duration::from_millis(1_100)).await;
    for _ in 0..3 {
        assert_eq!(world.send(request("GET")).await.status(), 200);
    }
    assert!(world.net.calls(peer()) >= 1);
}

#[tokio::test]
async fn a_hand_over_names_its_group_and_leaves_time_for_the_way_back() {
    let world = World::start(Host::Answers).await;
    world.send(request("GET")).await;
    let state = world.net.state();
    let (_, headers) = &state.calls[0];
    assert_eq!(headers.get(MARK).unwrap(), "r-b/0 200");
    let left_ms: u64 = headers["azuregate-timeout-ms"].to_str().unwrap().parse().unwrap();
    assert!((2_000..3_000).contains(&left_ms), "{left_ms}");
}

async fn handed(world: &World, from: SocketAddr, mark: &'static str) -> Response<()> {
    let mut request = request("POST");
    request.headers_mut().insert(MARK, HeaderValue::from_static(mark));
    request.headers_mut().insert("idempotency-key", HeaderValue::from_static("k"));
    world.gateway.handle(request, from).await.map(|_| ())
}

// A client that forges the header would bypass the claim of its key.
#[tokio::test]
async fn a_forged_hand_over_is_refused() {
    let world = World::start(Host::Answers).await;
    let response = handed(&world, caller(), "r-b/0 100").await;
    assert_eq!((response.status().as_u16(), outcome(&response)), (503, "not-run"));
    assert!(response.headers().get(LOAD).is_none());
    assert!(world.net.state().calls.is_empty());
}

// The instance lists differ: this instance considers the sender the dispatcher of the
// group. Handing the request back could loop. The sender has claimed the key.
#[tokio::test]
async fn a_hand_over_makes_no_second_hop_and_no_second_claim() {
    let world = World::start(Host::Answers).await;
    let response = handed(&world, peer(), "r-b/0 100").await;
    assert_eq!(response.status(), 200);
    assert_eq!((world.net.calls(peer()), world.net.calls(server())), (0, 1));
    assert!(!world.net.state().calls[0].1.contains_key(MARK));
    let load: GroupLoad = response.headers()[LOAD].to_str().unwrap().parse().unwrap();
    assert_eq!((load.slots, load.seen), (3, 1));
}

#[tokio::test]
async fn hand_overs_that_cannot_be_served_have_not_run() {
    for (mark, status) in [("r-c/0 100", 503), ("r-b/0", 400), ("nonsense", 400), ("r-b/x 1", 400)]
    {
        let world = World::start(Host::Answers).await;
        let response = handed(&world, peer(), mark).await;
        assert_eq!((response.status().as_u16(), outcome(&response)), (status, "not-run"), "{mark}");
        assert!(world.net.state().calls.is_empty());
    }
}
