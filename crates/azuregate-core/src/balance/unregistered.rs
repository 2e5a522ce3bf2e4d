//! What runs of backend servers said that are not registered at the moment.

use std::collections::VecDeque;

use super::{BackendRun, leaving::Leaving, pushback::Pushback};

/// Servers that are remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 2_048;

/// What one run of a backend server has said in its responses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Announcements {
    pub(super) pushback: Pushback,
    pub(super) leaving: Leaving,
}

/// What servers have said whose registration was removed.
///
/// A registration may expire during an outage of the store and return, while the server runs on.
#[derive(Clone, Debug, Default)]
pub(super) struct UnregisteredServers(VecDeque<(BackendRun, Announcements)>);

impl UnregisteredServers {
    /// Remembers what a server has said that is removed.
    pub(super) fn add(&mut self, run: BackendRun, announcements: Announcements) {
        if announcements.pushback.is_clear() && !announcements.leaving.is_announced {
            return;
        }
        if self.0.len() == MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((run, announcements));
    }

    /// Changes what is remembered of a server that is not registered yet, or not any more.
    pub(super) fn update(&mut self, run: BackendRun, change: impl FnOnce(&mut Announcements)) {
        let mut announcements = self.take(run);
        change(&mut announcements);
        self.add(run, announcements);
    }

    /// Removes a run that is registered again, and returns what it has said.
    pub(super) fn take(&mut self, run: BackendRun) -> Announcements {
        let position = self.0.iter().position(|(other, _)| *other == run);
        let removed = position.and_then(|position| self.0.remove(position));
        removed.map(|(_, announcements)| announcements).unwrap_or_default()
    }
}
