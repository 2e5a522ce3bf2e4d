//! Reads the rate limits that backend servers name, and reports them to other instances.

use azuregate_core::balance::{
    BackendRun, Choice, RateLimitChange, RateLimitObservation, RateLimitReport,
};
use azuregate_platform::request;
use hyper::{HeaderMap, Response, body::Incoming};

use super::{metrics, state::State};

/// Records what a server's response to a request sent at `sent_at_ms` says of its rate limit.
pub(super) fn record_response(
    state: &State,
    choice: &Choice,
    head: &Response<Incoming>,
    sent_at_ms: u64,
) {
    let now_ms = state.now_ms();
    let Some(limit_per_s) = named_limit(choice, head.headers()) else { return };
    let observation = RateLimitObservation { limit_per_s, sent_at_ms, received_at_ms: now_ms };
    let members = state.members.borrow();
    let change =
        state.balancer.borrow_mut().record_rate_limit(choice.handle, observation, &members, now_ms);
    log_changes(change.as_slice(), "response");
}

/// Records the limits that another instance reports.
pub(super) fn record_report(state: &State, report: &RateLimitReport) {
    let now_ms = state.now_ms();
    let members = state.members.borrow();
    let changes = state.balancer.borrow_mut().record_rate_limit_report(report, &members, now_ms);
    log_changes(&changes, "report");
}

/// Takes a request from this instance's part of a limit on behalf of another instance; returns
/// whether there was one.
pub(super) fn grant(state: &State, run: BackendRun) -> bool {
    let is_granted = state.balancer.borrow_mut().grant(run, state.now_ms());
    metrics::inc_by(&state.metrics.grants, u64::from(is_granted));
    is_granted
}

/// Returns the limit that a response names, `Some(None)` if it names none, or `None` if it says
/// nothing of the limit.
fn named_limit(choice: &Choice, headers: &HeaderMap) -> Option<Option<f64>> {
    let Some(value) = headers.get(request::RATE_LIMIT) else {
        // A rejection, or a response that something before the server made, need not name it.
        return headers.contains_key(request::RESPONSE_SIGNATURE).then_some(None);
    };
    let limit_per_s = value.to_str().ok().and_then(request::parse_rate_limit);
    if limit_per_s.is_none() {
        log::warn!(backend:% = choice.backend.id, value:? = value; "invalid rate limit ignored");
    }
    limit_per_s.map(Some)
}

fn log_changes(changes: &[RateLimitChange], source: &str) {
    for RateLimitChange { backend, limit_per_s, part_per_s } in changes {
        let limit = limit_per_s.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        let part = format!("{part_per_s:.2}");
        log::info!(backend:% = backend, limit_per_s = limit, part_per_s = part, source = source; "backend server rate limit changed");
    }
}
