//! Bounds the lines of each kind, so that overload does not flood the log.

use std::collections::BTreeMap;

/// How many kinds are counted apart; the others share one count.
const MAX_KINDS: usize = 256;

/// Events that are limited together.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventKind {
    /// The message.
    pub message: String,
    /// The event's `code`, empty if it has none.
    pub code: String,
}

/// Lines of one kind that were not written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suppressed {
    /// Their kind.
    pub kind: EventKind,
    /// How many they were.
    pub count: u64,
}

/// Lets so many lines of each kind through in each window of time.
///
/// Under overload an instance refuses thousands of requests a second. Writing a
/// line for each would take the processor time that the requests lack, and push
/// everything else out of the log. The first lines of a kind tell all there is to
/// tell; the rest are counted, and the count is written when the window is over.
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
    /// Lets `lines` of each kind through in `window_ms`.
    pub fn new(lines: u64, window_ms: u64) -> RateLimiter {
        RateLimiter { lines, window_ms, kinds: BTreeMap::new() }
    }

    /// Counts an event at `now_ms` of monotonic time; returns whether it is
    /// written.
    ///
    /// Call [`RateLimiter::take_suppressed`] first, which ends the windows that are
    /// over.
    pub fn admit(&mut self, kind: EventKind, now_ms: u64) -> bool {
        let is_new = !self.kinds.contains_key(&kind);
        let kind =
            if is_new && self.kinds.len() >= MAX_KINDS { EventKind::default() } else { kind };
        let fresh = Window { start_ms: now_ms, seen: 0 };
        let window = self.kinds.entry(kind).or_insert(fresh);
        window.seen += 1;
        window.seen <= self.lines
    }

    /// Ends the windows that are over at `now_ms`, and returns what each held
    /// back.
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
