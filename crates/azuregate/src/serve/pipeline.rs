//! Concurrent execution of pipelined requests.
//!
//! HTTP/1.1 lets a client send requests without waiting for the previous responses,
//! which must be returned in order. hyper reads the next request only after it has sent
//! the previous response, so a slow request would delay all requests pipelined behind
//! it: under load, one read in eight reached a backend server after more than half of
//! its target latency. [`RequestScanner`] finds request heads in the bytes as they arrive, and
//! [`Pipeline`] starts those requests. When hyper reads a request that was already
//! started, it gets the response of the started one.

use std::{cell::RefCell, collections::VecDeque, net::IpAddr, rc::Rc};

use azuregate_platform::request;
use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::Instant,
};

use super::{request as handler, response_body::ResponseBody, state::State};

/// Limits the started requests of one connection.
const MAX_STARTED_REQUESTS: usize = 16;
/// A request with more headers disables the scanner for its connection.
const MAX_HEADERS: usize = 48;
/// A longer request head disables the scanner for its connection.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Finds GET requests without a body in the bytes of a connection.
#[derive(Debug, Default)]
pub(super) struct RequestScanner {
    bytes: BytesMut,
    /// Bytes of the current body that are still to be skipped.
    body_remaining_bytes: usize,
    /// Set after bytes that cannot be delimited, such as a chunked body.
    is_disabled: bool,
}

impl RequestScanner {
    /// Appends bytes received on the connection.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        if !self.is_disabled {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Returns whether a request head has been received only in part.
    pub(super) fn has_partial_head(&self) -> bool {
        !self.is_disabled && self.body_remaining_bytes == 0 && !self.bytes.is_empty()
    }

    /// Returns the next complete head of a GET request without a body. Other requests
    /// are skipped with their bodies.
    pub(super) fn next_get(&mut self) -> Option<Parts> {
        loop {
            let skipped = self.body_remaining_bytes.min(self.bytes.len());
            self.bytes.advance(skipped);
            self.body_remaining_bytes -= skipped;
            if self.is_disabled || self.body_remaining_bytes > 0 || self.bytes.is_empty() {
                return None;
            }
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let length = match head.parse(&self.bytes) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) if self.bytes.len() < MAX_HEAD_BYTES => {
                    return None;
                }
                Ok(httparse::Status::Partial) | Err(_) => return self.disable(),
            };
            let Some(parts) = request_parts(&head) else { return self.disable() };
            let Some(body_length) = body_length(&parts.headers) else { return self.disable() };
            self.bytes.advance(length);
            self.body_remaining_bytes = body_length;
            if body_length == 0 && parts.method == Method::GET {
                return Some(parts);
            }
        }
    }

    fn disable(&mut self) -> Option<Parts> {
        self.is_disabled = true;
        self.bytes = BytesMut::new();
        None
    }
}

fn request_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse().ok()?;
    let headers = request.headers_mut();
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(request.into_parts().0)
}

/// Returns the body length, or `None` if the headers do not determine it.
fn body_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(header::TRANSFER_ENCODING) || headers.contains_key(header::UPGRADE) {
        return None;
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => length.to_str().ok()?.parse().ok(),
        (Some(_), Some(_)) => None,
    }
}

/// A request that was started before the previous responses were sent.
struct StartedRequest {
    uri: Uri,
    id: Option<HeaderValue>,
    task: JoinHandle<Response<ResponseBody>>,
}

impl Drop for StartedRequest {
    /// Cancels the request if the client disconnected or the response is not used.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The pipelined requests of one connection.
#[derive(Default)]
pub(super) struct Pipeline {
    started: RefCell<VecDeque<StartedRequest>>,
    /// The number of scanned requests without a response, including the current one.
    unanswered: RefCell<usize>,
}

impl Pipeline {
    /// Adds a received request, and starts it if it is pipelined behind another one.
    pub(super) fn push(&self, state: &Rc<State>, client: IpAddr, parts: Parts) {
        let mut unanswered = self.unanswered.borrow_mut();
        *unanswered += 1;
        let mut started = self.started.borrow_mut();
        if *unanswered < 2
            || started.len() >= MAX_STARTED_REQUESTS
            || !handler::can_start_early(state, &parts)
        {
            return;
        }
        let uri = parts.uri.clone();
        let id = parts.headers.get(request::REQUEST_ID).cloned();
        let task =
            spawn_local(handler::handle(Rc::clone(state), client, parts, None, Instant::now()));
        started.push_back(StartedRequest { uri, id, task });
    }

    /// Returns the response of the current request if that request was started early.
    pub(super) async fn take_response(&self, parts: &Parts) -> Option<Response<ResponseBody>> {
        let mut started = self.take(parts)?;
        (&mut started.task).await.ok()
    }

    /// Marks the current request as responded to.
    pub(super) fn finish_current(&self) {
        let mut unanswered = self.unanswered.borrow_mut();
        *unanswered = unanswered.saturating_sub(1);
    }

    /// Removes and returns the started request with the same URI and request ID, so that
    /// a response is never used for a different request. Started requests before it were
    /// handled without their early start and are cancelled.
    fn take(&self, parts: &Parts) -> Option<StartedRequest> {
        let id = parts.headers.get(request::REQUEST_ID);
        let mut started = self.started.borrow_mut();
        let is_same_request =
            |started: &StartedRequest| started.uri == parts.uri && started.id.as_ref() == id;
        let position = started.iter().position(is_same_request)?;
        started.drain(..position);
        started.pop_front()
    }
}
