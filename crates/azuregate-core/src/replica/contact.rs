//! Whether what is known of the store is fresh.

use std::collections::BTreeMap;

use crate::names::InstanceId;

/// The share of the time in which a change must be in force after which a source
/// that has not heard of the store counts as lost. The rest is for watching the store
/// itself: a tick of the timer, a new connection and a read.
const LOST_SHARE: f64 = 0.6;
/// The same share for the wait of one call. Two of them fit into the time above
/// if neither the way nor the store is slow.
const WAIT_SHARE: f64 = 0.4;

/// The share of the time above after which an instance without a source watches the
/// store itself. One that has just read the tables waits that long for others to
/// tell it of themselves: when all instances start at once each of them would watch
/// every change of the start.
const WITHOUT_SOURCE_SHARE: f64 = 0.5;

/// How long a failed call keeps an instance from watching for others: longer than the
/// pauses between calls to a store that is away, so that it holds while they fail. It
/// ends by itself, since one that does not watch makes no call that could succeed.
const FAILURE_COUNTS_MS: u64 = 5_000;

/// What a source answered last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceReport {
    /// When the source was asked.
    pub asked_at_ms: u64,
    /// How long the source held the question back before it answered.
    pub held_ms: u64,
    /// How old the source's own knowledge was when it answered.
    pub age_ms: u64,
}

impl SourceReport {
    /// The moment up to which the source knew everything, by the clock of the one
    /// who asked. The time under way counts as age, since an answer may wait for
    /// seconds on a full link.
    fn known_at_ms(self) -> u64 {
        (self.asked_at_ms + self.held_ms).saturating_sub(self.age_ms)
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
pub struct Contact {
    change_ms: u64,
    own_answer_at_ms: Option<u64>,
    own_failure_at_ms: Option<u64>,
    /// The latest moment of which everything is known, by any way. It outlives
    /// the source that told of it: one that is followed no longer was right.
    known_at_ms: Option<u64>,
    /// The same of what each source told last.
    sources: BTreeMap<InstanceId, u64>,
}

impl Contact {
    /// For a deployment in which a change must be in force after `change_ms`.
    pub fn new(change_ms: u64) -> Contact {
        Contact {
            change_ms,
            own_answer_at_ms: None,
            own_failure_at_ms: None,
            known_at_ms: None,
            sources: BTreeMap::new(),
        }
    }

    /// Changes the time after which a change must be in force.
    pub fn set_change_ms(&mut self, change_ms: u64) {
        self.change_ms = change_ms;
    }

    /// How long a call to the store may wait for changes, of an instance that
    /// watches all the time.
    pub fn wait_ms(&self) -> u64 {
        (self.change_ms as f64 * WAIT_SHARE) as u64
    }

    /// The same of an instance that watches because it has no source. Its calls
    /// begin when the last answer is some time ago.
    pub fn wait_without_source_ms(&self) -> u64 {
        self.wait_ms() / 2
    }

    /// Whether an instance that no other follows has to watch the store itself.
    pub fn needs_own_watch(&self, now_ms: u64) -> bool {
        let limit_ms = (self.lost_ms() as f64 * WITHOUT_SOURCE_SHARE) as u64;
        let is_recent =
            self.own_answer_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < limit_ms);
        !is_recent && !self.has_fresh_source(now_ms)
    }

    /// Age from which a sign of the store is too old.
    pub fn lost_ms(&self) -> u64 {
        (self.change_ms as f64 * LOST_SHARE) as u64
    }

    /// The store answered this instance.
    pub fn answered(&mut self, now_ms: u64) {
        self.own_answer_at_ms = Some(now_ms);
        self.own_failure_at_ms = None;
        self.known_at_ms = self.known_at_ms.max(Some(now_ms));
    }

    /// The store did not answer this instance, or refused its call.
    pub fn failed(&mut self, now_ms: u64) {
        self.own_answer_at_ms = None;
        self.own_failure_at_ms = Some(now_ms);
    }

    /// Whether this instance may watch for others: it has not failed to reach the
    /// store lately, and what it knows is fresh.
    pub fn can_watch(&self, now_ms: u64) -> bool {
        let has_failed = self
            .own_failure_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FAILURE_COUNTS_MS);
        !has_failed && self.is_fresh(now_ms)
    }

    /// Whether the own watch alone keeps what is known fresh.
    pub fn has_own_contact(&self, now_ms: u64) -> bool {
        self.own_answer_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    /// The latest moment of which everything is known, by any way; `None` before the
    /// first sign of the store.
    pub fn known_at_ms(&self) -> Option<u64> {
        self.known_at_ms
    }

    /// How old what is known is, by any way; `None` before the first sign of the store.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.known_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// A source has had the store, as `report` says; `None` if it has lost it.
    pub fn heard(&mut self, source: &InstanceId, report: Option<SourceReport>) {
        let Some(report) = report else {
            self.sources.remove(source);
            return;
        };
        let known_at_ms = report.known_at_ms();
        self.known_at_ms = self.known_at_ms.max(Some(known_at_ms));
        self.sources.insert(source.clone(), known_at_ms);
    }

    /// A source is followed no longer.
    pub fn forget(&mut self, source: &InstanceId) {
        self.sources.remove(source);
    }

    /// Whether a source has heard of the store recently enough to rely on it.
    pub fn has_fresh_source(&self, now_ms: u64) -> bool {
        self.sources.values().any(|&known_at_ms| self.is_recent(known_at_ms, now_ms))
    }

    /// Whether the store was heard of lately, by any way.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.known_at_ms.is_some_and(|at_ms| self.is_recent(at_ms, now_ms))
    }

    fn is_recent(&self, at_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(at_ms) < self.lost_ms()
    }
}
