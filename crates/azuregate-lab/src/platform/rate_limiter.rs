//! A limit on calls per second.

use std::time::{Duration, Instant};

/// A fixed-window rate limiter with a window of one second.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    window_start: Option<Instant>,
    admitted: u32,
}

impl RateLimiter {
    /// Returns whether a call at `now` is within `limit_per_s`, and counts it.
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
