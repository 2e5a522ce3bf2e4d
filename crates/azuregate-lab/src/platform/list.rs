//! The list of live and leaving instances, which lags.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use azuregate_core::snapshot::InstanceList;

/// What the list says, and what it will say once the lag is over.
#[derive(Debug, Default)]
pub struct LaggingList {
    told: InstanceList,
    coming: VecDeque<(Instant, InstanceList)>,
}

impl LaggingList {
    /// Replaces the list; readers see it when `lag` is over.
    pub fn set(&mut self, list: InstanceList, lag: Duration) {
        self.coming.push_back((Instant::now() + lag, list));
        self.settle();
    }

    /// What readers see now.
    pub fn told(&mut self) -> &InstanceList {
        self.settle();
        &self.told
    }

    /// What is true, seen or not.
    pub fn newest(&self) -> &InstanceList {
        self.coming.back().map_or(&self.told, |(_, list)| list)
    }

    fn settle(&mut self) {
        let now = Instant::now();
        while self.coming.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, list)) = self.coming.pop_front() {
                self.told = list;
            }
        }
    }
}
