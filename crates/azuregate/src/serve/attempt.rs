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
    answer,
    in_flight::InFlight,
    pool::{self, Connection},
    state::State,
    streaming::{Answer, Streaming},
};

/// Answers up to this size are read whole before the client gets the first byte,
/// so that one that breaks off can still be replaced.
const WHOLE_ANSWER_BYTES: usize = 64 << 10;

/// A request as it goes to any backend server.
pub(super) struct Outgoing {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) is_idempotent: bool,
}

/// How one attempt ended.
pub(super) enum Ended {
    /// The backend server's own answer, complete or streaming.
    Answer(Response<Answer>),
    /// The request has certainly not run there.
    NotRun(NotRun),
    /// It may have run; there is no answer that can be used.
    Unknown(&'static str),
}

/// Why a request has not run at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// A new connection was closed before the request was sent.
    Closed,
    /// The server said so.
    Rejected,
    /// Another server has its address by now.
    AnotherServer,
}

impl NotRun {
    /// The name for the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            NotRun::Unreachable => "unreachable",
            NotRun::Closed => "closed",
            NotRun::Rejected => "rejected",
            NotRun::AnotherServer => "another server",
        }
    }
}

/// Sends a request to the chosen server and reads its answer.
///
/// Dropping the future cancels the server's work.
pub(super) async fn send(
    state: &Rc<State>,
    choice: &Choice,
    outgoing: &Outgoing,
    left_ms: u64,
) -> Ended {
    let mut in_flight = InFlight::new(state, choice, left_ms);
    let sent_at = Instant::now();
    let must_be_fresh = !outgoing.is_idempotent;
    let mut pooled = state.pool.take(choice.handle, must_be_fresh, state.now_ms());
    let head = loop {
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match pool::connect(choice.backend.addr).await {
                Ok(connection) => connection,
                Err(_) => {
                    in_flight.set_outcome(Outcome::Unreachable);
                    return Ended::NotRun(NotRun::Unreachable);
                }
            },
        };
        let is_reused = connection.is_reused;
        let connection = in_flight.connection.insert(connection);
        match send_on(connection, choice, outgoing, left_ms).await {
            Ok(head) => break head,
            // An idle connection that the server closed: nothing was sent.
            Err(SendError::Unsent) if is_reused => in_flight.connection = None,
            Err(SendError::Unsent) => {
                in_flight.set_outcome(Outcome::Unreachable);
                return Ended::NotRun(NotRun::Closed);
            }
            Err(SendError::Broken) => {
                in_flight.set_outcome(Outcome::ResponseLost);
                return Ended::Unknown("connection broke");
            }
        }
    };
    let taken_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    take_reports(state, choice, head.headers());
    read_answer(state, choice, outgoing, in_flight, head, taken_ms).await
}

enum SendError {
    Unsent,
    Broken,
}

async fn send_on(
    connection: &mut Connection,
    choice: &Choice,
    outgoing: &Outgoing,
    left_ms: u64,
) -> Result<Response<Incoming>, SendError> {
    let request = build(choice, outgoing, left_ms);
    match connection.sender.try_send_request(request).await {
        Ok(head) => Ok(head),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::Unsent),
            None => Err(SendError::Broken),
        },
    }
}

fn build(choice: &Choice, outgoing: &Outgoing, left_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = outgoing.headers.clone();
    let headers = request.headers_mut();
    headers.insert(request::DEADLINE_MS, HeaderValue::from(left_ms));
    if let Ok(id) = HeaderValue::from_str(choice.backend.id.as_str()) {
        headers.insert(request::TARGET_BACKEND, id);
    }
    request
}

fn take_reports(state: &State, choice: &Choice, headers: &HeaderMap) {
    let now_ms = state.now_ms();
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if let Some(left_ms) = text(request::WARMUP_MS).and_then(|text| text.parse().ok()) {
        state.balancer.borrow_mut().set_cold(choice.handle, left_ms, now_ms);
    }
}

async fn read_answer(
    state: &Rc<State>,
    choice: &Choice,
    outgoing: &Outgoing,
    mut in_flight: InFlight,
    head: Response<Incoming>,
    taken_ms: u64,
) -> Ended {
    let echoed = head.headers().get(request::REQUEST_ID);
    let sent = outgoing.headers.get(request::REQUEST_ID);
    let is_rejection = head.headers().contains_key(request::NOT_EXECUTED)
        || head.status() == StatusCode::MISDIRECTED_REQUEST;
    // An answer to an earlier request on this connection, which came twice: ours
    // is still under way, and its answer cannot be told from what follows.
    if echoed.is_some() && echoed != sent {
        in_flight.set_outcome(Outcome::Failed);
        return Ended::Unknown("answer to another request");
    }
    if is_rejection {
        let is_other = head.status() == StatusCode::MISDIRECTED_REQUEST;
        if is_other {
            state.balancer.borrow_mut().set_draining(choice.handle);
        }
        in_flight.set_outcome(Outcome::Rejected);
        if head.into_body().collect().await.is_ok() {
            in_flight.keep_connection();
        }
        return Ended::NotRun(if is_other { NotRun::AnotherServer } else { NotRun::Rejected });
    }
    if head.status().is_success() && !is_usable_success(head.headers()) {
        in_flight.set_outcome(Outcome::Failed);
        return Ended::Unknown("malformed answer");
    }
    let (mut parts, mut incoming) = head.into_parts();
    let is_failure = parts.status.is_server_error();
    let mut collected = BytesMut::new();
    while collected.len() <= WHOLE_ANSWER_BYTES {
        let Some(frame) = incoming.frame().await else { break };
        let Ok(frame) = frame else {
            in_flight.set_outcome(Outcome::Failed);
            return Ended::Unknown("answer ended early");
        };
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
    }
    in_flight.set_outcome(if is_failure {
        Outcome::Failed
    } else {
        Outcome::Succeeded { taken_ms }
    });
    parts.version = Version::HTTP_11;
    answer::remove_hop_by_hop(&mut parts.headers);
    answer::remove_internal(&mut parts.headers);
    let collected = collected.freeze();
    if !incoming.is_end_stream() && collected.len() > WHOLE_ANSWER_BYTES {
        let rest = Streaming::new(collected, incoming, in_flight);
        return Ended::Answer(Response::from_parts(parts, Answer::Streaming(Box::new(rest))));
    }
    in_flight.keep_connection();
    // A body whose length the server did not tell has a length now.
    if outgoing.method != Method::HEAD {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    Ended::Answer(Response::from_parts(parts, Answer::whole(collected)))
}

/// Clients take a success only with the server's signature and echo, and without
/// an encoding that they did not ask for.
fn is_usable_success(headers: &HeaderMap) -> bool {
    headers.contains_key(request::RESPONSE_SIGNATURE)
        && headers.contains_key(request::REQUEST_ID)
        && !headers.contains_key(header::CONTENT_ENCODING)
}
