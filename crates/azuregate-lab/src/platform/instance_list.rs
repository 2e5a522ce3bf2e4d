//! The list of live and leaving instances, which lags.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use azuregate_core::snapshot::InstanceList;

/// What the list says, and what it will say once the delay is over.
#[derive(Debug, Default)]
pub struct DelayedInstanceList {
    visible: InstanceList,
    pending: VecDeque<(Instant, InstanceList)>,
}

impl DelayedInstanceList {
    /// Replaces the list; readers see it when `delay` is over.
    pub fn set(&mut self, list: InstanceList, delay: Duration) {
        self.pending.push_back((Instant::now() + delay, list));
        self.apply_due();
    }

    /// What readers see now.
    pub fn visible(&mut self) -> &InstanceList {
        self.apply_due();
        &self.visible
    }

    /// What is true, seen or not.
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
