//! Tells the request that causes crashes from those that were in flight beside it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::{
    crash::Crash,
    report::{BackendRun, Fingerprint},
};

/// Number of crashes of different servers after which a request is quarantined.
const MAX_CRASHES: usize = 3;
/// The same for a request that was cleared of earlier crashes. A popular request is often in
/// flight at a server that crashes for another reason.
const MAX_CRASHES_AFTER_CLEARING: usize = 6;
/// Crashes within this time of each other may have a common cause, such as a power loss. The
/// instances notice the crash of a server at slightly different times.
const SIMULTANEOUS_MS: u64 = 100;
/// Number of simultaneous crashes from which a common cause is assumed, unless most of the
/// servers had a request in common.
const MIN_COMMON_CRASHES: usize = 4;

/// The crashes that count against the requests that were in flight at [`MAX_CRASHES`] or more.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) runs: BTreeMap<Fingerprint, BTreeSet<BackendRun>>,
    /// The requests that were cleared of other crashes.
    cleared: HashSet<Fingerprint>,
}

impl Evidence {
    pub(super) fn of(crashes: &BTreeMap<BackendRun, Crash>) -> Evidence {
        let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
        for request in crashes.values().flat_map(Crash::suspects) {
            *counts.entry(request).or_default() += 1;
        }
        let mut runs: BTreeMap<Fingerprint, BTreeSet<BackendRun>> = BTreeMap::new();
        for (run, crash) in crashes {
            let simultaneous: Vec<&Crash> = crashes
                .values()
                .filter(|other| other.at_ms.abs_diff(crash.at_ms) <= SIMULTANEOUS_MS)
                .collect();
            for request in crash.suspects().filter(|request| counts[request] >= MAX_CRASHES) {
                // Servers that lose power together have only some requests in common.
                let has_common_cause = simultaneous.len() >= MIN_COMMON_CRASHES;
                let shared = simultaneous.iter().filter(|other| other.is_suspect(request)).count();
                if !has_common_cause || shared * 2 > simultaneous.len() {
                    runs.entry(request).or_default().insert(*run);
                }
            }
        }
        runs.retain(|_, runs| runs.len() >= MAX_CRASHES);
        let cleared = crashes.values().flat_map(Crash::cleared).collect();
        Evidence { runs, cleared }
    }

    /// Returns the number of crashes after which a request is quarantined.
    pub(super) fn needed(&self, request: Fingerprint) -> usize {
        if self.cleared.contains(&request) { MAX_CRASHES_AFTER_CLEARING } else { MAX_CRASHES }
    }

    /// Returns whether crashes are attributed to `other` rather than to `request`, given that
    /// both were in flight.
    ///
    /// Of two requests that were always together, only one is quarantined. If the other one is
    /// the cause, the next crash shows it.
    pub(super) fn explains(
        &self,
        other: Fingerprint,
        request: Fingerprint,
        is_quarantined: bool,
    ) -> bool {
        let Some(other_runs) = self.runs.get(&other) else { return false };
        if is_quarantined {
            return !self.dominates(request, other);
        }
        (other_runs.len(), other) > (self.runs[&request].len(), request)
    }

    /// Returns whether `request` was in flight at all crashes of `other` and at more.
    fn dominates(&self, request: Fingerprint, other: Fingerprint) -> bool {
        let (runs, other_runs) = (&self.runs[&request], &self.runs[&other]);
        runs.len() > other_runs.len() && runs.is_superset(other_runs)
    }

    pub(super) fn is_dominated(&self, request: Fingerprint) -> bool {
        self.runs.keys().any(|other| self.dominates(*other, request))
    }
}
