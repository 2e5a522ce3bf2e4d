//! Whether what is known of the store is fresh.

use std::collections::BTreeMap;

use crate::names::InstanceId;

/// The share of the time in which a change must be in force after which a source
/// that has not heard of the store counts as lost. The rest is for watching the store
/// itself: a tick of the timer, a new connection and a read.
const STALENESS_FRACTION: f64 = 0.6;
/// The same share for the wait of one call. Two of them fit into the time above
/// if neither the way nor the store is slow.
const POLL_WAIT_FRACTION: f64 = 0.4;

/// The share of the time above after which an instance without a source watches the
/// store itself. One that has just read the tables waits that long for others to
/// tell it of themselves: when all instances start at once each of them would watch
/// every change of the start.
const FALLBACK_FRACTION: f64 = 0.5;

/// How long a failed call keeps an instance from watching for others: longer than the
/// pauses between calls to a store that is away, so that it holds while they fail. It
/// ends by itself, since one that does not watch makes no call that could succeed.
const FAILURE_COOLDOWN_MS: u64 = 5_000;

/// What a source answered last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceReport {
    /// When the source was asked.
    pub requested_at_ms: u64,
    /// How long the source held the question back before it answered.
    pub held_ms: u64,
    /// How old the source's own knowledge was when it answered.
    pub age_ms: u64,
}

impl SourceReport {
    /// The moment up to which the source knew everything, by the clock of the one
    /// who asked. The time under way counts as age, since an answer may wait for
    /// seconds on a full link.
    fn synced_at_ms(self) -> u64 {
        (self.requested_at_ms + self.held_ms).saturating_sub(self.age_ms)
    }
}

/// How old the last sign of the store is, by the own watch and by the sources.
///
/// The failure: an instance follows others that have lost the store without
/// noticing, are frozen, or cut off. It sees no change and sends to servers that
/// left long ago. Each answer of a source therefore carries the age of what it knows,
/// and an instance without a recent one watches the store itself. That holds whatever
/// became of the sources, since silence counts as age. Ages add up along a chain of
/// sources, and only the store's answer takes them back to zero, so instances that
/// follow each other in a circle cannot keep each other fresh.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    propagation_limit_ms: u64,
    last_answer_at_ms: Option<u64>,
    last_failure_at_ms: Option<u64>,
    /// The latest moment of which everything is known, by any way. It outlives
    /// the source that told of it: one that is followed no longer was right.
    synced_at_ms: Option<u64>,
    /// The same of what each source told last.
    sources: BTreeMap<InstanceId, u64>,
}

impl FreshnessTracker {
    /// For a deployment in which a change must be in force after `propagation_limit_ms`.
    pub fn new(propagation_limit_ms: u64) -> FreshnessTracker {
        FreshnessTracker {
            propagation_limit_ms,
            last_answer_at_ms: None,
            last_failure_at_ms: None,
            synced_at_ms: None,
            sources: BTreeMap::new(),
        }
    }

    /// Changes the time after which a change must be in force.
    pub fn set_propagation_limit_ms(&mut self, propagation_limit_ms: u64) {
        self.propagation_limit_ms = propagation_limit_ms;
    }

    /// How long a call to the store may wait for changes, of an instance that
    /// watches all the time.
    pub fn poll_wait_ms(&self) -> u64 {
        (self.propagation_limit_ms as f64 * POLL_WAIT_FRACTION) as u64
    }

    /// The same of an instance that watches because it has no source. Its calls
    /// begin when the last answer is some time ago.
    pub fn fallback_poll_wait_ms(&self) -> u64 {
        self.poll_wait_ms() / 2
    }

    /// Whether an instance that no other follows has to watch the store itself.
    pub fn needs_direct_watch(&self, now_ms: u64) -> bool {
        let limit_ms = (self.staleness_limit_ms() as f64 * FALLBACK_FRACTION) as u64;
        let is_recent =
            self.last_answer_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < limit_ms);
        !is_recent && !self.has_fresh_source(now_ms)
    }

    /// Age from which a sign of the store is too old.
    pub fn staleness_limit_ms(&self) -> u64 {
        (self.propagation_limit_ms as f64 * STALENESS_FRACTION) as u64
    }

    /// The store answered this instance.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.last_answer_at_ms = Some(now_ms);
        self.last_failure_at_ms = None;
        self.synced_at_ms = self.synced_at_ms.max(Some(now_ms));
    }

    /// The store did not answer this instance, or refused its call.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.last_answer_at_ms = None;
        self.last_failure_at_ms = Some(now_ms);
    }

    /// Whether this instance may watch for others: it has not failed to reach the
    /// store lately, and what it knows is fresh.
    pub fn can_watch(&self, now_ms: u64) -> bool {
        let has_failed = self
            .last_failure_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FAILURE_COOLDOWN_MS);
        !has_failed && self.is_fresh(now_ms)
    }

    /// Whether the own watch alone keeps what is known fresh.
    pub fn has_fresh_direct_watch(&self, now_ms: u64) -> bool {
        self.last_answer_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    /// The latest moment of which everything is known, by any way; `None` before the
    /// first sign of the store.
    pub fn synced_at_ms(&self) -> Option<u64> {
        self.synced_at_ms
    }

    /// How old what is known is, by any way; `None` before the first sign of the store.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.synced_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// A source has had the store, as `report` says; `None` if it has lost it.
    pub fn record_report(&mut self, source: &InstanceId, report: Option<SourceReport>) {
        let Some(report) = report else {
            self.sources.remove(source);
            return;
        };
        let synced_at_ms = report.synced_at_ms();
        self.synced_at_ms = self.synced_at_ms.max(Some(synced_at_ms));
        self.sources.insert(source.clone(), synced_at_ms);
    }

    /// A source is followed no longer.
    pub fn remove_source(&mut self, source: &InstanceId) {
        self.sources.remove(source);
    }

    /// Whether a source has heard of the store recently enough to rely on it.
    pub fn has_fresh_source(&self, now_ms: u64) -> bool {
        self.sources.values().any(|&synced_at_ms| self.is_recent(synced_at_ms, now_ms))
    }

    /// Whether the store was heard of lately, by any way.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.synced_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    fn is_recent(&self, at_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(at_ms) < self.staleness_limit_ms()
    }
}
