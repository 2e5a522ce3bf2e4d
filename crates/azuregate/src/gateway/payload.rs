//! The body of a request, kept for another attempt where it is small.

use std::time::Duration;

use azuregate_core::{
    claim::{self, BodyDigest},
    error::{Error, ErrorKind},
};
use bytes::Bytes;
use hyper::body::Body as _;
use tokio::time;

use crate::body::{self, Body};

/// The largest body that is held in memory, in bytes.
///
/// A request that a backend server refused can go elsewhere only with its body.
/// Orders and holds are far smaller; uploads are larger, and stream.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// A body on its way to a backend server.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Held in memory; can be sent again.
    Buffered(Bytes),
    /// Streams; can be sent once.
    Streaming(Body),
}

impl Payload {
    /// Reads a small body whole; leaves a large one, or one of unknown length,
    /// to stream.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BodyIncomplete`] when a small body does not come whole within
    /// `timeout_ms`. Nothing has been sent, so this is known not to have run.
    pub(crate) async fn read(body: Body, timeout_ms: u64) -> Result<Payload, Error> {
        let length = body.size_hint().upper();
        if length.is_none_or(|length| length > MAX_BUFFERED_BYTES) {
            return Ok(Payload::Streaming(body));
        }
        let collected = body::collect(body, MAX_BUFFERED_BYTES as usize);
        let incomplete = |detail: String| Error::new(ErrorKind::BodyIncomplete, detail);
        match time::timeout(Duration::from_millis(timeout_ms), collected).await {
            Ok(Ok(bytes)) => Ok(Payload::Buffered(bytes)),
            Ok(Err(e)) => Err(incomplete(format!("the request's body broke off: {e}"))),
            Err(_) => Err(incomplete(format!("no whole body within {timeout_ms} ms"))),
        }
    }

    /// Its length in bytes, as far as that is known.
    pub(crate) fn body_bytes(&self) -> u64 {
        match self {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streaming(body) => {
                let size = body.size_hint();
                size.upper().unwrap_or(size.lower())
            }
        }
    }

    /// The body to send, and what is left for another attempt.
    pub(crate) fn into_body(self) -> (Body, Option<Payload>) {
        match self {
            Payload::Buffered(bytes) => (body::full(bytes.clone()), Some(Payload::Buffered(bytes))),
            Payload::Streaming(body) => (body, None),
        }
    }

    /// Hash of the whole request, from the one of its head.
    pub(crate) fn fingerprint(&self, head_hash: u64) -> u64 {
        let digest = match self {
            Payload::Buffered(bytes) => BodyDigest::Whole(bytes),
            Payload::Streaming(body) => BodyDigest::Length(body.size_hint().exact()),
        };
        claim::fingerprint(head_hash, digest)
    }
}
