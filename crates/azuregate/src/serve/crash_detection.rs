//! Detects crashes of backend servers, and reports the requests that were in flight there.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use azuregate_core::balance::{BackendHandle, BackendRun, Choice, CrashReport, Fingerprint};
use tokio::{task::spawn_local, time};

use super::{
    broken_requests::BrokenAt,
    metrics,
    probe::{self, Probe},
    reachability,
    state::State,
};

/// Time after a broken connection until the server is examined: the other connections to a
/// crashed server break meanwhile, and its process ends.
const SETTLING_MS: u64 = 50;
/// How long requests are remembered after the server was found alive. Until then it may turn
/// out that another run has taken its place.
const REMEMBERED_MS: u64 = 5_000;

/// Records that the connection broke while `request` was in flight at a server, and examines
/// the server.
pub(super) fn record_broken(state: &Rc<State>, choice: &Choice, request: Fingerprint) {
    let now_ms = state.now_ms();
    let mut all_broken = state.broken_requests.borrow_mut();
    all_broken.retain(|handle, broken| {
        let is_outdated = *handle == choice.handle || broken.first_at_ms + REMEMBERED_MS < now_ms;
        !(broken.was_alive && is_outdated)
    });
    let broken = all_broken.entry(choice.handle).or_insert_with(|| {
        spawn_local(examine(Rc::clone(state), choice.handle, choice.backend.addr));
        BrokenAt {
            backend: Arc::clone(&choice.backend),
            requests: Vec::new(),
            first_at_ms: now_ms,
            was_alive: false,
        }
    });
    broken.requests.push(request);
}

/// Records a crash if the server does not serve any more.
async fn examine(state: Rc<State>, handle: BackendHandle, addr: SocketAddr) {
    time::sleep(Duration::from_millis(SETTLING_MS)).await;
    let has_ended = has_ended(&state, handle, addr).await;
    // While no server can be reached, the links may have broken and not the server.
    let has_ended = has_ended
        && (is_only_server(&state, handle)
            || links_are_up(&state, handle).await && self::has_ended(&state, handle, addr).await);
    if has_ended {
        record_end(&state, handle);
    } else if let Some(broken) = state.broken_requests.borrow_mut().get_mut(&handle) {
        broken.was_alive = true;
    }
}

async fn has_ended(state: &State, handle: BackendHandle, addr: SocketAddr) -> bool {
    !state.pool.has_open(handle)
        && matches!(probe::probe(state, handle, addr).await, Probe::Refused | Probe::Closed)
}

fn is_only_server(state: &State, handle: BackendHandle) -> bool {
    let balancer = state.balancer.borrow();
    balancer.backend(handle).is_none_or(|backend| balancer.servers(&backend.service) < 2)
}

/// Waits until another server of the service can be reached, and returns whether that happened
/// while the requests are remembered.
async fn links_are_up(state: &Rc<State>, handle: BackendHandle) -> bool {
    let Some(backend) = state.balancer.borrow().backend(handle) else { return true };
    let links_are_up = reachability::wait_until_reachable(state, &backend.service);
    time::timeout(Duration::from_millis(REMEMBERED_MS), links_are_up).await.is_ok()
}

/// Records a crash if requests broke at a server lately. To be called when the run of the server
/// has ended.
pub(super) fn record_end(state: &State, handle: BackendHandle) {
    let Some(broken) = state.broken_requests.borrow_mut().remove(&handle) else { return };
    let registered = state.balancer.borrow().backend(handle);
    // A server that drains, has left the store or has announced its leaving ends on purpose.
    let is_leaving = registered.is_none_or(|backend| backend.is_draining)
        || state.balancer.borrow().is_leaving(handle, state.now_ms());
    if is_leaving || broken.first_at_ms + REMEMBERED_MS < state.now_ms() {
        return;
    }
    metrics::inc_by(&state.metrics.backend_crashes, 1);
    let in_flight: Vec<String> = broken.requests.iter().map(Fingerprint::to_string).collect();
    log::warn!(backend:% = broken.backend.id, in_flight = in_flight.join(","); "backend server crashed");
    let run = BackendRun::of(&broken.backend);
    let added = {
        let mut quarantine = state.quarantine.borrow_mut();
        quarantine.record_crash(run, &broken.requests, broken.first_at_ms)
    };
    log_quarantined(&added);
}

/// Records the crashes that another instance reports.
pub(super) fn record_report(state: &State, report: &CrashReport) {
    let added = state.quarantine.borrow_mut().record_report(report, state.now_ms());
    log_quarantined(&added);
}

fn log_quarantined(requests: &[Fingerprint]) {
    for request in requests {
        log::warn!(fingerprint:% = request; "request quarantined");
    }
}
