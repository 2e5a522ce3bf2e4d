//! Graceful shutdown.
//!
//! Clients cache lookup results and keep using open connections. The instance therefore
//! first removes itself from lookups and adds `Connection: close` to its responses, then
//! closes idle connections, then stops accepting connections, and exits when no
//! connection is left.

use std::{rc::Rc, time::Duration};

use azuregate_core::balance::{Route, SendWindow};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use super::{endpoints::LOOKUP_TTL_MS, shutdown_phase::ShutdownPhase, state::State, table_watch};

/// The time for the heartbeat that announces the shutdown to reach all instances.
const LEAVE_PROPAGATION_MS: u64 = 600;
/// The process ends this long before the end of the grace period, so that it is not killed.
const EXIT_MARGIN_MS: u64 = 100;
/// Time to send a response to its client before the process ends.
const RESPONSE_MARGIN_MS: u64 = 50;
const POLL_INTERVAL_MS: u64 = 50;

/// Resolves when the shutdown has reached `phase`.
pub(super) async fn wait_for_phase(state: &State, phase: ShutdownPhase) {
    // An error means that the process is exiting.
    let _ = state.phase.clone().wait_for(|&now| now >= phase).await;
}

/// Returns when the process must end, or `None` if it is not stopping.
fn exit_at(state: &State) -> Option<Instant> {
    let requested_at = state.stop.requested_at()?;
    let grace_period_ms = state.grace_period_ms().saturating_sub(EXIT_MARGIN_MS);
    Some(Instant::from_std(requested_at) + Duration::from_millis(grace_period_ms))
}

/// Returns until when a request may be sent to a backend server so that its client gets the whole
/// response before the process ends.
pub(super) fn send_window(state: &State, route: &Route, deadline: Instant) -> SendWindow {
    let Some(exit_at) = exit_at(state) else { return SendWindow::Open };
    let exit_ms = remaining_ms(exit_at).saturating_sub(RESPONSE_MARGIN_MS);
    state.request_times.borrow().send_window(route, remaining_ms(deadline), exit_ms)
}

/// Resolves when it has become too late to send a request.
pub(super) async fn send_window_closed(state: &State, route: &Route, deadline: Instant) {
    state.stop.clone().wait().await;
    while send_window(state, route, deadline) != SendWindow::Closed {
        time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn remaining_ms(at: Instant) -> u64 {
    let remaining = at.saturating_duration_since(Instant::now());
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}

/// Waits for the stop signal, then advances through the shutdown phases until all
/// connections are closed or the grace period ends.
pub(super) async fn run(state: &Rc<State>, phase: watch::Sender<ShutdownPhase>) {
    state.stop.clone().wait().await;
    let late_ms = state.stopping_ms(Instant::now()).unwrap_or(0);
    log::info!(connections = state.connections.get(), late_ms = late_ms; "graceful shutdown started");
    phase.send_replace(ShutdownPhase::Draining);
    let requested_at = state.stop.requested_at().map_or_else(Instant::now, Instant::from_std);
    let steps = async {
        let close_idle_at =
            requested_at + Duration::from_millis(LOOKUP_TTL_MS + LEAVE_PROPAGATION_MS);
        table_watch::unregister(state).await;
        time::sleep_until(close_idle_at).await;
        phase.send_replace(ShutdownPhase::ClosingIdle);
        time::sleep(Duration::from_millis(LEAVE_PROPAGATION_MS)).await;
        phase.send_replace(ShutdownPhase::ListenerClosed);
        while state.connections.get() > 0
            || state.forwarded_in_progress.get() > 0
            || !state.client_memory.has_sent_forwarded()
        {
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    };
    tokio::select! {
        () = steps => {}
        () = grace_period_ended(state) => {
            let forwarded = state.forwarded_in_progress.get();
            log::warn!(connections = state.connections.get(), forwarded = forwarded; "grace period ended with open connections");
        }
    }
}

/// Resolves when the process must end, which a change of the settings makes earlier.
async fn grace_period_ended(state: &State) {
    while let Some(exit_at) = exit_at(state).filter(|&at| at > Instant::now()) {
        let poll_at = Instant::now() + Duration::from_millis(POLL_INTERVAL_MS);
        time::sleep_until(exit_at.min(poll_at)).await;
    }
}
