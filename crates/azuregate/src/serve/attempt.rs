//! One request at one backend server.

use std::{rc::Rc, time::Instant};

use azuregate_core::balance::{Choice, Outcome};
use azuregate_platform::request;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    body::{Body, Incoming},
    header::{self, HeaderValue},
};

use super::{
    in_flight::InFlightRequest,
    pool::{self, Connection},
    response,
    response_body::{ResponseBody, StreamingBody},
    state::State,
};

/// Answers up to this size are read whole before the client gets the first byte,
/// so that one that breaks off can still be replaced.
const RESPONSE_BUFFER_BYTES: usize = 64 << 10;

/// A request as it goes to any backend server.
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) is_idempotent: bool,
}

/// How one attempt ended.
pub(super) enum AttemptResult {
    /// The backend server's own answer, complete or streaming.
    Response(Response<ResponseBody>),
    /// The request has certainly not run there.
    NotExecuted(NotExecuted),
    /// It may have run; there is no answer that can be used.
    Unknown(&'static str),
}

/// Why a request has not run at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotExecuted {
    /// No connection could be opened.
    Unreachable,
    /// A new connection was closed before the request was sent.
    ClosedBeforeSend,
    /// The server said so.
    Rejected,
    /// Another server has its address by now.
    WrongServer,
}

impl NotExecuted {
    /// The name for the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            NotExecuted::Unreachable => "unreachable",
            NotExecuted::ClosedBeforeSend => "closed",
            NotExecuted::Rejected => "rejected",
            NotExecuted::WrongServer => "another server",
        }
    }
}

/// Sends a request to the chosen server and reads its answer.
///
/// Dropping the future cancels the server's work.
pub(super) async fn send(
    state: &Rc<State>,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    remaining_ms: u64,
) -> AttemptResult {
    let mut in_flight = InFlightRequest::new(state, choice, remaining_ms);
    let sent_at = Instant::now();
    let is_non_idempotent = !outgoing.is_idempotent;
    let mut pooled = state.pool.take(choice.handle, is_non_idempotent, state.now_ms());
    let head = loop {
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match pool::connect(choice.backend.addr).await {
                Ok(connection) => connection,
                Err(_) => {
                    in_flight.set_outcome(Outcome::Unreachable);
                    return AttemptResult::NotExecuted(NotExecuted::Unreachable);
                }
            },
        };
        let is_reused = connection.is_reused;
        let connection = in_flight.connection.insert(connection);
        match send_on_connection(connection, choice, outgoing, remaining_ms).await {
            Ok(head) => break head,
            // An idle connection that the server closed: nothing was sent.
            Err(SendError::NotSent) if is_reused => in_flight.connection = None,
            Err(SendError::NotSent) => {
                in_flight.set_outcome(Outcome::Unreachable);
                return AttemptResult::NotExecuted(NotExecuted::ClosedBeforeSend);
            }
            Err(SendError::ConnectionBroken) => {
                in_flight.set_outcome(Outcome::AnswerLost);
                return AttemptResult::Unknown("connection broke");
            }
        }
    };
    let taken_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    apply_warmup_header(state, choice, head.headers());
    read_response(state, choice, outgoing, in_flight, head, taken_ms).await
}

enum SendError {
    NotSent,
    ConnectionBroken,
}

async fn send_on_connection(
    connection: &mut Connection,
    choice: &Choice,
    outgoing: &OutgoingRequest,
    remaining_ms: u64,
) -> Result<Response<Incoming>, SendError> {
    let request = build_request(choice, outgoing, remaining_ms);
    match connection.sender.try_send_request(request).await {
        Ok(head) => Ok(head),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::NotSent),
            None => Err(SendError::ConnectionBroken),
        },
    }
}

fn build_request(
    choice: &Choice,
    outgoing: &OutgoingRequest,
    remaining_ms: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = outgoing.headers.clone();
    let headers = request.headers_mut();
    headers.insert(request::DEADLINE_MS, HeaderValue::from(remaining_ms));
    if let Ok(id) = HeaderValue::from_str(choice.backend.id.as_str()) {
        headers.insert(request::EXPECTED_BACKEND, id);
    }
    request
}

fn apply_warmup_header(state: &State, choice: &Choice, headers: &HeaderMap) {
    let now_ms = state.now_ms();
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if let Some(remaining_ms) = text(request::COLD_MS).and_then(|text| text.parse().ok()) {
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
    let echoed_id = head.headers().get(request::REQUEST_ID);
    let sent_id = outgoing.headers.get(request::REQUEST_ID);
    let is_rejected = head.headers().contains_key(request::NOT_RUN)
        || head.status() == StatusCode::MISDIRECTED_REQUEST;
    // An answer to an earlier request on this connection, which came twice: ours
    // is still under way, and its answer cannot be told from what follows.
    if echoed_id.is_some() && echoed_id != sent_id {
        in_flight.set_outcome(Outcome::Failed);
        return AttemptResult::Unknown("answer to another request");
    }
    if is_rejected {
        let is_misdirected = head.status() == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected {
            state.balancer.borrow_mut().set_leaving(choice.handle);
        }
        in_flight.set_outcome(Outcome::Full);
        if head.into_body().collect().await.is_ok() {
            in_flight.release_connection();
        }
        return AttemptResult::NotExecuted(if is_misdirected {
            NotExecuted::WrongServer
        } else {
            NotExecuted::Rejected
        });
    }
    if head.status().is_success() && !is_valid_success(head.headers()) {
        in_flight.set_outcome(Outcome::Failed);
        return AttemptResult::Unknown("malformed answer");
    }
    let (mut parts, mut incoming) = head.into_parts();
    let is_failure = parts.status.is_server_error();
    let mut buffered = BytesMut::new();
    while buffered.len() <= RESPONSE_BUFFER_BYTES {
        let Some(frame) = incoming.frame().await else { break };
        let Ok(frame) = frame else {
            in_flight.set_outcome(Outcome::Failed);
            return AttemptResult::Unknown("answer ended early");
        };
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
    }
    in_flight.set_outcome(if is_failure {
        Outcome::Failed
    } else {
        Outcome::Answered { taken_ms }
    });
    parts.version = Version::HTTP_11;
    response::remove_hop_by_hop_headers(&mut parts.headers);
    response::remove_internal_headers(&mut parts.headers);
    let buffered = buffered.freeze();
    if !incoming.is_end_stream() && buffered.len() > RESPONSE_BUFFER_BYTES {
        let body = StreamingBody::new(buffered, incoming, in_flight);
        return AttemptResult::Response(Response::from_parts(
            parts,
            ResponseBody::Streaming(Box::new(body)),
        ));
    }
    in_flight.release_connection();
    // A body whose length the server did not tell has a length now.
    if outgoing.method != Method::HEAD {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    AttemptResult::Response(Response::from_parts(parts, ResponseBody::buffered(buffered)))
}

/// Clients take a success only with the server's signature and echo, and without
/// an encoding that they did not ask for.
fn is_valid_success(headers: &HeaderMap) -> bool {
    headers.contains_key(request::SIGNATURE)
        && headers.contains_key(request::REQUEST_ID)
        && !headers.contains_key(header::CONTENT_ENCODING)
}
