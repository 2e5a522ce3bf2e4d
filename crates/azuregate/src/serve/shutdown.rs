//! The planned stop.
//!
//! Clients keep the answer to a lookup for some time, and use open connections
//! until they learn that the instance has left. So it first leaves the lookups
//! and says in each answer that the connection closes, then closes what is idle,
//! then takes no more connections, and ends when nothing is in progress.

use std::{rc::Rc, time::Duration};

use tokio::{sync::watch, time};

use super::{endpoints::LOOKUP_TTL_MS, shutdown_phase::ShutdownPhase, state::State, table_watch};

/// Time for the heartbeat that tells of the leave to reach all instances.
const LEAVE_PROPAGATION_MS: u64 = 600;
/// Time before the end of the grace period at which everything is cut off.
const FORCED_CLOSE_MARGIN_MS: u64 = 400;
/// How often connections are counted while the last requests end.
const CONNECTIONS_POLL_INTERVAL_MS: u64 = 50;

/// Resolves when the stop has come as far as `phase`.
pub(super) async fn wait_for_phase(state: &State, phase: ShutdownPhase) {
    // An error means that the process ends.
    let _ = state.phase.clone().wait_for(|&now| now >= phase).await;
}

/// Waits for the stop, and takes it through its phases until nothing is in
/// progress.
pub(super) async fn run(state: &Rc<State>, phase: watch::Sender<ShutdownPhase>) {
    state.stop.clone().wait().await;
    log::info!(connections = state.connections.get(); "planned stop");
    phase.send_replace(ShutdownPhase::Draining);
    let deadline_ms = state.bounds().grace_ms.saturating_sub(FORCED_CLOSE_MARGIN_MS);
    let deadline = time::Instant::now() + Duration::from_millis(deadline_ms);
    let steps = async {
        let close_idle_at =
            time::Instant::now() + Duration::from_millis(LOOKUP_TTL_MS + LEAVE_PROPAGATION_MS);
        table_watch::unregister(state).await;
        time::sleep_until(close_idle_at).await;
        phase.send_replace(ShutdownPhase::ClosingIdle);
        time::sleep(Duration::from_millis(LEAVE_PROPAGATION_MS)).await;
        phase.send_replace(ShutdownPhase::ListenerClosed);
        while state.connections.get() > 0 {
            time::sleep(Duration::from_millis(CONNECTIONS_POLL_INTERVAL_MS)).await;
        }
    };
    if time::timeout_at(deadline, steps).await.is_err() {
        log::warn!(connections = state.connections.get(); "stop cuts off connections");
    }
}
