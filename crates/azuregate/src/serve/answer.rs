//! Answers that the instance makes itself, and headers that pass through.

use azuregate_core::balance::RetryReason;
use azuregate_platform::request;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderName},
};

use super::streaming::Answer;

/// Why the instance answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// No configuration or no list of backend servers yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// No route matches by what was known when contact with the store was lost; it
    /// has not run.
    OutOfContact,
    /// The request is malformed.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The client's body ended early or took too long.
    BodyBroken,
    /// No backend server has room; the request has not run.
    NoRoom,
    /// Every backend server that was asked rejected it; it has not run.
    Rejected,
    /// The time was over before an answer came.
    TimedOut,
    /// The answer was lost or cannot be used; the request may have run.
    AnswerLost,
}

impl Refusal {
    /// The refusal's name in logs and metrics.
    pub(super) fn code(self) -> &'static str {
        match self {
            Refusal::NotReady => "not-ready",
            Refusal::NoRoute => "no-route",
            Refusal::OutOfContact => "out-of-contact",
            Refusal::BadRequest => "bad-request",
            Refusal::BodyTooLong => "body-too-long",
            Refusal::BodyBroken => "body-broken",
            Refusal::NoRoom => "no-room",
            Refusal::Rejected => "rejected",
            Refusal::TimedOut => "timed-out",
            Refusal::AnswerLost => "answer-lost",
        }
    }

    /// Why the request was not served, if it has certainly not run and may be sent
    /// again.
    fn not_served(self) -> Option<RetryReason> {
        match self {
            Refusal::NotReady | Refusal::OutOfContact => Some(RetryReason::StaleState),
            Refusal::NoRoom | Refusal::Rejected => Some(RetryReason::NoCapacity),
            _ => None,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::NotReady | Refusal::OutOfContact | Refusal::NoRoom | Refusal::Rejected => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::BadRequest | Refusal::BodyBroken => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer; it tells clients when to come back if the request has not run.
    pub(super) fn answer(self) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(Bytes::new()));
        *response.status_mut() = self.status();
        if let Some(not_served) = self.not_served() {
            let retry_after_ms = fastrand::u64(not_served.retry_after_ms());
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            let value = seconds.parse().expect("a number is a valid header value");
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// A plain answer with a short body.
pub(super) fn plain(
    status: StatusCode,
    content_type: &'static str,
    text: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Removes the headers that concern one connection only.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes what a backend server tells only us.
pub(super) fn remove_internal(headers: &mut HeaderMap) {
    for name in
        [request::BACKEND_LOAD, request::BACKEND_ID, request::WARMUP_MS, request::NOT_EXECUTED]
    {
        headers.remove(name);
    }
}
