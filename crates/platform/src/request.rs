//! Headers and paths of requests, responses and instance lookups.

use std::net::SocketAddr;

use hyper::{HeaderMap, header::HeaderName};
use percent_encoding::percent_decode_str;
use serde::Serialize;

/// Identifies one attempt of a client; backend servers echo it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time until the sender gives up, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identifies the object that a request concerns.
pub const AFFINITY_KEY: HeaderName = HeaderName::from_static("x-affinity-key");
/// Signature by which clients verify that a backend server sent the response.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// The backend server that a request is addressed to; any other rejects it.
pub const TARGET_BACKEND: HeaderName = HeaderName::from_static("x-target-instance");
/// Load of the responding backend server, in the form that [`LoadReport`] parses.
pub const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// Marks a response whose request the backend server did not execute.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The backend server that responds.
pub const BACKEND_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// Remaining warm-up time of the responding backend server, in milliseconds.
pub const WARMUP_MS: HeaderName = HeaderName::from_static("x-warmup-ms");
/// Rate limit of the responding backend server, in the form that [`parse_rate_limit`] parses.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Marks the responses of a backend server that is leaving.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Path of the readiness probe.
pub const READINESS_PATH: &str = "/-/readyz";
/// Path at which clients look up instances.
pub const LOOKUP_PATH: &str = "/-/resolve";

/// A client's request for the instances that it should use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// The client's region, empty if unspecified.
    pub region: String,
    /// The client's availability zone, empty if unspecified.
    pub zone: String,
}

impl Lookup {
    /// Parses the query of a URI; unknown parameters are ignored.
    pub fn parse(query: &str) -> Lookup {
        let mut lookup = Lookup::default();
        for pair in query.split('&') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
            match name {
                "region" => lookup.region = value,
                "zone" => lookup.zone = value,
                _ => {}
            }
        }
        lookup
    }
}

/// Encodes the response to a [`Lookup`] as JSON: the addresses of instances and
/// the time for which clients may cache them.
pub fn encode_lookup_response(addrs: &[SocketAddr], ttl_ms: u64) -> Vec<u8> {
    #[derive(Serialize)]
    struct LookupResponse<'a> {
        addresses: &'a [SocketAddr],
        #[serde(rename = "ttlS")]
        ttl_s: f64,
    }
    let response = LookupResponse { addresses: addrs, ttl_s: ttl_ms as f64 / 1_000.0 };
    serde_json::to_vec(&response).expect("addresses and numbers always serialize to JSON")
}

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Maximum number of requests in progress.
    pub slots: u32,
}

impl LoadReport {
    /// Parses the value of [`BACKEND_LOAD`]: three numbers separated by commas.
    /// Returns `None` for anything else.
    pub fn parse(text: &str) -> Option<LoadReport> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let report = LoadReport {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        };
        numbers.next().is_none().then_some(report)
    }
}

/// Parses the value of [`RATE_LIMIT`]: the requests per second that the server accepts from all
/// instances together. Returns `None` for anything but a finite number that is not negative.
pub fn parse_rate_limit(text: &str) -> Option<f64> {
    let limit_per_s: f64 = text.trim().parse().ok()?;
    (limit_per_s.is_finite() && limit_per_s >= 0.0).then_some(limit_per_s)
}

/// Parses the value of `Retry-After` in a backend server's 503: the seconds for which it wants no
/// requests from this instance. Returns them in milliseconds, rounded up, or `None` for anything but
/// a finite number that is not negative.
pub fn parse_retry_after(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}

/// Returns whether the headers of a backend server's response say that it is leaving.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get_all(SERVER_LEAVING).iter().any(|value| value.as_bytes() == b"1")
}
