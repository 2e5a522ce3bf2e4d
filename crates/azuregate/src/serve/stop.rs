//! The planned stop.
//!
//! Clients keep the answer to a lookup for some time, and use open connections
//! until they learn that the instance has left. So it first leaves the lookups
//! and says in each answer that the connection closes, then closes what is idle,
//! then takes no more connections, and ends when nothing is in progress.

use std::{rc::Rc, time::Duration};

use tokio::{sync::watch, time};

use super::{phase::Phase, ports::KEEP_MS, state::State, watch as tables};

/// Time for the heartbeat that tells of the leave to reach all instances.
const LEAVE_MS: u64 = 600;
/// Time before the end of the grace period at which everything is cut off.
const MARGIN_MS: u64 = 400;
/// How often connections are counted while the last requests end.
const CHECK_EVERY_MS: u64 = 50;

/// Resolves when the stop has come as far as `phase`.
pub(super) async fn reached(state: &State, phase: Phase) {
    // An error means that the process ends.
    let _ = state.phase.clone().wait_for(|&now| now >= phase).await;
}

/// Waits for the stop, and takes it through its phases until nothing is in
/// progress.
pub(super) async fn finish(state: &Rc<State>, phase: watch::Sender<Phase>) {
    state.stop.clone().wait().await;
    log::info!(connections = state.connections.get(); "planned stop");
    phase.send_replace(Phase::Leaving);
    let deadline_ms = state.bounds().grace_period_ms.saturating_sub(MARGIN_MS);
    let deadline = time::Instant::now() + Duration::from_millis(deadline_ms);
    let steps = async {
        let idle_at = time::Instant::now() + Duration::from_millis(KEEP_MS + LEAVE_MS);
        tables::unregister(state).await;
        time::sleep_until(idle_at).await;
        phase.send_replace(Phase::ClosingIdle);
        time::sleep(Duration::from_millis(LEAVE_MS)).await;
        phase.send_replace(Phase::Closed);
        while state.connections.get() > 0 {
            time::sleep(Duration::from_millis(CHECK_EVERY_MS)).await;
        }
    };
    if time::timeout_at(deadline, steps).await.is_err() {
        log::warn!(connections = state.connections.get(); "stop cuts off connections");
    }
}
