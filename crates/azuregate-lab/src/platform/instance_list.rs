//! The list of live and leaving instances, visible to readers after a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use azuregate_core::snapshot::InstanceList;

/// An instance list whose changes become visible after a delay.
#[derive(Debug, Default)]
pub struct DelayedInstanceList {
    visible: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
}

impl DelayedInstanceList {
    /// Replaces the list; readers see it after `delay`.
    pub fn set(&mut self, list: InstanceList, delay: Duration) {
        self.pending.push_back((Instant::now() + delay, list));
        self.apply_due();
    }

    /// Returns the list that readers see now.
    pub fn visible(&mut self) -> &InstanceList {
        self.apply_due();
        &self.visible
    }

    /// Returns the most recently set list, whether or not it is visible yet.
    pub fn latest(&self) -> &InstanceList {
        self.pending.back().map_or(&self.visible, |(_, list)| list)
    }

    fn apply_due(&mut self) {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
    }
}
