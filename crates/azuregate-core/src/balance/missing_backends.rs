//! Backend servers whose rows expired during an outage of the store.

use std::collections::BTreeSet;

use crate::names::BackendId;

/// Time after an outage in which live backend servers write their rows again.
const GRACE_PERIOD_MS: u64 = 2_000;

/// Backend servers whose rows are missing, kept for a grace period after an outage.
///
/// During an outage of the store no server can renew its row and all rows expire; removing
/// the servers would leave none to serve requests. If another instance could reach the store
/// all the time, there was no outage: the rows were removed because their servers left, and
/// the grace period ends at once.
#[derive(Clone, Debug, Default)]
pub struct MissingBackends {
    is_store_unreachable: bool,
    grace_until_ms: u64,
    missing: BTreeSet<BackendId>,
}

impl MissingBackends {
    /// Records that the store does not respond.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store responds; starts the grace period and returns `true` if it did not
    /// before.
    pub fn mark_store_reachable(&mut self, now_ms: u64) -> bool {
        let was_unreachable = std::mem::take(&mut self.is_store_unreachable);
        if was_unreachable {
            self.grace_until_ms = now_ms + GRACE_PERIOD_MS;
        }
        was_unreachable
    }

    /// Records that a row is missing. Returns whether its server is to be removed now, which is
    /// the case outside the grace period.
    pub fn mark_missing(&mut self, id: &BackendId, now_ms: u64) -> bool {
        if now_ms >= self.grace_until_ms {
            return true;
        }
        self.missing.insert(id.clone());
        false
    }

    /// Records that a row exists.
    pub fn mark_present(&mut self, id: &str) {
        self.missing.remove(id);
    }

    /// Takes the missing servers once the grace period is over, which is at once if
    /// `another_had_store`: another instance could reach the store all the time.
    pub fn take_expired(&mut self, another_had_store: bool, now_ms: u64) -> BTreeSet<BackendId> {
        if another_had_store {
            self.grace_until_ms = self.grace_until_ms.min(now_ms);
        }
        if now_ms < self.grace_until_ms {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.missing)
    }
}
