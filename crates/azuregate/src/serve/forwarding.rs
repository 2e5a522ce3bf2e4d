//! Forwards requests to another instance while this one reaches no backend server.
//!
//! Both ends are ours: headers of this module say what the other one needs.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::balance::{Member, ResponseKind};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderName, HeaderValue},
};

use super::{
    attempt, leaving,
    outgoing_request::OutgoingRequest,
    pool::{Connection, SendError},
    response::{self, RequestError},
    response_body::{ResponseBody, StreamedFrom},
    state::State,
};
use crate::metered_stream::MAX_RESPONSE_BYTES;

/// How many times the request may have been executed before it was forwarded.
pub(super) const EXECUTIONS: HeaderName = HeaderName::from_static("azuregate-executions");
/// Whether the request may be executed again, by the configuration of the instance that took it from
/// the client. Without it, it may not.
pub(super) const IDEMPOTENT: HeaderName = HeaderName::from_static("azuregate-idempotent");
/// The code of the error for which the receiving instance responds itself.
pub(super) const ERROR_CODE: HeaderName = HeaderName::from_static("azuregate-error");

/// The result of forwarding a request.
pub(super) enum ForwardResult {
    /// A backend server's response.
    Response(Response<ResponseBody>),
    /// The other instance refused the request. It was not executed.
    Refused {
        /// What to tell the client if no other instance takes it.
        response: Response<ResponseBody>,
        /// Whether another instance may be able to serve it.
        is_retriable: bool,
    },
    /// The request did not reach the other instance.
    NotSent,
    /// The request may have been executed, but there is no usable response.
    Unknown {
        /// How many times at most, those before it was forwarded included; `None` if not known.
        executions: Option<u32>,
    },
}

/// Forwards a request to `target`.
///
/// Dropping the future closes the connection, which cancels the request there.
pub(super) async fn send(
    state: &Rc<State>,
    target: &Member,
    outgoing: &OutgoingRequest,
    executions: u32,
) -> ForwardResult {
    let Some(addr) = target.forwarding_addr() else { return ForwardResult::NotSent };
    let mut pooled = state.instance_pool.take(addr, outgoing, state.now_ms());
    loop {
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => match state.instance_pool.connect(addr, addr).await {
                Ok(connection) => connection,
                Err(_) => return ForwardResult::NotSent,
            },
        };
        let mut request = outgoing.to_request();
        let is_idempotent = HeaderValue::from(u16::from(outgoing.is_idempotent));
        request.headers_mut().insert(EXECUTIONS, HeaderValue::from(executions));
        request.headers_mut().insert(IDEMPOTENT, is_idempotent);
        match connection.send(outgoing.id(), request).await {
            Ok(head) => return read_response(state, addr, connection, outgoing, head).await,
            // The other instance closed an idle connection.
            Err(SendError::NotSent) if connection.is_reused => {}
            Err(SendError::NotSent) => return ForwardResult::NotSent,
            Err(SendError::ConnectionBroken | SendError::Malformed) => {
                return ForwardResult::Unknown { executions: None };
            }
        }
    }
}

async fn read_response(
    state: &Rc<State>,
    addr: SocketAddr,
    connection: Connection,
    outgoing: &OutgoingRequest,
    mut head: Response<Incoming>,
) -> ForwardResult {
    leaving::take_run(state, head.headers_mut());
    if let Some(code) = head.headers().get(ERROR_CODE).cloned() {
        return refusal(head.status(), head.headers(), &code);
    }
    if attempt::response_kind(&head, outgoing) != ResponseKind::Answer {
        return ForwardResult::Unknown { executions: None };
    }
    let (mut parts, mut incoming) = head.into_parts();
    connection.meter.set_remaining(MAX_RESPONSE_BYTES);
    let mut charge = outgoing.memory.charge(0);
    let Some(buffered) = attempt::buffer_body(&mut incoming, &mut charge).await else {
        return ForwardResult::Unknown { executions: None };
    };
    response::remove_hop_by_hop_headers(&mut parts.headers);
    let mut body = match attempt::is_complete(&incoming, &buffered) {
        true => {
            state.instance_pool.put(addr, connection, state.now_ms());
            parts.headers.remove(header::CONTENT_LENGTH);
            ResponseBody::buffered(buffered)
        }
        false => {
            charge.set(attempt::STREAM_BYTES);
            let state = Rc::clone(state);
            let from = StreamedFrom::Instance { addr, connection, state };
            ResponseBody::streaming(buffered, incoming, from, outgoing.deadline)
        }
    };
    body.hold(charge);
    ForwardResult::Response(Response::from_parts(parts, body))
}

/// Returns what the other instance's own response says of the request.
fn refusal(status: StatusCode, headers: &HeaderMap, code: &HeaderValue) -> ForwardResult {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            ForwardResult::Unknown { executions: executions(headers) }
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let mut response = Response::new(ResponseBody::buffered(Default::default()));
            *response.status_mut() = status;
            if let Some(value) = headers.get(header::RETRY_AFTER) {
                response.headers_mut().insert(header::RETRY_AFTER, value.clone());
            }
            let is_full = [RequestError::NoCapacity, RequestError::RateLimited]
                .iter()
                .any(|error| error.code().as_bytes() == code.as_bytes());
            ForwardResult::Refused { response, is_retriable: !is_full }
        }
        // This instance accepted the request, so the other one has another configuration.
        _ => ForwardResult::Refused {
            response: RequestError::Unreachable.into_response(),
            is_retriable: true,
        },
    }
}

/// Removes what marks an error of an instance from the response of a backend server.
pub(super) fn remove_error_headers(headers: &mut HeaderMap) {
    headers.remove(ERROR_CODE);
    headers.remove(EXECUTIONS);
}

/// Takes from the headers of a forwarded request whether it may be executed again.
pub(super) fn take_idempotent(headers: &mut HeaderMap) -> bool {
    headers.remove(IDEMPOTENT).is_some_and(|value| value.as_bytes() == b"1")
}

/// Returns how many times a request may have been executed, as one end tells the other.
pub(super) fn executions(headers: &HeaderMap) -> Option<u32> {
    headers.get(EXECUTIONS)?.to_str().ok()?.parse().ok()
}
