//! A bound on calls a second.

use std::time::{Duration, Instant};

/// Counts the calls of the current second.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    window_start: Option<Instant>,
    admitted: u32,
}

impl RateLimiter {
    /// Whether one more call fits below `limit_per_s`.
    pub(crate) fn try_acquire(&mut self, limit_per_s: Option<u32>, now: Instant) -> bool {
        let Some(limit) = limit_per_s else {
            return true;
        };
        if self.window_start.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.admitted = 0;
        }
        self.admitted = self.admitted.saturating_add(1);
        self.admitted <= limit
    }
}
