//! Tests of the simulated network delays.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate_core::names::ZoneName;
use azuregate_lab::network::{Relay, with_delay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
};

use crate::examples;

#[test]
fn one_way_delays_follow_the_example_topology() {
    let example = examples::load("kvas");
    let network = example.network();
    let clients = |zone: &str| example.client_ip(&ZoneName::new(zone), 3).to_string();
    let table = [
        ("127.0.10.1".to_owned(), "sofia-a", 0),
        ("127.0.10.1".to_owned(), "sofia-b", 4),
        ("127.0.10.1".to_owned(), "varna-a", 20),
        ("127.0.10.9".to_owned(), "plovdiv-b", 4),
        (clients("sofia-a"), "sofia-a", 1),
        (clients("sofia-a"), "sofia-b", 5),
        (clients("varna-b"), "sofia-b", 21),
        ("127.0.0.1".to_owned(), "sofia-a", 0),
    ];
    for (from, to, delay_ms) in table {
        let ip: IpAddr = from.parse().unwrap();
        let one_way_delay = network.one_way_delay(ip, &ZoneName::new(to));
        assert_eq!(one_way_delay, Duration::from_millis(delay_ms), "{from} to {to}");
    }
}

#[tokio::test]
async fn bytes_and_end_of_stream_are_delayed() {
    let one_way_delay = Duration::from_millis(30);
    let (mut local, remote) = tokio::io::duplex(1 << 10);
    let mut remote = with_delay(remote, one_way_delay);
    let sent: Vec<u8> = (0..300_000_u32).map(|i| i as u8).collect();
    let copy = sent.clone();
    let start = Instant::now();
    let writer = tokio::spawn(async move {
        local.write_all(&copy).await.unwrap();
        local.shutdown().await.unwrap();
        let mut back = Vec::new();
        local.read_to_end(&mut back).await.unwrap();
        back
    });
    let mut received = Vec::new();
    remote.read_to_end(&mut received).await.unwrap();
    assert!(start.elapsed() >= one_way_delay);
    assert!(received == sent);
    remote.write_all(b"thanks").await.unwrap();
    drop(remote);
    assert_eq!(writer.await.unwrap(), b"thanks");
    assert!(start.elapsed() >= 2 * one_way_delay);
}

// An entry instance distributes callers by address, so a relay must preserve it.
#[tokio::test]
async fn relay_preserves_the_client_address() {
    let process = TcpListener::bind("127.0.99.1:0").await.unwrap();
    let listener = TcpListener::bind("127.0.99.1:0").await.unwrap();
    let relay_addr = listener.local_addr().unwrap();
    let relay = Relay {
        network: Arc::new(examples::load("kvas").network()),
        zone: ZoneName::new("sofia-a"),
        upstream_addr: process.local_addr().unwrap(),
    };
    let serving = tokio::spawn(relay.serve(listener));
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.10.5:0".parse().unwrap()).unwrap();
    let mut stream = socket.connect(relay_addr).await.unwrap();
    stream.write_all(b"hello").await.unwrap();
    let (mut accepted, caller) = process.accept().await.unwrap();
    let mut text = [0; 5];
    accepted.read_exact(&mut text).await.unwrap();
    assert_eq!((caller.ip().to_string().as_str(), &text), ("127.0.10.5", b"hello"));
    serving.abort();
}
