//! A crash of a backend server.

use std::collections::BTreeMap;

use super::report::Fingerprint;

/// Time after which a crash is forgotten.
pub(super) const CRASH_TTL_MS: u64 = 24 * 3_600_000;

/// Converts a time so that crashes before the start of this instance can be represented.
pub(super) fn since_epoch(now_ms: u64) -> u64 {
    now_ms + CRASH_TTL_MS
}

#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Time since the epoch of [`since_epoch`].
    pub(super) at_ms: u64,
    /// The requests in flight; the value is whether the request was cleared since.
    pub(super) requests: BTreeMap<Fingerprint, bool>,
    pub(super) reports_left: u32,
}

impl Crash {
    pub(super) fn is_suspect(&self, request: Fingerprint) -> bool {
        self.requests.get(&request) == Some(&false)
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.iter().filter(|(_, is_cleared)| !**is_cleared).map(|(request, _)| *request)
    }

    pub(super) fn cleared(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.iter().filter(|(_, is_cleared)| **is_cleared).map(|(request, _)| *request)
    }
}
