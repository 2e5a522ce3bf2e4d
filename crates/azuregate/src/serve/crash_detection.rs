//! Detects crashes of backend servers, and reports the requests that were in flight there.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use azuregate_core::balance::{BackendHandle, BackendRun, Choice, CrashReport, Fingerprint};
use tokio::{task::spawn_local, time};

use super::{metrics, pool::Connection, state::State};

/// Time after a broken connection until the server is examined: the other connections to a
/// crashed server break meanwhile, and its process ends.
const SETTLING_MS: u64 = 50;
/// How long a new connection must stay open to show that the server is alive. A proxy in
/// front of a crashed server accepts connections and closes them.
const MIN_OPEN_MS: u64 = 100;

/// The requests whose connections broke, by server, until it is known whether the server
/// crashed.
pub(super) type BrokenRequests = RefCell<HashMap<BackendHandle, BrokenAt>>;

/// The requests whose connections to one server broke.
pub(super) struct BrokenAt {
    requests: Vec<Fingerprint>,
    first_at_ms: u64,
}

/// Records that the connection broke while `request` was in flight at a server, and examines
/// the server.
pub(super) fn record_broken(state: &Rc<State>, choice: &Choice, request: Fingerprint) {
    let mut broken = state.broken_requests.borrow_mut();
    let broken = broken.entry(choice.handle).or_insert_with(|| {
        spawn_local(examine(Rc::clone(state), choice.clone()));
        BrokenAt { requests: Vec::new(), first_at_ms: state.now_ms() }
    });
    broken.requests.push(request);
}

/// Records a crash if the server does not serve any more, although it was not draining.
async fn examine(state: Rc<State>, choice: Choice) {
    time::sleep(Duration::from_millis(SETTLING_MS)).await;
    let is_alive = state.pool.has_open(choice.handle)
        || accepts_connections(&state, choice.handle, choice.backend.addr).await;
    let Some(broken) = state.broken_requests.borrow_mut().remove(&choice.handle) else { return };
    let registered = state.balancer.borrow().backend(choice.handle);
    // A server that drains or has left the store ends on purpose.
    let is_leaving = registered.is_none_or(|backend| backend.is_draining);
    if is_alive || is_leaving {
        return;
    }
    metrics::inc_by(&state.metrics.backend_crashes, 1);
    let in_flight: Vec<String> = broken.requests.iter().map(Fingerprint::to_string).collect();
    log::warn!(backend:% = choice.backend.id, in_flight = in_flight.join(","); "backend server crashed");
    let run = BackendRun::of(&choice.backend);
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

/// Returns whether a server accepts a connection and keeps it open. If the connection cannot
/// be established in time, the server counts as alive: the network may be cut.
async fn accepts_connections(state: &State, handle: BackendHandle, addr: SocketAddr) -> bool {
    match state.pool.connect(handle, addr).await {
        Ok(connection) => stays_open(state, handle, connection).await,
        Err(e) => e.kind() == io::ErrorKind::TimedOut,
    }
}

async fn stays_open(state: &State, handle: BackendHandle, connection: Connection) -> bool {
    time::sleep(Duration::from_millis(MIN_OPEN_MS)).await;
    let is_open = !connection.sender.is_closed();
    state.pool.put(handle, connection, state.now_ms());
    is_open
}
