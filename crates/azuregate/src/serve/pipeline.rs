//! Requests that wait behind others on their connection, started early.
//!
//! HTTP/1.1 lets a client send requests without waiting for answers, which come
//! back in order. The HTTP server takes the next request only when the one before
//! is answered, so a request behind one that takes long would reach a backend
//! server late: one in eight reads did under load, after more than half of its
//! latency objective. [`RequestScanner`] finds the requests in the bytes as they arrive,
//! and [`Pipeline`] starts them; when the HTTP server comes to a request, its
//! answer is on the way or there.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

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

/// Requests of one connection that are started before their turn.
const MAX_STARTED_REQUESTS: usize = 16;
/// Headers of a request that is started early; one with more waits for its turn.
const MAX_HEADERS: usize = 48;
/// The longest head that is looked at.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Finds requests without a body in the bytes of a connection.
#[derive(Debug, Default)]
pub(super) struct RequestScanner {
    bytes: BytesMut,
    /// Bytes of a body that are passed over.
    body_remaining_bytes: usize,
    /// Whether something came whose end cannot be told here.
    is_disabled: bool,
}

impl RequestScanner {
    /// Takes in the next bytes of the connection.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        if !self.is_disabled {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Whether a part of a head has come and the rest has not.
    pub(super) fn has_partial_head(&self) -> bool {
        !self.is_disabled && self.body_remaining_bytes == 0 && !self.bytes.is_empty()
    }

    /// The next whole head of a request that has no body; heads of others are
    /// passed over with their bodies.
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

/// The length of a body; `None` if only its reader can tell.
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

/// A request that was started before its turn.
struct StartedRequest {
    uri: Uri,
    id: Option<HeaderValue>,
    task: JoinHandle<Response<ResponseBody>>,
}

impl Drop for StartedRequest {
    /// The client has left, or the request is served in another way.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The requests of one connection that were started before their turn.
#[derive(Default)]
pub(super) struct Pipeline {
    started: RefCell<VecDeque<StartedRequest>>,
    /// Requests that were found and have not had their turn, the current one
    /// included.
    unanswered: RefCell<usize>,
}

impl Pipeline {
    /// Takes in a request as it arrives, and starts it if others are before it.
    pub(super) fn push(&self, state: &Rc<State>, parts: Parts) {
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
        let task = spawn_local(handler::handle(Rc::clone(state), parts, None, Instant::now()));
        started.push_back(StartedRequest { uri, id, task });
    }

    /// The answer of the request whose turn it is, if it was started early.
    pub(super) async fn take_response(&self, parts: &Parts) -> Option<Response<ResponseBody>> {
        let mut started = self.take(parts)?;
        (&mut started.task).await.ok()
    }

    /// Notes that a request has been answered.
    pub(super) fn finish_current(&self) {
        let mut unanswered = self.unanswered.borrow_mut();
        *unanswered = unanswered.saturating_sub(1);
    }

    /// Requests that are passed over here make the rest wait in vain at worst: an
    /// early one is used only for the very request that it was started for.
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
