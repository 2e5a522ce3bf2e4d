//! Crowds that keep connections open without sending bodies.

use std::time::Duration;

use azuregate_platform::fakes::Behaviour;
use tokio::time;

use crate::{
    cluster::Client,
    crowd::{Crowd, Payload},
    machine::{Machine, ROUTE_TIMEOUT_MS},
};

const MAX_BODY_BYTES: usize = 4 << 20;

fn repeated(head: &str, piece: &str, pieces: usize) -> Payload {
    Payload {
        head: head.to_owned(),
        piece: piece.as_bytes().to_vec().into(),
        pieces,
        rest: Vec::new().into(),
        interval: Duration::ZERO,
        trickles: false,
    }
}

fn read(number: usize) -> String {
    format!(
        "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c{number}\r\n\
         X-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\n\r\n"
    )
}

/// Guards against running out of file descriptors on connections without a request.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let crowd = Crowd::start(machine.process.traffic_addr, 700, &repeated("", "", 0));
    machine.settle(&crowd.sent_bytes).await;
    machine.check().await;
}

/// Guards against the same on connections to all ports that clients reach.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_other_ports() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let idle = repeated("", "", 0);
    let addrs = [machine.process.lookup_addr, machine.forwarding_addr()];
    let crowds = addrs.map(|addr| Crowd::start(addr, 500, &idle));
    for crowd in &crowds {
        machine.settle(&crowd.sent_bytes).await;
    }
    machine.check().await;
}

/// Guards against partial heads, on more connections than the process may have.
#[tokio::test(flavor = "multi_thread")]
async fn partial_heads() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let head = "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Filler: ";
    let partial = repeated(head, &"x".repeat(1_000), 15);
    let crowd = Crowd::start(machine.process.traffic_addr, 700, &partial);
    machine.settle(&crowd.sent_bytes).await;
    machine.check().await;
}

/// Guards against partial heads of lookups and of forwarded requests.
#[tokio::test(flavor = "multi_thread")]
async fn partial_heads_on_other_ports() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let head = "GET /-/resolve HTTP/1.1\r\nHost: shop.example\r\nX-Filler: ";
    let partial = repeated(head, &"x".repeat(10_000), 38);
    let addrs = [machine.process.lookup_addr, machine.forwarding_addr()];
    let crowds = addrs.map(|addr| Crowd::start(addr, 150, &partial));
    for crowd in &crowds {
        machine.settle(&crowd.sent_bytes).await;
    }
    machine.check().await;
}

/// Guards against pipelined requests that wait behind a slow one.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let slow = Behaviour::Delay(Duration::from_secs(6));
    machine.cluster.backends.iter().for_each(|backend| backend.set(slow.clone()));
    let crowd = Crowd::start(machine.process.traffic_addr, 120, &repeated("", &read(0), 2_000));
    machine.settle(&crowd.sent_bytes).await;
    machine.cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Respond));
    machine.check().await;
}

/// Guards against responses that their clients do not read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let large = Behaviour::RespondBytes(60_000);
    machine.cluster.backends.iter().for_each(|backend| backend.set(large.clone()));
    let crowd = Crowd::start(machine.process.traffic_addr, 300, &repeated("", &read(0), 200));
    machine.settle(&crowd.sent_bytes).await;
    machine.cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Respond));
    machine.check().await;
}

/// Guards against lookups whose clients do not read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_lookups() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let lookup = "GET /-/resolve?name=shop.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n";
    let lookups = repeated("", &lookup.repeat(100), 400);
    let crowd = Crowd::start(machine.process.lookup_addr, 150, &lookups);
    machine.settle(&crowd.sent_bytes).await;
    machine.check().await;
}

/// Guards against keeping something of each request, however many there are.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_high_rate() {
    // Each request pays for as many retries.
    let lines = "terms.bounds.retryBudgetRatio=1000\n";
    let mut machine = Machine::start_with(MAX_BODY_BYTES, lines).await;
    let slow = Behaviour::Delay(Duration::from_secs(6));
    machine.cluster.backends.iter().for_each(|backend| backend.set(slow.clone()));
    let crowd = Crowd::start(machine.process.traffic_addr, 120, &repeated("", &read(0), 2_000));
    machine.settle(&crowd.sent_bytes).await;
    machine.cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Respond));
    machine.check().await;
}

/// Guards against closing the connection of a client that reads its response, in place of one that stalls.
#[tokio::test(flavor = "multi_thread")]
async fn response_in_progress_does_not_give_way() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let mut client = Client::connect(machine.process.traffic_addr).await;
    // The second half of the response comes after that time.
    let slow = read(0).replace("/read/x", "/read/x?stream_ms=8000");
    client.send(&slow).await;
    let response = tokio::spawn(async move { client.response().await });
    let idle = repeated("", "", 0);
    for _ in 0..2 {
        // Longer than it takes to tell which connections stall, or are idle.
        time::sleep(Duration::from_secs(2)).await;
        let crowd = Crowd::start(machine.process.traffic_addr, 400, &idle);
        machine.settle(&crowd.sent_bytes).await;
    }
    let response = response.await.unwrap().expect("the response is not cut");
    assert_eq!((response.status, response.body.len()), (200, 400_000));
    machine.check().await;
}
