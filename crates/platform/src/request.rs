//! Headers and paths of requests, answers and lookups.

use std::net::SocketAddr;

use hyper::header::HeaderName;
use percent_encoding::percent_decode_str;
use serde::Serialize;

/// Names one attempt of a client; backend servers echo it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How many milliseconds the sender will wait.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Names the object that a request is about.
pub const AFFINITY_KEY: HeaderName = HeaderName::from_static("x-affinity-key");
/// Proof that a backend server made the response.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// The backend server that a request is meant for; any other rejects it.
pub const TARGET_BACKEND: HeaderName = HeaderName::from_static("x-target-instance");
/// Running and waiting requests and slots of the backend server that answers.
pub const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// Marks a response as a rejection: the backend server did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The backend server that answers.
pub const BACKEND_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// For how long the backend server that answers stays cold.
pub const WARMUP_MS: HeaderName = HeaderName::from_static("x-warmup-ms");

/// Where an instance says whether it takes requests.
pub const READINESS_PATH: &str = "/-/readyz";
/// Where clients ask which instances to use.
pub const LOOKUP_PATH: &str = "/-/resolve";

/// A client's question which instances to use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// The client's region, empty if it names none.
    pub region: String,
    /// The client's availability zone, empty if it names none.
    pub zone: String,
}

impl Lookup {
    /// Reads the question from the query of a URI; unknown fields are ignored.
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

/// Writes the response to a [`Lookup`] as JSON: the instances' addresses for
/// clients, and how long the response may be kept.
pub fn encode_lookup_response(addrs: &[SocketAddr], ttl_ms: u64) -> Vec<u8> {
    #[derive(Serialize)]
    struct LookupResponse<'a> {
        addresses: &'a [SocketAddr],
        #[serde(rename = "ttlS")]
        ttl_s: f64,
    }
    let response = LookupResponse { addresses: addrs, ttl_s: ttl_ms as f64 / 1_000.0 };
    serde_json::to_vec(&response).expect("addresses and a number are always JSON")
}

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can be at work at the same time.
    pub slots: u32,
}

impl LoadReport {
    /// Reads the value of [`BACKEND_LOAD`]; `None` if it is not three numbers.
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
