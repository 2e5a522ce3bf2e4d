//! Limits the rate of log lines of each kind, so that overload does not flood the log.

use std::collections::BTreeMap;

/// Number of kinds with a count of their own; all further ones share one.
const MAX_KINDS: usize = 256;

/// The kind of an event; events of one kind share a limit.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventKind {
    /// The message.
    pub message: String,
    /// The value of the key `code`, empty if there is none.
    pub code: String,
}

/// The number of lines of one kind that were suppressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suppressed {
    /// The kind.
    pub kind: EventKind,
    /// The number of suppressed lines.
    pub count: u64,
}

/// Rate limiter with a fixed window per kind of event.
///
/// Under overload an instance refuses thousands of requests per second. Logging each
/// of them would cost CPU time and bury all other events. The lines beyond the limit
/// are counted, and the count is reported when the window ends.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    lines: u64,
    window_ms: u64,
    kinds: BTreeMap<EventKind, Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    start_ms: u64,
    seen: u64,
}

impl RateLimiter {
    /// Creates a limiter that admits `lines` of each kind per window of `window_ms`.
    pub fn new(lines: u64, window_ms: u64) -> RateLimiter {
        RateLimiter { lines, window_ms, kinds: BTreeMap::new() }
    }

    /// Counts an event at the monotonic time `now_ms` and returns whether to write it.
    ///
    /// Call [`RateLimiter::take_suppressed`] first, which removes expired windows.
    pub fn admit(&mut self, kind: EventKind, now_ms: u64) -> bool {
        let is_new = !self.kinds.contains_key(&kind);
        let kind =
            if is_new && self.kinds.len() >= MAX_KINDS { EventKind::default() } else { kind };
        let fresh = Window { start_ms: now_ms, seen: 0 };
        let window = self.kinds.entry(kind).or_insert(fresh);
        window.seen += 1;
        window.seen <= self.lines
    }

    /// Removes the windows that have expired at `now_ms` and returns the number of lines
    /// that each suppressed.
    pub fn take_suppressed(&mut self, now_ms: u64) -> Vec<Suppressed> {
        let (lines, window_ms) = (self.lines, self.window_ms);
        let mut suppressed = Vec::new();
        self.kinds.retain(|kind, window| {
            let is_open = now_ms.saturating_sub(window.start_ms) < window_ms;
            if !is_open && window.seen > lines {
                let count = window.seen - lines;
                suppressed.push(Suppressed { kind: kind.clone(), count });
            }
            is_open
        });
        suppressed
    }
}
