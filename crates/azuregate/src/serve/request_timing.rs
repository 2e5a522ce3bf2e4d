//! Measures how long requests take at backend servers.

use std::{cell::Cell, rc::Rc, sync::Arc};

use azuregate_core::balance::Route;
use tokio::time::Instant;

use super::state::State;

/// Records the time from the first send of a request until it is dropped.
pub(super) struct RequestTiming {
    state: Rc<State>,
    route: Arc<Route>,
    /// `None` if the request was not sent.
    sent_at: Cell<Option<Instant>>,
}

impl RequestTiming {
    pub(super) fn new(state: &Rc<State>, route: &Arc<Route>) -> RequestTiming {
        RequestTiming {
            state: Rc::clone(state),
            route: Arc::clone(route),
            sent_at: Cell::new(None),
        }
    }

    /// Marks the request as sent.
    pub(super) fn start(&self) {
        if self.sent_at.get().is_none() {
            self.sent_at.set(Some(Instant::now()));
        }
    }

    /// Records nothing for this request, since no server has executed it.
    pub(super) fn discard(&self) {
        self.sent_at.set(None);
    }
}

impl Drop for RequestTiming {
    fn drop(&mut self) {
        if let Some(sent_at) = self.sent_at.get() {
            let taken_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.state.request_times.borrow_mut().record(&self.route.name, taken_ms);
        }
    }
}
