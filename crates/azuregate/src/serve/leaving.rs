//! Reads which backend servers announce that they are leaving, and reports them to other instances.

use azuregate_core::{
    balance::{BackendRun, Choice, LeavingReport},
    names::BackendId,
};
use azuregate_platform::request;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};

use super::state::State;

/// Names the run of a leaving server in the response to a forwarded request.
const LEAVING_RUN: HeaderName = HeaderName::from_static("azuregate-leaving");

/// Records whether a server's response says that it is leaving.
pub(super) fn record_response(state: &State, choice: &Choice, headers: &HeaderMap) {
    if !request::is_leaving(headers) {
        return;
    }
    let run = BackendRun::of(&choice.backend);
    if let Some(id) = state.balancer.borrow_mut().record_leaving(run, state.now_ms()) {
        log_leaving(&id, "response");
    }
    // Idle connections keep a server from ending.
    state.pool.close(choice.handle);
}

/// Records the servers that another instance reports.
pub(super) fn record_report(state: &State, report: &LeavingReport) {
    let news = state.balancer.borrow_mut().record_leaving_report(report, state.now_ms());
    news.iter().for_each(|id| log_leaving(id, "report"));
}

/// Adds to the response to a forwarded request that the server which it was sent to is leaving.
pub(super) fn add_run(headers: &mut HeaderMap, run: Option<BackendRun>) {
    // A server must not name another one.
    headers.remove(LEAVING_RUN);
    if let Some(BackendRun(run)) = run {
        headers.insert(LEAVING_RUN, HeaderValue::from(run));
    }
}

/// Takes from another instance's response to a forwarded request that its server is leaving.
pub(super) fn take_run(state: &State, headers: &mut HeaderMap) {
    let Some(value) = headers.remove(LEAVING_RUN) else { return };
    let run = value.to_str().ok().and_then(|text| text.parse().ok()).map(BackendRun);
    let id = run.and_then(|run| state.balancer.borrow_mut().record_leaving(run, state.now_ms()));
    id.iter().for_each(|id| log_leaving(id, "forwarded"));
}

fn log_leaving(id: &BackendId, source: &str) {
    log::info!(backend:% = id, source = source; "backend server is leaving");
}
