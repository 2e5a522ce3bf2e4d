//! Headers of requests and responses that pass through the gateway.

use azuregate_core::{route::LoadReport, time::Millis};
use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

use crate::gateway::request::HOME_HOP;

/// Set by a backend server that refused a request without running it.
const BACKEND_OUTCOME: &str = "backend-outcome";
/// The value of [`BACKEND_OUTCOME`] for a refusal.
const NOT_RUN: &str = "not-run";
/// A backend server's requests in progress and its slots, as `2/3`.
const BACKEND_LOAD: &str = "backend-load";

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns whether the backend server stated that it did not run the request.
pub(crate) fn is_refusal(headers: &HeaderMap) -> bool {
    let outcome = headers.get(BACKEND_OUTCOME);
    outcome.is_some_and(|outcome| outcome.as_bytes() == NOT_RUN.as_bytes())
}

/// Parses the load that a backend server reported.
pub(crate) fn load_report(headers: &HeaderMap, at_ms: Millis) -> Option<LoadReport> {
    let (in_use, slots) = headers.get(BACKEND_LOAD)?.to_str().ok()?.split_once('/')?;
    Some(LoadReport { in_use: in_use.parse().ok()?, slots: slots.parse().ok()?, at_ms })
}

/// Returns whether the connection closes after this response.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option == "close")
}

/// Returns the headers to forward.
pub(crate) fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in connection_options(headers) {
        kept.remove(name.as_str());
    }
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    kept.remove(HOME_HOP);
    kept
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
}
