//! Accounting for a request in flight at a backend server.

use std::rc::Rc;

use azuregate_core::balance::{BackendHandle, Choice, Outcome};

use super::{pool::Connection, state::State};

/// The rounding difference between the timer and the clock.
const TIMER_TOLERANCE_MS: u64 = 2;

/// Counts a request as in flight until it is dropped, and closes its connection
/// unless the connection was released to the pool.
pub(super) struct InFlightRequest {
    pub(super) handle: BackendHandle,
    pub(super) connection: Option<Connection>,
    pub(super) state: Rc<State>,
    outcome: Outcome,
    sent_at_ms: u64,
    deadline_ms: u64,
}

impl InFlightRequest {
    pub(super) fn new(state: &Rc<State>, choice: &Choice, remaining_ms: u64) -> InFlightRequest {
        let sent_at_ms = state.now_ms();
        InFlightRequest {
            handle: choice.handle,
            connection: None,
            state: Rc::clone(state),
            outcome: Outcome::Cancelled,
            sent_at_ms,
            deadline_ms: sent_at_ms + remaining_ms,
        }
    }

    /// Sets the outcome reported to the balancer on drop.
    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Returns when the request was sent.
    pub(super) fn sent_at_ms(&self) -> u64 {
        self.sent_at_ms
    }

    /// Sets how many further bytes of the response may be read.
    pub(super) fn set_remaining(&self, bytes: u64) {
        if let Some(connection) = &self.connection {
            connection.meter.set_remaining(bytes);
        }
    }

    /// Returns whether the server or the network has ended the connection.
    pub(super) fn has_broken(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.meter.has_broken())
    }

    /// Returns the connection to the pool for reuse.
    pub(super) fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.state.pool.put(self.handle, connection, self.state.now_ms());
        }
    }
}

impl Drop for InFlightRequest {
    /// Reports the outcome to the balancer.
    ///
    /// A request dropped without an outcome was either cancelled by its client or
    /// reached its deadline. The latter counts as a timeout, since a server that never
    /// responds in time would otherwise not be detected as slow.
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        if self.outcome == Outcome::Cancelled && now_ms + TIMER_TOLERANCE_MS >= self.deadline_ms {
            let taken_ms = now_ms.saturating_sub(self.sent_at_ms);
            self.outcome = Outcome::TimedOut { taken_ms };
        }
        self.state.balancer.borrow_mut().complete(self.handle, self.outcome, now_ms);
    }
}
