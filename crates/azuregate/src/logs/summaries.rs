//! Summaries of suppressed events, so that each of them can be found by its id.

use std::{collections::BTreeMap, fmt::Write, mem};

use super::rate_limiter::EventKind;

/// Length from which the summaries of one kind are written as a line.
const LINE_BYTES: usize = 4_000;
/// Longer summaries are truncated, since callers choose some of the values.
const MAX_SUMMARY_BYTES: usize = 400;
const SEPARATOR: &str = "; ";

/// Summaries of suppressed events, at most a number of bytes per window.
#[derive(Clone, Debug)]
pub struct Summaries {
    bytes_per_window: usize,
    window_ms: u64,
    window_start_ms: u64,
    window_bytes: usize,
    pending: BTreeMap<EventKind, String>,
    omitted: u64,
}

impl Summaries {
    /// Creates a collection that accepts `bytes_per_window` bytes per window of `window_ms`.
    pub fn new(bytes_per_window: usize, window_ms: u64) -> Summaries {
        Summaries {
            bytes_per_window,
            window_ms,
            window_start_ms: 0,
            window_bytes: 0,
            pending: BTreeMap::new(),
            omitted: 0,
        }
    }

    /// Adds the summary of an event at the monotonic time `now_ms`, or counts it as omitted if the
    /// window has no room. Returns the summaries of its kind once they fill a line.
    pub fn add(&mut self, kind: EventKind, summary: &str, now_ms: u64) -> Option<String> {
        if now_ms.saturating_sub(self.window_start_ms) >= self.window_ms {
            self.window_start_ms = now_ms;
            self.window_bytes = 0;
        }
        let summary = &summary[..summary.floor_char_boundary(MAX_SUMMARY_BYTES)];
        let length = summary.len() + SEPARATOR.len();
        if self.window_bytes + length > self.bytes_per_window {
            self.omitted += 1;
            return None;
        }
        self.window_bytes += length;
        let pending = self.pending.entry(kind).or_default();
        if !pending.is_empty() {
            pending.push_str(SEPARATOR);
        }
        pending.push_str(summary);
        (pending.len() >= LINE_BYTES).then(|| mem::take(pending))
    }

    /// Takes all summaries that have not been returned yet.
    pub fn take(&mut self) -> Vec<(EventKind, String)> {
        let pending = mem::take(&mut self.pending).into_iter();
        pending.filter(|(_, summaries)| !summaries.is_empty()).collect()
    }

    /// Takes the number of events that have no summary.
    pub fn take_omitted(&mut self) -> u64 {
        mem::take(&mut self.omitted)
    }
}

/// Returns a summary with these keys and values; empty values are left out.
pub(super) fn summary<'a>(pairs: impl Iterator<Item = (&'a str, String)>) -> String {
    let mut text = String::new();
    for (key, value) in pairs.filter(|(_, value)| !value.is_empty()) {
        let space = if text.is_empty() { "" } else { " " };
        let _ = write!(text, "{space}{key}={value}");
    }
    text
}
