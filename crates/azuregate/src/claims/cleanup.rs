//! Deletes claim rows that are past their retention.

use azuregate_core::{
    claim::{self, Claim},
    names::InstanceId,
};

use crate::{
    clock::SharedClock,
    config::Snapshots,
    platform::{Commit, Expect, Result, Row, SharedPlatform, Table, Write},
    timer::Timer,
};

const SWEEP_INTERVAL_MS: u64 = 10_000;
/// Rows read in one page and deleted in one transaction.
const PAGE_ROWS: usize = 200;
/// Rows of an older page are not deleted; see `ClaimCleaner::delete_page`.
const MAX_PAGE_AGE_MS: u64 = 2_000;
/// With the page size and the interval, limits deletion to 100 rows per second.
const MAX_PAGES_PER_SWEEP: usize = 5;

/// Deletes expired claims, at a limited rate.
pub struct ClaimCleaner {
    /// The ID of this instance.
    pub instance: InstanceId,
    /// Stores the claims.
    pub platform: SharedPlatform,
    /// Tells the age of claims.
    pub clock: SharedClock,
    /// Lists the instances, one of which deletes claims at any time.
    pub snapshots: Snapshots,
    /// Starts the sweeps.
    pub timer: Timer,
}

impl ClaimCleaner {
    /// Sweeps periodically until the task is aborted.
    pub async fn serve(self) {
        let mut ticks = self.timer.subscribe(SWEEP_INTERVAL_MS);
        while ticks.recv().await.is_some() {
            self.sweep().await;
        }
    }

    /// Deletes expired claims, if this instance is the one that does so now.
    pub async fn sweep(&self) {
        let snapshot = self.snapshots.current();
        let now_ms = self.clock.epoch();
        // With different clocks or instance lists, two instances may sweep at the
        // same time, or none. Rows are deleted only at the version that was read,
        // so concurrent sweeps are safe.
        if claim::cleanup_instance(&snapshot.instances, now_ms) != Some(&self.instance) {
            return;
        }
        for _ in 0..MAX_PAGES_PER_SWEEP {
            match self.delete_page().await {
                Ok(deleted) if deleted < PAGE_ROWS => return,
                Ok(_) => {}
                Err(e) => {
                    log::warn!(error:% = e; "failed to delete expired claims");
                    return;
                }
            }
        }
    }

    /// Deletes the expired claims of one page and returns their number.
    async fn delete_page(&self) -> Result<usize> {
        let asked_at_ms = self.clock.now();
        let page = self.platform.page(Table::Claim, 0, PAGE_ROWS).await?;
        let now_ms = self.clock.epoch();
        let is_expired = |row: &Row| {
            let claim: Option<Claim> = serde_json::from_value(row.value.clone()).ok();
            claim.is_some_and(|claim| claim.is_expired(now_ms))
        };
        let delete = |row: Row| {
            let expect = Expect::Version(row.version);
            Write { table: Table::Claim, key: row.key, expect, value: None }
        };
        let writes: Vec<Write> = page.rows.into_iter().filter(is_expired).map(delete).collect();
        if writes.is_empty() {
            return Ok(0);
        }
        // While this process is paused, another instance may delete a row and its
        // key may be claimed again by a row of the same version. The expected
        // version would not keep this transaction from deleting the new claim.
        if self.clock.now().since(asked_at_ms).0 > MAX_PAGE_AGE_MS {
            return Ok(0);
        }
        match self.platform.transact(&writes).await? {
            Commit::Done(_) => Ok(writes.len()),
            // Another instance deleted some of these rows.
            Commit::Conflict { .. } => Ok(0),
        }
    }
}
