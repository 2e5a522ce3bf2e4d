//! Reads the pauses that backend servers ask for.

use std::time::Instant;

use azuregate_core::balance::Choice;
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
    state.balancer.borrow_mut().record_pushback(choice.handle, pause_ms, state.now_ms());
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

/// Records a request that is about to be sent to a server that was chosen at `chosen_at`.
pub(super) fn record_send(state: &State, choice: &Choice, headers: &HeaderMap, chosen_at: Instant) {
    let Some(pause_ms) = state.balancer.borrow().pause_ms(choice.handle, state.now_ms()) else {
        return;
    };
    metrics::inc_by(&state.metrics.requests_during_pauses, 1);
    let id = headers.get(request::REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
    let waited_ms = u64::try_from(chosen_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    log::warn!(id = id, backend:% = choice.backend.id, run:? = choice.backend.start_epoch_ms, pause_ms = pause_ms, waited_ms = waited_ms; "request sent during a pause");
}
