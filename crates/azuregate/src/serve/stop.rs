//! The planned stop.
//!
//! Clients keep the answer to a lookup for some time, and use open connections
//! until they learn that the instance has left. So it first leaves the lookups
//! and says in each answer that the connection closes, then closes what is idle,
//! then takes no more connections, and ends when nothing is in progress.

use std::{rc::Rc, time::Duration};

use tokio::{task::JoinHandle, time};

use super::{lookup::KEEP_MS, state::State, watch};

/// Time for the heartbeat that tells of the leave to reach all instances.
const LEAVE_MS: u64 = 600;
/// Time before the end of the grace period at which everything is cut off.
const MARGIN_MS: u64 = 400;
/// How often connections are counted while the last requests end.
const CHECK_EVERY_MS: u64 = 50;

/// Resolves when idle connections may be closed.
pub(super) async fn may_close_idle(state: &State) {
    state.stop.clone().wait().await;
    time::sleep(Duration::from_millis(KEEP_MS + LEAVE_MS)).await;
}

/// Resolves when no more connections need to be taken.
pub(super) async fn may_close_listener(state: &State) {
    may_close_idle(state).await;
    time::sleep(Duration::from_millis(LEAVE_MS)).await;
}

/// Waits for the stop, then for what is in progress.
pub(super) async fn finish(state: &Rc<State>, traffic: JoinHandle<()>) {
    state.stop.clone().wait().await;
    log::info!(connections = state.connections.get(); "planned stop");
    let deadline_ms = state.settings.bounds.grace_ms.saturating_sub(MARGIN_MS);
    let deadline = time::Instant::now() + Duration::from_millis(deadline_ms);
    let _ = time::timeout_at(deadline, watch::unregister(state)).await;
    let drained = async {
        let _ = traffic.await;
        while state.connections.get() > 0 {
            time::sleep(Duration::from_millis(CHECK_EVERY_MS)).await;
        }
    };
    if time::timeout_at(deadline, drained).await.is_err() {
        log::warn!(connections = state.connections.get(); "stop cuts off connections");
    }
}
