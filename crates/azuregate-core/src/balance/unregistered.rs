//! What runs of backend servers said that are not registered at the moment.

use std::collections::VecDeque;

use super::{BackendRun, pushback::Pushback};

/// Servers that are remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 2_048;

/// The pauses of servers whose registration was removed.
///
/// A registration may expire during an outage of the store and return, while the server runs on.
#[derive(Clone, Debug, Default)]
pub(super) struct UnregisteredServers(VecDeque<(BackendRun, Pushback)>);

impl UnregisteredServers {
    /// Remembers the pause of a server that is removed.
    pub(super) fn add(&mut self, run: BackendRun, pushback: Pushback) {
        if pushback.is_clear() {
            return;
        }
        if self.0.len() == MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((run, pushback));
    }

    /// Removes a run that is registered again, and returns the pause that it has asked for.
    pub(super) fn take(&mut self, run: BackendRun) -> Pushback {
        let position = self.0.iter().position(|(other, _)| *other == run);
        let removed = position.and_then(|position| self.0.remove(position));
        removed.map(|(_, pushback)| pushback).unwrap_or_default()
    }
}
