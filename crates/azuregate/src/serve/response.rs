//! Locally generated responses, and filtering of forwarded headers.

use azuregate_core::balance::{RetryReason, retry_after_pause_ms};
use azuregate_platform::request;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderName},
};

use super::response_body::ResponseBody;

/// Why the instance responds to a request itself instead of forwarding a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestError {
    /// The configuration or the list of backend servers is not loaded yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// No route matches, but contact with the store is lost and the configuration may
    /// be outdated; the request was not executed.
    StoreContactLost,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// Clients hold all the memory that they may; the request was not executed.
    NoMemory,
    /// The client's body could not be read completely.
    BodyIncomplete,
    /// No backend server has capacity; the request was not executed.
    NoCapacity,
    /// The rate limits of all backend servers that may serve it are used up; it was not executed.
    RateLimited,
    /// All backend servers that may serve it have asked for a pause; it was not executed.
    PushedBack {
        /// Time until the first of them may get a request.
        pause_ms: u64,
    },
    /// This instance reaches no backend server, and no other instance takes the request; it was
    /// not executed.
    Unreachable,
    /// Every attempted backend server rejected the request; it was not executed.
    Rejected,
    /// The request crashed the backend servers that executed it before; it was not executed
    /// this time.
    Quarantined {
        /// Time until it may be tried again.
        retry_after_ms: u64,
    },
    /// The instance is stopping, and the request cannot end before it does; it was not executed.
    Stopping,
    /// The deadline passed before a response arrived.
    TimedOut,
    /// The response was lost or is invalid; the request may have been executed.
    ResponseLost,
}

impl RequestError {
    /// Returns the error code used in logs and metrics.
    pub(super) fn code(self) -> &'static str {
        match self {
            RequestError::NotReady => "not-ready",
            RequestError::NoRoute => "no-route",
            RequestError::StoreContactLost => "out-of-contact",
            RequestError::BadRequest => "bad-request",
            RequestError::BodyTooLarge => "body-too-long",
            RequestError::BodyIncomplete => "body-broken",
            RequestError::NoMemory => "no-memory",
            RequestError::NoCapacity => "no-room",
            RequestError::RateLimited => "rate-limited",
            RequestError::PushedBack { .. } => "pushed-back",
            RequestError::Unreachable => "unreachable",
            RequestError::Rejected => "rejected",
            RequestError::Quarantined { .. } => "quarantined",
            RequestError::Stopping => "stopping",
            RequestError::TimedOut => "timed-out",
            RequestError::ResponseLost => "answer-lost",
        }
    }

    /// Returns when the client may retry the request, if it was certainly not executed.
    fn retry_after_ms(self) -> Option<u64> {
        match self {
            RequestError::NotReady | RequestError::StoreContactLost => {
                Some(fastrand::u64(RetryReason::StaleState.retry_after_ms()))
            }
            RequestError::NoCapacity | RequestError::Unreachable | RequestError::Rejected => {
                Some(fastrand::u64(RetryReason::NoCapacity.retry_after_ms()))
            }
            RequestError::NoMemory => Some(fastrand::u64(RetryReason::NoMemory.retry_after_ms())),
            RequestError::RateLimited => {
                Some(fastrand::u64(RetryReason::RateLimited.retry_after_ms()))
            }
            RequestError::PushedBack { pause_ms } => {
                Some(fastrand::u64(retry_after_pause_ms(pause_ms)))
            }
            RequestError::Quarantined { retry_after_ms } => Some(retry_after_ms),
            RequestError::Stopping => Some(fastrand::u64(RetryReason::Stopping.retry_after_ms())),
            _ => None,
        }
    }

    /// Returns the status of the response to the client.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::NotReady
            | RequestError::StoreContactLost
            | RequestError::NoCapacity
            | RequestError::NoMemory
            | RequestError::RateLimited
            | RequestError::PushedBack { .. }
            | RequestError::Unreachable
            | RequestError::Rejected
            | RequestError::Quarantined { .. }
            | RequestError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::NoRoute => StatusCode::NOT_FOUND,
            RequestError::BadRequest | RequestError::BodyIncomplete => StatusCode::BAD_REQUEST,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            RequestError::ResponseLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether it promises that the request was not executed and never will be.
    pub(super) fn is_refusal(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Converts the error into a response, with a `Retry-After` header if the request
    /// was not executed.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
        *response.status_mut() = self.status();
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            let value = seconds.parse().expect("a number is a valid header value");
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Returns a response with a complete body.
pub(super) fn full_response(
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

/// Hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes the headers used only between entry instances and backend servers.
pub(super) fn remove_internal_headers(headers: &mut HeaderMap) {
    for name in
        [request::BACKEND_LOAD, request::BACKEND_ID, request::WARMUP_MS, request::NOT_EXECUTED]
    {
        headers.remove(name);
    }
}
