//! Graceful shutdown.
//!
//! Clients cache lookup results and keep using open connections. The instance therefore
//! first removes itself from lookups and adds `Connection: close` to its responses, then
//! closes idle connections, then stops accepting connections, and exits when no
//! connection is left.

use std::{rc::Rc, time::Duration};

use tokio::{sync::watch, time};

use super::{endpoints::LOOKUP_TTL_MS, shutdown_phase::ShutdownPhase, state::State, table_watch};

/// The time for the heartbeat that announces the shutdown to reach all instances.
const LEAVE_PROPAGATION_MS: u64 = 600;
/// Remaining connections are closed this long before the end of the grace period.
const FORCED_CLOSE_MARGIN_MS: u64 = 400;
const CONNECTIONS_POLL_INTERVAL_MS: u64 = 50;

/// Resolves when the shutdown has reached `phase`.
pub(super) async fn wait_for_phase(state: &State, phase: ShutdownPhase) {
    // An error means that the process is exiting.
    let _ = state.phase.clone().wait_for(|&now| now >= phase).await;
}

/// Waits for the stop signal, then advances through the shutdown phases until all
/// connections are closed or the grace period ends.
pub(super) async fn run(state: &Rc<State>, phase: watch::Sender<ShutdownPhase>) {
    state.stop.clone().wait().await;
    let late_ms = state.stopping_ms(time::Instant::now()).unwrap_or(0);
    log::info!(connections = state.connections.get(), late_ms = late_ms; "graceful shutdown started");
    phase.send_replace(ShutdownPhase::Draining);
    let deadline_ms = state.bounds().grace_period_ms.saturating_sub(FORCED_CLOSE_MARGIN_MS);
    let deadline = time::Instant::now() + Duration::from_millis(deadline_ms);
    let steps = async {
        let close_idle_at =
            time::Instant::now() + Duration::from_millis(LOOKUP_TTL_MS + LEAVE_PROPAGATION_MS);
        table_watch::unregister(state).await;
        time::sleep_until(close_idle_at).await;
        phase.send_replace(ShutdownPhase::ClosingIdle);
        time::sleep(Duration::from_millis(LEAVE_PROPAGATION_MS)).await;
        phase.send_replace(ShutdownPhase::ListenerClosed);
        while state.connections.get() > 0 || state.forwarded_in_progress.get() > 0 {
            time::sleep(Duration::from_millis(CONNECTIONS_POLL_INTERVAL_MS)).await;
        }
    };
    if time::timeout_at(deadline, steps).await.is_err() {
        let forwarded = state.forwarded_in_progress.get();
        log::warn!(connections = state.connections.get(), forwarded = forwarded; "grace period ended with open connections");
    }
}
