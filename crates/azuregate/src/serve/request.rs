//! Handles one client request.

use std::{net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use azuregate_core::balance::RequestKind;
use azuregate_platform::request;
use hyper::{HeaderMap, Response, body::Incoming, header, http::request::Parts};
use tokio::time::{self, Instant};

use super::{
    access_log::AccessLogEntry,
    attempt_state::AttemptState,
    client_memory::ConnectionMemory,
    dispatch::Dispatcher,
    outgoing_request::OutgoingRequest,
    request_body::RequestBody,
    response::{self, RequestError},
    response_body::ResponseBody,
    shutdown,
    state::State,
};

/// The memory that a response takes of which the start is buffered.
pub(super) const RESPONSE_BYTES: usize = 128 << 10;
/// The deadline of requests without a deadline header.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Marks a response that is sent before the whole body of its request was received.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrecedesBody;

/// A request whose head was received.
pub(super) struct ReceivedRequest {
    pub(super) parts: Parts,
    /// `None` if it has no body.
    pub(super) body: Option<Incoming>,
    /// When its head was received.
    pub(super) received_at: Instant,
    /// What the connection that it came on holds.
    pub(super) memory: Rc<ConnectionMemory>,
}

/// Handles a request of `client` whose head was received at `received_at`.
///
/// It has a line in the log also if the future is never polled.
pub(super) fn handle(
    state: Rc<State>,
    client: IpAddr,
    memory: Rc<ConnectionMemory>,
    parts: Parts,
    body: Option<Incoming>,
    received_at: Instant,
) -> impl Future<Output = Response<ResponseBody>> {
    let log_entry = AccessLogEntry::new(&state, false, client, &parts, received_at);
    async move {
        let mut attempts = AttemptState::default();
        let request = ReceivedRequest { parts, body, received_at, memory };
        let result = respond(&state, &mut attempts, log_entry, request).await;
        let mut response = result.unwrap_or_else(RequestError::into_response);
        if !attempts.has_received_body {
            response.extensions_mut().insert(PrecedesBody);
        }
        response
    }
}

/// Handles a request, and records its outcome.
///
/// # Errors
///
/// Returns why there is no response of a backend server.
pub(super) async fn respond(
    state: &Rc<State>,
    attempts: &mut AttemptState,
    mut log_entry: AccessLogEntry,
    request: ReceivedRequest,
) -> Result<Response<ResponseBody>, RequestError> {
    let result = serve(state, attempts, request, &mut log_entry).await;
    let status = match &result {
        Ok(response) => response.status(),
        Err(error) => {
            log_entry.code = error.code();
            error.status()
        }
    };
    let AccessLogEntry { service, route, code, .. } = &log_entry;
    state.metrics.record_request(service, route, code, log_entry.taken_ms());
    log_entry.log(Some(status));
    result
}

/// Returns whether a pipelined request may start before the previous responses are
/// sent. Only idempotent requests may: if the connection closes first, the client
/// retries the request, and it is executed twice.
pub(super) fn can_start_early(state: &State, parts: &Parts) -> bool {
    let Some(config) = state.config() else { return false };
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let route = host.and_then(|host| config.route(host, parts.uri.path()));
    route.is_some_and(|route| route.kind == RequestKind::Idempotent)
        && state.client_memory.has_room(RESPONSE_BYTES)
}

async fn serve(
    state: &Rc<State>,
    attempts: &mut AttemptState,
    request: ReceivedRequest,
    log_entry: &mut AccessLogEntry,
) -> Result<Response<ResponseBody>, RequestError> {
    let ReceivedRequest { parts, body, received_at, memory } = request;
    let Some(config) = state.config() else { return Err(RequestError::NotReady) };
    log_entry.version = config.version();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host else { return Err(RequestError::BadRequest) };
    // Without an ID, no response could be told to be the answer.
    if parts.headers.get_all(request::REQUEST_ID).iter().count() != 1 {
        return Err(RequestError::BadRequest);
    }
    let Some(route) = config.route(host, parts.uri.path()) else {
        // Clients do not retry a 404, and without contact the route may be missing only
        // because the configuration is outdated.
        let has_contact = state.contact.borrow().is_fresh(state.now_ms());
        return Err(if has_contact {
            RequestError::NoRoute
        } else {
            RequestError::StoreContactLost
        });
    };
    let route = Arc::clone(route);
    log_entry.route.push_str(&route.name);
    let is_idempotent = route.kind == RequestKind::Idempotent && !attempts.is_at_most_once;
    log_entry.is_write = !is_idempotent;
    let timeout_ms = deadline_ms(&parts.headers).min(route.timeout_ms);
    log_entry.deadline_ms = timeout_ms;
    let deadline = received_at + Duration::from_millis(timeout_ms);
    let service = state.next_service(&route);
    log_entry.service.push_str(service.as_str());
    // The instance that took the request from the client has counted a forwarded one.
    if !attempts.is_forwarded {
        state.record_request(&service);
    }
    if !state.has_backends() {
        return Err(RequestError::NotReady);
    }
    let body_limit_bytes = config.limits().body_bytes;
    drop(config);
    if !memory.has_memory() {
        return Err(RequestError::NoMemory);
    }

    let work = async {
        let body = match body {
            Some(body) => tokio::select! {
                // A body that has arrived is read at once.
                biased;
                body = RequestBody::read(body, body_limit_bytes, &memory) => body?,
                () = shutdown::send_window_closed(state, &route, deadline) => {
                    log_entry.basis = "body incomplete".to_owned();
                    return Err(RequestError::Stopping);
                }
            },
            None => RequestBody::default(),
        };
        attempts.has_received_body = true;
        let outgoing = outgoing_request(parts, body, is_idempotent, deadline, memory);
        Dispatcher { state, route: &route, service: &service, outgoing }
            .send(attempts, log_entry)
            .await
    };
    match time::timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(attempts.timeout_error()),
    }
}

fn deadline_ms(headers: &HeaderMap) -> u64 {
    let text = headers.get(request::DEADLINE_MS).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEADLINE_MS)
}

fn outgoing_request(
    mut parts: Parts,
    body: RequestBody,
    is_idempotent: bool,
    deadline: Instant,
    memory: Rc<ConnectionMemory>,
) -> OutgoingRequest {
    response::remove_hop_by_hop_headers(&mut parts.headers);
    response::remove_internal_headers(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    parts.headers.remove(header::CONTENT_LENGTH);
    OutgoingRequest::new(parts, body, is_idempotent, deadline, memory)
}
