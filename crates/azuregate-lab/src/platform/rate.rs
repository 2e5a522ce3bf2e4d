//! A bound on calls a second.

use std::time::{Duration, Instant};

/// Counts the calls of the current second.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    since: Option<Instant>,
    taken: u32,
}

impl Rate {
    /// Whether one more call fits below `limit_per_s`.
    pub(crate) fn take(&mut self, limit_per_s: Option<u32>, now: Instant) -> bool {
        let Some(limit) = limit_per_s else {
            return true;
        };
        if self.since.is_none_or(|since| now.duration_since(since) >= Duration::from_secs(1)) {
            self.since = Some(now);
            self.taken = 0;
        }
        self.taken = self.taken.saturating_add(1);
        self.taken <= limit
    }
}
