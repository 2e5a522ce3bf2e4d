//! The requests that servers have responded to lately.

use std::{collections::HashMap, mem};

use super::report::Fingerprint;

/// Duration of a generation; the current and the previous one are kept. Crashes are recorded
/// some hundred milliseconds after they happened.
const GENERATION_MS: u64 = 2_000;
/// Bounds the memory of a generation to some hundred kilobytes.
const MAX_REQUESTS_PER_GENERATION: usize = 8_192;

/// Remembers the last response to each request for a few seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentResponses {
    current: HashMap<Fingerprint, u64>,
    previous: HashMap<Fingerprint, u64>,
    generation_started_at_ms: u64,
}

impl RecentResponses {
    pub(super) fn record(&mut self, request: Fingerprint, at_ms: u64) {
        if at_ms >= self.generation_started_at_ms + GENERATION_MS {
            self.previous = mem::take(&mut self.current);
            self.generation_started_at_ms = at_ms;
        }
        if self.current.len() < MAX_REQUESTS_PER_GENERATION {
            self.current.insert(request, at_ms);
        }
    }

    /// Returns whether a server has responded to a request after `at_ms`.
    pub(super) fn is_later(&self, request: Fingerprint, at_ms: u64) -> bool {
        let last_ms = self.current.get(&request).or_else(|| self.previous.get(&request));
        last_ms.is_some_and(|last_ms| *last_ms > at_ms)
    }
}
