//! A request at a backend server, from its choice to its end.

use std::rc::Rc;

use azuregate_core::balance::{BackendHandle, Choice, Outcome};

use super::{pool::Connection, state::State};

/// Counts a request at a backend server until it is dropped, and closes the
/// connection unless the answer was read to its end.
pub(super) struct InFlight {
    pub(super) handle: BackendHandle,
    pub(super) connection: Option<Connection>,
    state: Rc<State>,
    outcome: Outcome,
}

impl InFlight {
    pub(super) fn new(state: &Rc<State>, choice: &Choice) -> InFlight {
        InFlight {
            handle: choice.handle,
            connection: None,
            state: Rc::clone(state),
            outcome: Outcome::Cancelled,
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
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        self.state.balancer.borrow_mut().end(self.handle, self.outcome, now_ms);
    }
}
