//! Crowds that send bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinSet, time};

use crate::{
    cluster::Client,
    crowd::{Crowd, Payload},
    machine::{Machine, ROUTE_TIMEOUT_MS},
};

/// The longest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Together they send more than twice the memory of the machine.
const CLIENTS: usize = 64;
const PIECE_BYTES: usize = 16 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// With this `Content-Length`.
    Length(usize),
    /// In chunks of this size.
    Chunks(usize),
}

fn head(framing: Framing) -> String {
    let field = match framing {
        Framing::Length(bytes) => format!("Content-Length: {bytes}"),
        Framing::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    format!(
        "POST /upload/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd{{n}}\r\n\
         X-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\nazuregate-executions: 0\r\n{field}\r\n\r\n"
    )
}

/// Returns a payload of which `sent_bytes` of the body are sent.
fn payload(framing: Framing, sent_bytes: usize, interval: Duration) -> Payload {
    let piece = match framing {
        Framing::Length(_) => vec![b'x'; PIECE_BYTES],
        Framing::Chunks(chunk_bytes) => {
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
            chunk.repeat((PIECE_BYTES / chunk_bytes).max(1)).into_bytes()
        }
    };
    let piece_bytes = match framing {
        Framing::Length(_) => PIECE_BYTES,
        Framing::Chunks(chunk_bytes) => PIECE_BYTES.max(chunk_bytes),
    };
    let pieces = sent_bytes / piece_bytes;
    let rest = match framing {
        Framing::Length(_) => vec![b'x'; sent_bytes - pieces * piece_bytes],
        Framing::Chunks(_) => Vec::new(),
    };
    let (head, piece, rest) = (head(framing), piece.into(), rest.into());
    Payload { head, piece, pieces, rest, interval, trickles: false }
}

async fn check_crowd(payloads: &[(usize, Payload)]) {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let addr = machine.process.traffic_addr;
    let crowds: Vec<_> =
        payloads.iter().map(|(count, payload)| Crowd::start(addr, *count, payload)).collect();
    for crowd in &crowds {
        machine.settle(&crowd.sent_bytes).await;
    }
    machine.check().await;
}

/// Guards against running out of memory on large bodies that stall just short of their end, beside some
/// that do not.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies() {
    let framing = Framing::Length(MAX_BODY_BYTES);
    let stalled = payload(framing, MAX_BODY_BYTES - 1, Duration::ZERO);
    let complete = payload(framing, MAX_BODY_BYTES, Duration::ZERO);
    check_crowd(&[(CLIENTS - 8, stalled), (8, complete)]).await;
}

/// Guards against the same if all bodies grow at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_piece_by_piece() {
    let framing = Framing::Length(MAX_BODY_BYTES);
    let stalled = payload(framing, MAX_BODY_BYTES - 1, Duration::from_millis(5));
    check_crowd(&[(CLIENTS, stalled)]).await;
}

/// Guards against running out of memory on chunked bodies that stall.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks() {
    let stalled = payload(Framing::Chunks(1 << 20), MAX_BODY_BYTES, Duration::ZERO);
    check_crowd(&[(CLIENTS, stalled)]).await;
}

/// Guards against overhead for each chunk.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_tiny_chunks() {
    let stalled = payload(Framing::Chunks(100), MAX_BODY_BYTES / 2, Duration::ZERO);
    check_crowd(&[(CLIENTS, stalled)]).await;
}

/// Guards against clients that keep their memory by sending a byte now and then.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_trickle() {
    let whole = payload(Framing::Length(MAX_BODY_BYTES), MAX_BODY_BYTES / 2, Duration::ZERO);
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let addr = machine.process.traffic_addr;
    let crowd = Crowd::start(addr, CLIENTS, &Payload { trickles: true, ..whole });
    machine.settle(&crowd.sent_bytes).await;
    machine.check().await;
}

/// Guards against reading bodies that are far over the limit, whether they announce it or not.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit() {
    let announced = payload(Framing::Length(1 << 40), 4 * MAX_BODY_BYTES, Duration::ZERO);
    let chunked = payload(Framing::Chunks(64 << 10), 4 * MAX_BODY_BYTES, Duration::ZERO);
    check_crowd(&[(CLIENTS / 2, announced), (CLIENTS, chunked)]).await;
}

/// Guards against bodies that other instances forward, or that clients send to the same port.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_bodies() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let length = payload(Framing::Length(MAX_BODY_BYTES), MAX_BODY_BYTES - 1, Duration::ZERO);
    let chunked = payload(Framing::Chunks(1_000), MAX_BODY_BYTES, Duration::ZERO);
    let addr = machine.forwarding_addr();
    let crowds = [length, chunked].map(|payload| Crowd::start(addr, CLIENTS / 2, &payload));
    for crowd in &crowds {
        machine.settle(&crowd.sent_bytes).await;
    }
    machine.check().await;
}

/// Guards against bodies that wait for each other's memory for ever.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_need_more_memory_than_there_is() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let answered = Arc::<AtomicUsize>::default();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let addr = machine.process.traffic_addr;
        let answered = Arc::clone(&answered);
        clients.spawn(async move {
            let mut client = Client::connect(addr).await;
            let chunked = payload(Framing::Chunks(8 << 10), MAX_BODY_BYTES, Duration::ZERO);
            client.send(&chunked.head.replace("{n}", &number.to_string())).await;
            for _ in 0..chunked.pieces {
                client.send(std::str::from_utf8(&chunked.piece).unwrap()).await;
            }
            client.send("0\r\n\r\n").await;
            // A closed connection ends the wait as well.
            if let Some(response) = client.response().await {
                assert!([200, 503].contains(&response.status), "{response:?}");
                let is_served = response.status == 200;
                assert!(is_served || response.header("retry-after").is_some(), "{response:?}");
                answered.fetch_add(usize::from(is_served), Ordering::Relaxed);
            }
        });
    }
    let all = time::timeout(Duration::from_secs(60), clients.join_all()).await;
    assert!(all.is_ok(), "some clients wait for ever");
    assert_ne!(answered.load(Ordering::Relaxed), 0, "no body was served");
    machine.check().await;
}

/// Guards against refusals that their clients never see, since the connection is reset under the rest of the
/// body.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_long_body_reaches_its_client() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    for framing in [Framing::Length(2 * MAX_BODY_BYTES), Framing::Chunks(10_000)] {
        let mut client = Client::connect(machine.process.traffic_addr).await;
        let payload = payload(framing, 2 * MAX_BODY_BYTES, Duration::ZERO);
        client.send(&payload.head).await;
        for _ in 0..payload.pieces {
            client.send(std::str::from_utf8(&payload.piece).unwrap()).await;
        }
        let response = client.response().await;
        assert_eq!(response.map(|response| response.status), Some(413), "{framing:?}");
    }
    machine.check().await;
}

/// Guards against making a client give way without telling it that its request was not executed.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_body_is_refused_with_a_promise() {
    let mut machine = Machine::start(MAX_BODY_BYTES).await;
    let whole = payload(Framing::Length(MAX_BODY_BYTES), MAX_BODY_BYTES - 1, Duration::ZERO);
    let mut client = Client::connect(machine.process.traffic_addr).await;
    client.send(&whole.head.replace("{n}", "-refused")).await;
    for _ in 0..whole.pieces {
        client.send(std::str::from_utf8(&whole.piece).unwrap()).await;
    }
    // It has stalled by then.
    time::sleep(Duration::from_secs(2)).await;
    let crowd = Crowd::start(machine.process.traffic_addr, CLIENTS, &whole);
    machine.settle(&crowd.sent_bytes).await;
    let response = client.response().await.expect("the client is told");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some(), "{response:?}");
    assert_eq!(machine.cluster.request_count("crowd-refused"), 0);
    assert!(machine.process.request_line("crowd-refused").unwrap().contains("code=no-memory"));
    assert_ne!(machine.process.metric("azuregate_client_bodies_refused_total").await, 0);
    machine.check().await;
}

/// Guards against limits that a single body of legal size meets.
#[tokio::test(flavor = "multi_thread")]
async fn one_body_of_the_largest_size() {
    let max_body_bytes = 32 << 20;
    for framing in [Framing::Length(max_body_bytes), Framing::Chunks(100_000)] {
        let mut machine = Machine::start(max_body_bytes).await;
        let mut client = Client::connect(machine.process.traffic_addr).await;
        let payload = payload(framing, max_body_bytes, Duration::ZERO);
        client.send(&payload.head).await;
        for _ in 0..payload.pieces {
            client.send(std::str::from_utf8(&payload.piece).unwrap()).await;
        }
        client.send(std::str::from_utf8(&payload.rest).unwrap()).await;
        if let Framing::Chunks(_) = framing {
            client.send("0\r\n\r\n").await;
        }
        let response = client.response().await;
        assert_eq!(response.map(|response| response.status), Some(200), "{framing:?}");
        machine.check().await;
    }
}
