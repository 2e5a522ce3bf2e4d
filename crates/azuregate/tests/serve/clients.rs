//! Clients that leave, that send ahead, or that send what is not allowed.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::Behaviour;

use crate::world::{Client, World, eventually, read_request, write_request};

/// The client closes its connection while a server works for it, in the second
/// case with another request waiting behind. The server is told long before it is
/// done, by its connection being closed.
#[tokio::test]
async fn a_client_that_leaves_cancels_its_work() {
    for waiting in [0, 1] {
        let mut world = World::start(1).await;
        // Neither the route's time nor the deadline ends the work before the check.
        world.configure(|config| config.timeout_ms = 10_000);
        let entry = world.instance(1).await;
        let backend = world.backends[0].clone();
        backend.set(Behaviour::Delay(Duration::from_secs(5)));
        let mut client = Client::connect(entry.traffic).await;
        for number in 0..=waiting {
            client.send(&read_request("/read/x", &format!("r{number}"))).await;
        }
        eventually("all arrive", async || backend.received().len() > waiting).await;
        let left_at = Instant::now();
        drop(client);
        eventually("the work is cancelled", async || {
            backend.received().iter().all(|seen| seen.cancelled_at.is_some())
        })
        .await;
        assert!(left_at.elapsed() < Duration::from_secs(2), "{:?}", left_at.elapsed());
    }
}

/// A client sends three reads at once. All are at a server before the first is
/// answered, and the answers come in the order of the requests.
#[tokio::test]
async fn reads_that_wait_behind_others_start_at_once() {
    let world = World::start(3).await;
    let entry = world.instance(1).await;
    let pause = Duration::from_millis(800);
    world.backends.iter().for_each(|backend| backend.set(Behaviour::Delay(pause)));
    let mut client = Client::connect(entry.traffic).await;
    let requests: String = (0..3)
        .map(|number| read_request(&format!("/read/{number}"), &format!("r{number}")))
        .collect();
    let start = Instant::now();
    client.send(&requests).await;
    for number in 0..3 {
        assert_eq!(client.answer().await.unwrap().body, format!("answer to r{number}"));
    }
    assert!(start.elapsed() < pause * 2, "one after the other: {:?}", start.elapsed());
}

/// A write waits behind a read. It starts only when it is its turn: if the
/// connection ends before, the client sends it again, and it must not run twice.
#[tokio::test]
async fn writes_wait_for_their_turn() {
    let world = World::start(2).await;
    let entry = world.instance(1).await;
    let pause = Duration::from_millis(300);
    world.backends.iter().for_each(|backend| backend.set(Behaviour::Delay(pause)));
    let mut client = Client::connect(entry.traffic).await;
    client.send(&read_request("/read/x", "r1")).await;
    client.send(&write_request("/write/x", "w1", "body")).await;
    tokio::time::sleep(pause / 2).await;
    assert_eq!((world.arrivals("r1"), world.arrivals("w1")), (1, 0));
    assert_eq!(client.answer().await.unwrap().body, "answer to r1");
    assert_eq!(client.answer().await.unwrap().body, "answer to w1");
}

/// A body in chunks that holds what looks like a request is a body and nothing
/// else: no server sees the request inside.
#[tokio::test]
async fn a_request_inside_a_body_is_not_a_request() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    let inside = read_request("/read/inside", "inside");
    let head = "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: w1\r\n\
                X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n";
    let request = format!("{head}{:x}\r\n{inside}\r\n0\r\n\r\n", inside.len());
    let answer = entry.send(&request).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(world.arrivals("inside"), 0);
    assert_eq!(world.backends[0].received()[0].body, inside.as_bytes());
}

#[tokio::test]
async fn what_is_not_allowed_is_refused_without_a_server() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    let too_long = "x".repeat((1 << 20) + 1);
    let cases = [
        (read_request("/nowhere/x", "n1"), 404),
        (read_request("/read", "n2"), 404),
        (read_request("/read/x", "n3").replace("shop.example", "other.example"), 404),
        (write_request("/write/x", "n4", &too_long), 413),
    ];
    for (request, status) in cases {
        let line = request.lines().next().unwrap().to_owned();
        let answer = entry.send(&request).await;
        assert_eq!(answer.map(|answer| answer.status), Some(status), "{line}");
    }
    assert!(world.backends[0].received().is_empty());
}

/// A client sends half a head and then nothing, once on a new connection and once
/// behind a request that was answered. The connection is closed soon after the time
/// that a head may take; one that is only idle stays open.
#[tokio::test]
async fn a_head_that_never_ends_is_not_waited_for() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    let half = "GET /read/x HTTP/1.1\r\nHost: sh";
    let mut fresh = Client::connect(entry.traffic).await;
    let mut used = Client::connect(entry.traffic).await;
    let mut idle = Client::connect(entry.traffic).await;
    for (client, id) in [(&mut used, "r1"), (&mut idle, "r2")] {
        client.send(&read_request("/read/x", id)).await;
        assert_eq!(client.answer().await.unwrap().status, 200);
    }
    fresh.send(half).await;
    used.send(half).await;
    let sent_at = Instant::now();
    // The configuration allows three seconds.
    assert!(fresh.answer().await.is_none() && used.answer().await.is_none());
    assert!(sent_at.elapsed() > Duration::from_secs(3), "{:?}", sent_at.elapsed());
    idle.send(&read_request("/read/x", "r3")).await;
    assert_eq!(idle.answer().await.unwrap().status, 200);
}
