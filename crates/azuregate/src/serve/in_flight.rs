//! A request at a backend server, from its choice to its end.

use std::rc::Rc;

use azuregate_core::balance::{BackendHandle, Choice, Outcome};

use super::{pool::Connection, state::State};

/// How much a timer and the clock may differ by rounding.
const TIMER_SLACK_MS: u64 = 2;

/// Counts a request at a backend server until it is dropped, and closes the
/// connection unless the answer was read to its end.
pub(super) struct InFlight {
    pub(super) handle: BackendHandle,
    pub(super) connection: Option<Connection>,
    state: Rc<State>,
    outcome: Outcome,
    sent_at_ms: u64,
    /// When the time of the request is over.
    deadline_ms: u64,
}

impl InFlight {
    pub(super) fn new(state: &Rc<State>, choice: &Choice, left_ms: u64) -> InFlight {
        let sent_at_ms = state.now_ms();
        InFlight {
            handle: choice.handle,
            connection: None,
            state: Rc::clone(state),
            outcome: Outcome::Cancelled,
            sent_at_ms,
            deadline_ms: sent_at_ms + left_ms,
        }
    }

    /// Sets how the request ended, if it ends now.
    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Keeps the connection for the next request.
    pub(super) fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.state.pool.put(self.handle, connection, self.state.now_ms());
        }
    }
}

impl Drop for InFlight {
    /// A request that is dropped without an outcome was cancelled by its client, or
    /// its time was over. The second tells that the server is slow: one that takes
    /// longer than any request may would otherwise never be noticed.
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        if self.outcome == Outcome::Cancelled && now_ms + TIMER_SLACK_MS >= self.deadline_ms {
            let taken_ms = now_ms.saturating_sub(self.sent_at_ms);
            self.outcome = Outcome::TimedOut { taken_ms };
        }
        self.state.balancer.borrow_mut().complete(self.handle, self.outcome, now_ms);
    }
}
