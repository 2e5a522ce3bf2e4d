//! Reads the pauses that backend servers ask for.

use azuregate_core::balance::{BackendRun, Choice};
use azuregate_platform::request;
use hyper::{
    HeaderMap, StatusCode,
    header::{self, HeaderValue},
};

use super::{metrics, state::State};

/// Records the pause that a server's response asks for; returns whether it asks for one.
///
/// Of several values the longest counts. Only a 503 asks for a pause: with other statuses,
/// `Retry-After` is meant for the client.
pub(super) fn record_response(
    state: &State,
    choice: &Choice,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return false;
    }
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let Some(pause_ms) = values.filter_map(|value| parse(choice, value)).max() else {
        return false;
    };
    if pause_ms == 0 {
        return false;
    }
    metrics::inc_by(&state.metrics.pushbacks, 1);
    let run = BackendRun::of(&choice.backend);
    state.balancer.borrow_mut().record_pushback(run, pause_ms, state.now_ms());
    log::info!(backend:% = choice.backend.id, pause_ms = pause_ms; "backend server pushed back");
    true
}

fn parse(choice: &Choice, value: &HeaderValue) -> Option<u64> {
    let pause_ms = value.to_str().ok().and_then(request::parse_retry_after);
    if pause_ms.is_none() {
        log::warn!(backend:% = choice.backend.id, value:? = value; "invalid pause ignored");
    }
    pause_ms
}
