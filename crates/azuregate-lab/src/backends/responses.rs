//! HTTP responses of a simulated backend server.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{self, HeaderValue},
};
use serde::Serialize;
use tokio::time;

/// Delay between the first half of a truncated body and the error that ends it.
const TRUNCATION_DELAY: Duration = Duration::from_millis(5);

/// The body of a response, which may end early.
pub(crate) type Body = UnsyncBoxBody<Bytes, Truncated>;

/// The error that ends a truncated body.
#[derive(Debug)]
pub(crate) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("body truncated by an injected fault")
    }
}

impl std::error::Error for Truncated {}

/// Returns a `200 OK` response with this body.
pub(crate) fn full(text: impl Into<Bytes>) -> Response<Body> {
    Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed_unsync())
}

/// Returns a `200 OK` response with `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    full(serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a response with this status and body.
pub(crate) fn status(code: StatusCode, text: &str) -> Response<Body> {
    let mut response = full(text.to_owned());
    *response.status_mut() = code;
    response
}

/// Returns a response that declares the length of `text` but sends only half of
/// it.
pub(crate) fn truncated(text: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let first = futures_util::stream::iter([Ok(Frame::data(half))]);
    // Without the delay, the connection closes before the first half is flushed.
    let rest = futures_util::stream::once(async {
        time::sleep(TRUNCATION_DELAY).await;
        Err(Truncated)
    });
    let body = StreamBody::new(first.chain(rest)).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
    response
}
