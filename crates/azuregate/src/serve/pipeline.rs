//! Concurrent execution of pipelined requests.
//!
//! HTTP/1.1 lets a client send requests without waiting for the previous responses,
//! which must be returned in order. hyper reads the next request only after it has sent
//! the previous response, so a slow request would delay all requests pipelined behind
//! it: under load, one read in eight reached a backend server after more than half of
//! its target latency. [`RequestScanner`] finds request heads in the bytes as they arrive, and
//! [`Pipeline`] starts those requests. When hyper reads a request that was already
//! started, it gets the response of the started one.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::IpAddr,
    rc::Rc,
};

use azuregate_platform::request;
use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use tokio::{
    sync::Notify,
    task::{JoinHandle, spawn_local},
    time::Instant,
};

use super::{
    access_log::AccessLogEntry, client_memory::ConnectionMemory, request as handler,
    response_body::ResponseBody, shutdown_phase::ShutdownPhase, state::State,
};

/// Limits the started requests of one connection.
const MAX_STARTED_REQUESTS: usize = 16;
/// Limits the requests of one connection that hyper has not read. Their heads are copies, several times as
/// large as the bytes received.
const MAX_SCANNED_REQUESTS: u64 = 32;
/// A request with more headers disables the scanner for its connection.
const MAX_HEADERS: usize = 48;
/// A longer request head disables the scanner for its connection.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A request whose head has been received.
#[derive(Debug)]
pub(super) struct ScannedRequest {
    pub(super) parts: Parts,
    pub(super) has_body: bool,
}

impl ScannedRequest {
    /// Returns whether it may be executed in parallel with others of this kind.
    fn is_read(&self) -> bool {
        self.parts.method == Method::GET && !self.has_body
    }
}

/// Finds request heads in the bytes of a connection.
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
        if self.is_disabled {
            return;
        }
        let skipped = match self.bytes.is_empty() {
            true => self.body_remaining_bytes.min(bytes.len()),
            false => 0,
        };
        self.body_remaining_bytes -= skipped;
        self.bytes.extend_from_slice(&bytes[skipped..]);
    }

    /// Returns whether a request head has been received only in part.
    pub(super) fn has_partial_head(&self) -> bool {
        !self.is_disabled && self.body_remaining_bytes == 0 && !self.bytes.is_empty()
    }

    /// Returns the next request of which the whole head has been received. Bodies are skipped.
    pub(super) fn next_request(&mut self) -> Option<ScannedRequest> {
        if self.bytes.is_empty() {
            // Otherwise an idle connection keeps its capacity.
            self.bytes = BytesMut::new();
        }
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
            Ok(httparse::Status::Partial) if self.bytes.len() < MAX_HEAD_BYTES => return None,
            Ok(httparse::Status::Partial) | Err(_) => return self.disable(),
        };
        let Some(parts) = request_parts(&head) else { return self.disable() };
        let Some(body_length) = body_length(&parts.headers) else {
            self.disable();
            return Some(ScannedRequest { parts, has_body: true });
        };
        self.bytes.advance(length);
        self.body_remaining_bytes = body_length;
        Some(ScannedRequest { parts, has_body: body_length > 0 })
    }

    fn disable(&mut self) -> Option<ScannedRequest> {
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
    /// Its place among the requests of the connection.
    number: u64,
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

/// A request that has been received and not been handled.
struct UnhandledRequest {
    /// Its place among the requests of the connection.
    number: u64,
    parts: Parts,
    received_at: Instant,
}

/// The pipelined requests of one connection.
pub(super) struct Pipeline {
    started: RefCell<VecDeque<StartedRequest>>,
    /// Requests that hyper has not read yet and that were not started.
    unhandled: RefCell<VecDeque<UnhandledRequest>>,
    /// The number of requests whose heads were scanned.
    scanned: Cell<u64>,
    /// The number of requests that hyper has read.
    begun: Cell<u64>,
    /// The number of requests that have a response.
    finished: Cell<u64>,
    /// The number of requests up to the last one that is not a read.
    reads_from: Cell<u64>,
    /// Notified when the pipeline has room.
    resume: Rc<Notify>,
}

impl Pipeline {
    /// Returns an empty pipeline, which notifies `resume` when it has room again.
    pub(super) fn new(resume: Rc<Notify>) -> Pipeline {
        Pipeline {
            started: RefCell::default(),
            unhandled: RefCell::default(),
            scanned: Cell::new(0),
            begun: Cell::new(0),
            finished: Cell::new(0),
            reads_from: Cell::new(0),
            resume,
        }
    }

    /// Returns whether no further request may be pushed until hyper has read another one.
    pub(super) fn is_full(&self) -> bool {
        self.scanned.get().saturating_sub(self.begun.get()) >= MAX_SCANNED_REQUESTS
    }

    /// Adds a received request, and starts it if it is pipelined behind another one.
    pub(super) fn push(
        &self,
        state: &Rc<State>,
        client: IpAddr,
        memory: &Rc<ConnectionMemory>,
        request: ScannedRequest,
    ) {
        let number = self.scanned.replace(self.scanned.get() + 1);
        let is_read = request.is_read();
        if !is_read {
            self.reads_from.set(number + 1);
        }
        let finished = self.finished.get();
        // A read behind a write has to see its effect.
        let is_behind_reads = finished < number && finished >= self.reads_from.get();
        let parts = request.parts;
        let mut started = self.started.borrow_mut();
        if !is_read
            || !is_behind_reads
            || started.len() >= MAX_STARTED_REQUESTS
            || *state.phase.borrow() >= ShutdownPhase::ClosingIdle
            || !handler::can_start_early(state, &parts)
        {
            let unhandled = UnhandledRequest { number, parts, received_at: Instant::now() };
            self.unhandled.borrow_mut().push_back(unhandled);
            return;
        }
        let uri = parts.uri.clone();
        let id = parts.headers.get(request::REQUEST_ID).cloned();
        // Charged before there is a response, since many requests start at the same time.
        let charge = memory.charge(handler::RESPONSE_BYTES);
        let memory = Rc::clone(memory);
        // Boxed, since the memory of a task is kept until its result is taken.
        let handled = Box::pin(handler::handle(
            Rc::clone(state),
            client,
            memory,
            parts,
            None,
            Instant::now(),
        ));
        let task = spawn_local(async move {
            let response = handled.await;
            drop(charge);
            response
        });
        started.push_back(StartedRequest { number, uri, id, task });
    }

    /// Returns the response of the next request that hyper has read, if it was started early.
    pub(super) async fn take_response(&self, parts: &Parts) -> Option<Response<ResponseBody>> {
        let mut started = self.take(parts)?;
        (&mut started.task).await.ok()
    }

    /// Returns whether requests behind the current one have been read and get a response as well.
    ///
    /// From [`ShutdownPhase::ClosingIdle`] on, these are only requests that were started before: a
    /// client that sends one request behind the other would keep the connection open.
    pub(super) fn has_pending(&self, state: &State) -> bool {
        match *state.phase.borrow() >= ShutdownPhase::ClosingIdle {
            true => !self.started.borrow().is_empty(),
            false => self.finished.get() < self.scanned.get(),
        }
    }

    /// Returns whether a request has been received that hyper has not read yet.
    pub(super) fn has_unhandled(&self) -> bool {
        self.begun.get() < self.scanned.get()
    }

    /// Logs the requests that were received before their client disconnected and not handled.
    pub(super) fn log_unhandled(&self, state: &Rc<State>, client: IpAddr) {
        for UnhandledRequest { parts, received_at, .. } in self.unhandled.take() {
            // Logged as cancelled.
            drop(AccessLogEntry::new(state, false, client, &parts, received_at));
        }
    }

    /// Marks the current request as responded to.
    pub(super) fn finish_current(&self) {
        self.finished.set(self.finished.get() + 1);
    }

    /// Removes and returns the started request at the place of the next one that hyper has read.
    /// Started requests before it were handled without their early start and are cancelled.
    ///
    /// An ID and a URI may occur again. They are compared all the same, in case the scanner and
    /// hyper delimit requests in different ways.
    fn take(&self, parts: &Parts) -> Option<StartedRequest> {
        let number = self.begun.replace(self.begun.get() + 1);
        self.resume.notify_one();
        let id = parts.headers.get(request::REQUEST_ID);
        let mut unhandled = self.unhandled.borrow_mut();
        while unhandled.pop_front_if(|unhandled| unhandled.number <= number).is_some() {}
        let mut started = self.started.borrow_mut();
        let is_past = |started: &StartedRequest| started.number < number;
        while started.front().is_some_and(is_past) {
            started.pop_front();
        }
        started.pop_front_if(|started| started.number == number).filter(|started| {
            parts.method == Method::GET && started.uri == parts.uri && started.id.as_ref() == id
        })
    }
}
