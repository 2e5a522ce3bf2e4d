//! Request bodies; small ones are buffered for retries.

use std::time::Duration;

use azuregate_core::{
    claim::{self, BodyDigest},
    error::{Error, ErrorKind},
};
use bytes::Bytes;
use hyper::body::Body as _;
use tokio::time;

use crate::body::{self, Body};

/// Size up to which a body is buffered. A refused request can be retried only if
/// its body is available; larger bodies are streamed.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// The body of a request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// In memory; can be resent.
    Buffered(Bytes),
    /// Streamed from the client; can be sent once.
    Streaming(Body),
}

impl Payload {
    /// Buffers a small body; leaves a large one, or one of unknown length, to be
    /// streamed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BodyIncomplete`] if a small body is not complete within
    /// `timeout_ms`. Nothing has been sent to a backend server.
    pub(crate) async fn read(body: Body, timeout_ms: u64) -> Result<Payload, Error> {
        let length = body.size_hint().upper();
        if length.is_none_or(|length| length > MAX_BUFFERED_BYTES) {
            return Ok(Payload::Streaming(body));
        }
        let collected = body::collect(body, MAX_BUFFERED_BYTES as usize);
        let incomplete = |detail: String| Error::new(ErrorKind::BodyIncomplete, detail);
        match time::timeout(Duration::from_millis(timeout_ms), collected).await {
            Ok(Ok(bytes)) => Ok(Payload::Buffered(bytes)),
            Ok(Err(e)) => Err(incomplete(format!("the request body ended early: {e}"))),
            Err(_) => {
                Err(incomplete(format!("the request body was incomplete after {timeout_ms} ms")))
            }
        }
    }

    /// Returns the length in bytes, or a lower bound if it is unknown.
    pub(crate) fn body_bytes(&self) -> u64 {
        match self {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streaming(body) => {
                let size = body.size_hint();
                size.upper().unwrap_or(size.lower())
            }
        }
    }

    /// Returns the body to send and, if it is buffered, a copy for a retry.
    pub(crate) fn into_body(self) -> (Body, Option<Payload>) {
        match self {
            Payload::Buffered(bytes) => (body::full(bytes.clone()), Some(Payload::Buffered(bytes))),
            Payload::Streaming(body) => (body, None),
        }
    }

    /// Returns the hash of the whole request, given the hash of its head.
    pub(crate) fn fingerprint(&self, head_hash: u64) -> u64 {
        let digest = match self {
            Payload::Buffered(bytes) => BodyDigest::Full(bytes),
            Payload::Streaming(body) => BodyDigest::Length(body.size_hint().exact()),
        };
        claim::fingerprint(head_hash, digest)
    }
}
