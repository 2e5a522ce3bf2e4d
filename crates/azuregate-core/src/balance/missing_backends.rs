//! Rows of backend servers that ran out while the store was away.

use std::collections::BTreeSet;

use crate::names::BackendId;

/// How long after the store's return rows that are missing are still believed:
/// backend servers that live write theirs again within that time.
const GRACE_PERIOD_MS: u64 = 2_000;

/// Backend servers whose rows are missing, but may come back.
///
/// The failure: the store is away, no backend server can renew its row, and all
/// rows run out. Taking them for gone at once would leave nothing to serve with,
/// though every server is well. The opposite failure: this instance alone was cut
/// off from the store, rows were removed meanwhile because their servers left, and
/// keeping them would send requests to servers that are leaving. Other instances
/// tell the two apart: if one of them had the store all the time, the store was
/// not away.
#[derive(Clone, Debug, Default)]
pub struct MissingBackends {
    is_store_unreachable: bool,
    grace_until_ms: u64,
    missing: BTreeSet<BackendId>,
}

impl MissingBackends {
    /// Notes that the store does not answer.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Notes that the store answers; returns whether it had been away.
    pub fn mark_store_reachable(&mut self, now_ms: u64) -> bool {
        let was_unreachable = std::mem::take(&mut self.is_store_unreachable);
        if was_unreachable {
            self.grace_until_ms = now_ms + GRACE_PERIOD_MS;
        }
        was_unreachable
    }

    /// Takes in that a row is missing. Returns whether its server is gone, which
    /// it is unless the row may have run out while the store was away.
    pub fn mark_missing(&mut self, id: &BackendId, now_ms: u64) -> bool {
        if now_ms >= self.grace_until_ms {
            return true;
        }
        self.missing.insert(id.clone());
        false
    }

    /// Takes in that a row is there.
    pub fn mark_present(&mut self, id: &str) {
        self.missing.remove(id);
    }

    /// The servers that are gone by `now_ms`; all that are missing if another
    /// instance had the store all the time.
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
