//! Load reports, which can be delayed or false.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::backends::Behaviour;

/// How long the history is kept for delayed reports.
const HISTORY_RETENTION: Duration = Duration::from_secs(30);

/// The number of slots in use, with its recent history.
#[derive(Debug, Default)]
pub(crate) struct Load {
    in_use: u32,
    history: VecDeque<(Instant, u32)>,
}

impl Load {
    /// Acquires one of `slots` and returns how many are then in use, or `None` if
    /// all are.
    pub(crate) fn try_acquire(&mut self, slots: u32, now: Instant) -> Option<u32> {
        if self.in_use >= slots {
            return None;
        }
        self.set(self.in_use + 1, now);
        Some(self.in_use)
    }

    /// Releases a slot.
    pub(crate) fn release(&mut self, now: Instant) {
        self.set(self.in_use.saturating_sub(1), now);
    }

    /// Returns the number of slots in use to report under `behaviour`.
    pub(crate) fn reported(&self, behaviour: &Behaviour, now: Instant) -> u32 {
        if let Some(in_use) = behaviour.report_lie {
            return in_use;
        }
        if behaviour.report_lag_ms == 0 {
            return self.in_use;
        }
        let lag = Duration::from_millis(behaviour.report_lag_ms);
        let then = self.history.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        then.map_or(0, |&(_, in_use)| in_use)
    }

    fn set(&mut self, in_use: u32, now: Instant) {
        self.in_use = in_use;
        self.history.push_back((now, in_use));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > HISTORY_RETENTION)
        {
            self.history.pop_front();
        }
    }
}
