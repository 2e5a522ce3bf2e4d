//! Backend servers whose response heads do not end.

use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use azuregate::{
    backend::{BackendDialer, HttpDialer, SendCause},
    body,
};
use hyper::Request;

/// How long the server sends if the connection is not closed.
const SENDING: Duration = Duration::from_secs(5);
const MAX_ELAPSED: Duration = Duration::from_secs(2);

/// Starts a server that answers one request with `head` and then with `piece` again and again.
fn start(head: &'static str, piece: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_024]);
        let _ = stream.write_all(head.as_bytes());
        let start = Instant::now();
        while start.elapsed() < SENDING && stream.write_all(piece.as_bytes()).is_ok() {}
    });
    addr
}

/// Guards against a head, or informational responses before it, that are read for as long as the
/// server sends, which keeps a thread from all other requests.
#[tokio::test]
async fn head_without_end_is_invalid() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n", format!("X-Field: {}\r\n", "x".repeat(4_096))),
        ("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(40)),
    ];
    for (head, piece) in cases {
        let addr = start(head, piece);
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let mut conn = HttpDialer { ip }.dial(addr).await.unwrap();
        let start = Instant::now();
        let error = conn.send(Request::new(body::empty())).await.unwrap_err();
        assert_eq!(error.cause, SendCause::Invalid, "{head:?}: {}", error.detail);
        assert!(start.elapsed() < MAX_ELAPSED, "{head:?}: {:?}", start.elapsed());
    }
}
