//! Responses that do not end until the connection is closed.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use tokio::{io::AsyncWriteExt, net::TcpStream, time};

/// Bytes that a fake backend server sends until its connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Endless {
    /// What does not end.
    pub part: EndlessPart,
    /// The time between two pieces.
    pub interval: Duration,
}

/// The part of a response that does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// Bytes that are sent without a request.
    Unsolicited,
    /// The head.
    Head,
    /// The informational responses before it.
    Informational,
    /// The body of a rejection.
    RejectionBody,
    /// The body of a 500.
    FailureBody,
    /// The body of a success, in chunks.
    ChunkedBody,
    /// The body of a success that ends with its connection.
    CloseDelimitedBody,
    /// The body of a success, with a length that no disk holds.
    SizedBody,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailer fields.
    Trailers,
}

impl EndlessPart {
    /// All parts.
    pub const ALL: [EndlessPart; 10] = [
        EndlessPart::Unsolicited,
        EndlessPart::Head,
        EndlessPart::Informational,
        EndlessPart::RejectionBody,
        EndlessPart::FailureBody,
        EndlessPart::ChunkedBody,
        EndlessPart::CloseDelimitedBody,
        EndlessPart::SizedBody,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
    ];

    /// Returns what precedes the pieces in the response to the request `id`, and a piece.
    fn text(self, id: &str) -> (String, String) {
        let signed = format!("X-Request-Id: {id}\r\nX-Response-Signature: s-{id}\r\n");
        let success = format!("HTTP/1.1 200 OK\r\n{signed}");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let bytes = "x".repeat(0x1000);
        let chunk = format!("1000\r\n{bytes}\r\n");
        match self {
            EndlessPart::Unsolicited => (String::new(), bytes),
            EndlessPart::Head => (success, format!("X-Field: {bytes}\r\n")),
            EndlessPart::Informational => {
                (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(40))
            }
            EndlessPart::RejectionBody => {
                let head = format!("HTTP/1.1 503 Rejected\r\n{signed}X-Not-Executed: 1\r\n");
                (head + chunked, chunk)
            }
            EndlessPart::FailureBody => {
                (format!("HTTP/1.1 500 Internal Server Error\r\n{signed}{chunked}"), chunk)
            }
            EndlessPart::ChunkedBody => (success + chunked, chunk),
            EndlessPart::CloseDelimitedBody => (success + "\r\n", bytes),
            EndlessPart::SizedBody => (success + "Content-Length: 1000000000000000\r\n\r\n", bytes),
            EndlessPart::ChunkExtension => (format!("{success}{chunked}1;e="), bytes),
            EndlessPart::Trailers => {
                (format!("{success}{chunked}0\r\n"), format!("X-Field: {bytes}\r\n"))
            }
        }
    }
}

/// What a fake backend server has sent without end.
#[derive(Debug, Default)]
pub(super) struct EndlessCounts {
    /// Connections on which it is being sent.
    pub(super) connections: AtomicUsize,
    /// Bytes that were sent.
    pub(super) sent_bytes: AtomicU64,
}

impl Endless {
    /// Sends until the connection is closed.
    pub(super) async fn send(self, stream: &mut TcpStream, id: &str, counts: &EndlessCounts) {
        counts.connections.fetch_add(1, Ordering::Relaxed);
        let (head, piece) = self.part.text(id);
        let mut next = head.as_bytes();
        while stream.write_all(next).await.is_ok() {
            counts.sent_bytes.fetch_add(next.len() as u64, Ordering::Relaxed);
            next = piece.as_bytes();
            if !self.interval.is_zero() {
                time::sleep(self.interval).await;
            }
        }
        counts.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
