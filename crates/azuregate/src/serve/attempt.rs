//! One attempt to send a request to one backend server.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use azuregate_core::balance::{Choice, Outcome, ResponseHead, ResponseKind};
use azuregate_platform::request;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, Version,
    body::{Body, Incoming},
    header::{self, HeaderValue},
};
use tokio::time;

use super::{
    access_log::AccessLogEntry,
    client_memory::Charge,
    connector::RECEIVE_BUFFER_BYTES,
    crash_detection,
    in_flight::InFlightRequest,
    leaving, metrics,
    outgoing_request::OutgoingRequest,
    pool::SendError,
    pushback, rate_limits, reachability,
    request_body::RequestBody,
    response,
    response_body::{ResponseBody, StreamedFrom},
    state::State,
};
use crate::metered_stream::{MAX_HEAD_BYTES, MAX_RESPONSE_BYTES};

/// Responses up to this size are buffered completely before they are forwarded, so
/// that a truncated response can still be retried.
const RESPONSE_BUFFER_BYTES: usize = 64 << 10;
/// What a response holds that is forwarded while it arrives: its start, what is read at a time, and what the
/// socket has received.
pub(super) const STREAM_BYTES: usize =
    2 * RESPONSE_BUFFER_BYTES + MAX_HEAD_BYTES + RECEIVE_BUFFER_BYTES;
/// Bounds the body of a rejection, which is read so that its connection can be reused.
const MAX_REJECTION_BYTES: u64 = 16 << 10;
/// The retry of a rejected request waits for that body at most this long.
const REJECTION_TIMEOUT_MS: u64 = 50;

/// The result of one attempt.
pub(super) enum AttemptResult {
    /// The backend server's response, buffered or streaming.
    Response(Response<ResponseBody>),
    /// The backend server certainly did not execute the request.
    NotExecuted(NotExecuted),
    /// The request may have been executed, but there is no usable response.
    Unknown(&'static str),
}

/// Why a backend server did not execute a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotExecuted {
    /// No connection could be established.
    Unreachable,
    /// A new connection closed before the request was sent.
    ClosedBeforeSend,
    /// The server rejected the request.
    Rejected,
    /// The same, and it asked for a pause.
    PushedBack,
    /// Nothing was sent, since the server had asked for a pause or announced its leaving meanwhile.
    Withheld,
    /// The address now belongs to a different server.
    WrongServer,
}

impl NotExecuted {
    /// Returns whether the request has reached a server.
    pub(super) fn has_arrived(self) -> bool {
        match self {
            NotExecuted::Unreachable | NotExecuted::ClosedBeforeSend | NotExecuted::Withheld => {
                false
            }
            NotExecuted::Rejected | NotExecuted::PushedBack | NotExecuted::WrongServer => true,
        }
    }

    /// Returns the name used in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            NotExecuted::Unreachable => "unreachable",
            NotExecuted::ClosedBeforeSend => "closed",
            NotExecuted::Rejected => "rejected",
            NotExecuted::PushedBack => "pushed back",
            NotExecuted::Withheld => "withheld",
            NotExecuted::WrongServer => "another server",
        }
    }
}

/// Sends a request to the chosen backend server and reads its response.
///
/// Dropping the future closes the connection, which cancels the request at the server.
pub(super) async fn send(
    state: &Rc<State>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    log_entry: &mut AccessLogEntry,
) -> AttemptResult {
    let mut in_flight = InFlightRequest::new(state, choice, outgoing.remaining_ms());
    let sent_at = Instant::now();
    let mut pooled = state.pool.take(choice.handle, outgoing, state.now_ms());
    let head = loop {
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match state.pool.connect(choice.handle, choice.backend.addr).await {
                Ok(connection) => {
                    metrics::inc_by(&state.metrics.connects, 1);
                    connection
                }
                Err(_) => {
                    metrics::inc_by(&state.metrics.failed_connects, 1);
                    reachability::record_failure(state, choice);
                    in_flight.set_outcome(Outcome::Unreachable);
                    return AttemptResult::NotExecuted(NotExecuted::Unreachable);
                }
            },
        };
        let is_reused = connection.is_reused;
        let connection = in_flight.connection.insert(connection);
        if state.balancer.borrow().is_withheld(choice.handle, state.now_ms()) {
            metrics::inc_by(&state.metrics.withheld, 1);
            in_flight.release_connection();
            return AttemptResult::NotExecuted(NotExecuted::Withheld);
        }
        log_entry.record_connection(connection);
        let request = build_request(choice, outgoing);
        match connection.send(outgoing.id(), request).await {
            Ok(head) => {
                if !is_reused {
                    reachability::record_connection(state, choice);
                }
                break head;
            }
            // The server closed an idle connection and nothing was sent: open a new one.
            Err(SendError::NotSent) if is_reused => in_flight.connection = None,
            // A server that sends bytes before any request is there.
            Err(SendError::NotSent) if !connection.meter.has_broken() => {
                in_flight.set_outcome(Outcome::Failed);
                return AttemptResult::NotExecuted(NotExecuted::ClosedBeforeSend);
            }
            Err(SendError::NotSent) => {
                in_flight.set_outcome(Outcome::Unreachable);
                reachability::record_failure(state, choice);
                return AttemptResult::NotExecuted(NotExecuted::ClosedBeforeSend);
            }
            Err(SendError::ConnectionBroken) => {
                in_flight.set_outcome(Outcome::ResponseLost);
                reachability::record_failure(state, choice);
                crash_detection::record_broken(state, choice, outgoing.fingerprint());
                return AttemptResult::Unknown("connection broke");
            }
            Err(SendError::Malformed) => {
                in_flight.set_outcome(Outcome::Failed);
                return AttemptResult::Unknown("malformed answer");
            }
        }
    };
    let taken_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    read_response(state, choice, outgoing, in_flight, head, taken_ms).await
}

fn build_request(choice: &Choice, outgoing: &OutgoingRequest) -> Request<RequestBody> {
    let mut request = outgoing.to_request();
    if let Ok(id) = HeaderValue::from_str(choice.backend.id.as_str()) {
        request.headers_mut().insert(request::TARGET_BACKEND, id);
    }
    request
}

fn record_warmup(state: &State, choice: &Choice, headers: &HeaderMap) {
    let now_ms = state.now_ms();
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if let Some(remaining_ms) = text(request::WARMUP_MS).and_then(|text| text.parse().ok()) {
        state.balancer.borrow_mut().set_cold(choice.handle, remaining_ms, now_ms);
    }
}

async fn read_response(
    state: &Rc<State>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    mut in_flight: InFlightRequest,
    head: Response<Incoming>,
    taken_ms: u64,
) -> AttemptResult {
    let kind = response_kind(&head, outgoing);
    let unusable = match kind {
        ResponseKind::Foreign => Some("answer to another request"),
        ResponseKind::Unnamed => Some("answer without an ID"),
        ResponseKind::Invalid => Some("malformed answer"),
        ResponseKind::Misdirected | ResponseKind::Rejected | ResponseKind::Answer => None,
    };
    if matches!(kind, ResponseKind::Foreign | ResponseKind::Unnamed) {
        metrics::inc_by(&state.metrics.unmatched_responses, 1);
    }
    if let Some(cause) = unusable {
        in_flight.set_outcome(Outcome::Failed);
        return AttemptResult::Unknown(cause);
    }
    if kind == ResponseKind::Misdirected {
        crash_detection::record_end(state, choice.handle);
        state.balancer.borrow_mut().set_draining(choice.handle);
        return reject(in_flight, head, NotExecuted::WrongServer).await;
    }
    record_warmup(state, choice, head.headers());
    leaving::record_response(state, choice, head.headers());
    rate_limits::record_response(state, choice, &head, in_flight.sent_at_ms());
    let has_pushed_back = pushback::record_response(state, choice, head.status(), head.headers());
    if kind == ResponseKind::Rejected {
        let cause = if has_pushed_back { NotExecuted::PushedBack } else { NotExecuted::Rejected };
        return reject(in_flight, head, cause).await;
    }
    let (mut parts, mut incoming) = head.into_parts();
    let is_failure = parts.status.is_server_error();
    in_flight.set_remaining(MAX_RESPONSE_BYTES);
    let mut charge = outgoing.memory.charge(0);
    let Some(buffered) = buffer_body(&mut incoming, &mut charge).await else {
        in_flight.set_outcome(Outcome::Failed);
        if !in_flight.has_broken() {
            return AttemptResult::Unknown("malformed answer");
        }
        crash_detection::record_broken(state, choice, outgoing.fingerprint());
        return AttemptResult::Unknown("answer ended early");
    };
    in_flight.set_outcome(if is_failure {
        Outcome::Failed
    } else {
        Outcome::Succeeded { taken_ms }
    });
    parts.version = Version::HTTP_11;
    response::remove_hop_by_hop_headers(&mut parts.headers);
    response::remove_internal_headers(&mut parts.headers);
    if !is_complete(&incoming, &buffered) {
        let (request, choice) = (outgoing.fingerprint(), choice.clone());
        let from = StreamedFrom::Backend { in_flight, choice, request };
        charge.set(STREAM_BYTES);
        let mut body = ResponseBody::streaming(buffered, incoming, from, outgoing.deadline);
        body.hold(charge);
        return AttemptResult::Response(Response::from_parts(parts, body));
    }
    state.record_response(outgoing.fingerprint());
    in_flight.release_connection();
    // hyper sets the length of the buffered body. The response to a HEAD request has no
    // body and keeps the server's value.
    if outgoing.method != Method::HEAD {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let mut body = ResponseBody::buffered(buffered);
    body.hold(charge);
    AttemptResult::Response(Response::from_parts(parts, body))
}

/// Returns what a response is to a request.
pub(super) fn response_kind<T>(head: &Response<T>, outgoing: &OutgoingRequest) -> ResponseKind {
    let headers = head.headers();
    let mut ids = headers.get_all(request::REQUEST_ID).iter();
    let request_id = match (ids.next(), ids.next()) {
        (Some(id), None) => Some(id.as_bytes()),
        (None, _) | (Some(_), Some(_)) => None,
    };
    let head = ResponseHead {
        status: head.status().as_u16(),
        request_id,
        is_marked_not_executed: headers.contains_key(request::NOT_EXECUTED),
        is_signed: headers.contains_key(request::RESPONSE_SIGNATURE),
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
    };
    head.kind(outgoing.id())
}

/// Ends an attempt that the server did not execute.
async fn reject(
    mut in_flight: InFlightRequest,
    head: Response<Incoming>,
    cause: NotExecuted,
) -> AttemptResult {
    in_flight.set_outcome(match cause {
        NotExecuted::PushedBack => Outcome::PushedBack,
        _ => Outcome::Rejected,
    });
    in_flight.set_remaining(MAX_REJECTION_BYTES);
    let drained = drain(head.into_body());
    let timeout = Duration::from_millis(REJECTION_TIMEOUT_MS);
    if let Ok(Ok(())) = time::timeout(timeout, drained).await {
        in_flight.release_connection();
    }
    AttemptResult::NotExecuted(cause)
}

async fn drain(mut incoming: Incoming) -> hyper::Result<()> {
    while let Some(frame) = incoming.frame().await {
        frame?;
    }
    Ok(())
}

/// Reads a body, or the start of a long one, and charges it. Returns `None` if it ends early or is too long.
pub(super) async fn buffer_body(incoming: &mut Incoming, charge: &mut Charge) -> Option<Bytes> {
    if incoming.size_hint().lower() > MAX_RESPONSE_BYTES {
        return None;
    }
    let expected_bytes = incoming.size_hint().lower().min(RESPONSE_BUFFER_BYTES as u64);
    let mut buffered = BytesMut::with_capacity(expected_bytes as usize);
    while buffered.len() <= RESPONSE_BUFFER_BYTES {
        let Some(frame) = incoming.frame().await else { break };
        if let Ok(data) = frame.ok()?.into_data() {
            buffered.extend_from_slice(&data);
            charge.set(buffered.capacity());
        }
    }
    Some(buffered.freeze())
}

/// Returns whether [`buffer_body`] has read the whole body.
pub(super) fn is_complete(incoming: &Incoming, buffered: &Bytes) -> bool {
    incoming.is_end_stream() || buffered.len() <= RESPONSE_BUFFER_BYTES
}
