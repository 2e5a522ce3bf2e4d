//! Tracks how stale the replicated tables are.

use std::collections::BTreeMap;

use crate::names::InstanceId;

/// Fraction of the propagation limit after which a source that has not synchronized
/// with the store counts as lost. The rest is left for a direct watch: a timer tick, a
/// new connection and a read.
const STALENESS_FRACTION: f64 = 0.6;
/// Fraction of the propagation limit that one long poll may wait. It is below
/// [`STALENESS_FRACTION`], so that an idle watch stays fresh.
const POLL_WAIT_FRACTION: f64 = 0.4;

/// Fraction of the staleness limit after which an instance without a source watches the
/// store directly. An instance that has just read the tables first waits for sources;
/// otherwise all instances of a deployment that starts at once would watch the store.
const FALLBACK_FRACTION: f64 = 0.5;

/// How long a failed call to the store keeps an instance from watching for others. It
/// is longer than the pauses between retries, so that it lasts while calls fail, and it
/// expires by itself, since an instance that does not watch makes no call that could
/// succeed.
const FAILURE_COOLDOWN_MS: u64 = 5_000;

/// The last response of a source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceReport {
    /// When the request was sent to the source.
    pub requested_at_ms: u64,
    /// How long the source held the request before it responded.
    pub held_ms: u64,
    /// Age of the source's data when it responded.
    pub age_ms: u64,
}

impl SourceReport {
    /// Returns the time up to which the source had all changes, by the clock of the
    /// requester. Time in transit counts as age, since a response can wait for seconds
    /// on a saturated link.
    fn synced_at_ms(self) -> u64 {
        (self.requested_at_ms + self.held_ms).saturating_sub(self.age_ms)
    }
}

/// Tracks when the tables were last known to be up to date, from this instance's own
/// watch and from the sources that it follows.
///
/// Without it, an instance whose sources are frozen, partitioned or have lost the store
/// would see no changes and keep sending requests to removed servers. Each report of a
/// source carries the age of its data, and an instance whose data is too old watches
/// the store directly. Ages add up along a chain of sources and only a response of the
/// store resets them, so instances that follow each other in a cycle do not keep each
/// other fresh.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    propagation_limit_ms: u64,
    last_answer_at_ms: Option<u64>,
    last_failure_at_ms: Option<u64>,
    /// Latest time up to which all changes are known, from any source. It is kept when
    /// its source is removed.
    synced_at_ms: Option<u64>,
    /// The same time, by source.
    sources: BTreeMap<InstanceId, u64>,
}

impl FreshnessTracker {
    /// Creates a tracker for a deployment in which a change must be in force within
    /// `propagation_limit_ms`.
    pub fn new(propagation_limit_ms: u64) -> FreshnessTracker {
        FreshnessTracker {
            propagation_limit_ms,
            last_answer_at_ms: None,
            last_failure_at_ms: None,
            synced_at_ms: None,
            sources: BTreeMap::new(),
        }
    }

    /// Sets the time within which a change must be in force.
    pub fn set_propagation_limit_ms(&mut self, propagation_limit_ms: u64) {
        self.propagation_limit_ms = propagation_limit_ms;
    }

    /// Returns how long a long poll of the store may wait for changes, for an instance
    /// that watches permanently.
    pub fn poll_wait_ms(&self) -> u64 {
        (self.propagation_limit_ms as f64 * POLL_WAIT_FRACTION) as u64
    }

    /// Returns how long a long poll may wait for an instance that watches because it
    /// has no source. Its polls start later, so they must be shorter.
    pub fn fallback_poll_wait_ms(&self) -> u64 {
        self.poll_wait_ms() / 2
    }

    /// Returns whether an instance without followers has to watch the store directly.
    pub fn needs_direct_watch(&self, now_ms: u64) -> bool {
        let limit_ms = (self.staleness_limit_ms() as f64 * FALLBACK_FRACTION) as u64;
        let is_recent =
            self.last_answer_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < limit_ms);
        !is_recent && !self.has_fresh_source(now_ms)
    }

    /// Returns the age from which data counts as stale.
    pub fn staleness_limit_ms(&self) -> u64 {
        (self.propagation_limit_ms as f64 * STALENESS_FRACTION) as u64
    }

    /// Records a successful response of the store to this instance.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.last_answer_at_ms = Some(now_ms);
        self.last_failure_at_ms = None;
        self.synced_at_ms = self.synced_at_ms.max(Some(now_ms));
    }

    /// Records that the store did not respond to this instance or rejected its call.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.last_answer_at_ms = None;
        self.last_failure_at_ms = Some(now_ms);
    }

    /// Returns whether this instance may watch the store for others: its data is fresh,
    /// and it has had no recent failure to reach the store.
    pub fn can_watch(&self, now_ms: u64) -> bool {
        let has_failed = self
            .last_failure_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FAILURE_COOLDOWN_MS);
        !has_failed && self.is_fresh(now_ms)
    }

    /// Returns whether this instance's own watch alone keeps its data fresh.
    pub fn has_fresh_direct_watch(&self, now_ms: u64) -> bool {
        self.last_answer_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    /// Returns the latest time up to which all changes are known, or `None` before the
    /// first response of the store.
    pub fn synced_at_ms(&self) -> Option<u64> {
        self.synced_at_ms
    }

    /// Returns the age of the data, or `None` before the first response of the store.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.synced_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Records the report of a source, or `None` if the source has lost the store.
    pub fn record_report(&mut self, source: &InstanceId, report: Option<SourceReport>) {
        let Some(report) = report else {
            self.sources.remove(source);
            return;
        };
        let synced_at_ms = report.synced_at_ms();
        self.synced_at_ms = self.synced_at_ms.max(Some(synced_at_ms));
        self.sources.insert(source.clone(), synced_at_ms);
    }

    /// Removes a source that is no longer followed.
    pub fn remove_source(&mut self, source: &InstanceId) {
        self.sources.remove(source);
    }

    /// Returns whether any source has fresh data.
    pub fn has_fresh_source(&self, now_ms: u64) -> bool {
        self.sources.values().any(|&synced_at_ms| self.is_recent(synced_at_ms, now_ms))
    }

    /// Returns whether the data is fresh, from any source.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.synced_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    fn is_recent(&self, at_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(at_ms) < self.staleness_limit_ms()
    }
}
