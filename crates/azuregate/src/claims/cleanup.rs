//! Deletes the rows of old claims.

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

/// How often one instance looks for old claims.
const EVERY_MS: u64 = 10_000;
/// How many rows are read and deleted at once.
const PAGE_ROWS: usize = 200;
/// How old a page may be when its rows are deleted, in milliseconds.
const PAGE_AGE_MS: u64 = 2_000;
/// How many pages are gone through at each look: 100 rows a second at the most.
const PAGES: usize = 5;

/// Deletes claims that are past their retention, a bounded number at a time.
pub struct Cleaner {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Where the claims are.
    pub platform: SharedPlatform,
    /// The clock.
    pub clock: SharedClock,
    /// Which instances share the work.
    pub snapshots: Snapshots,
    /// When to look.
    pub timer: Timer,
}

impl Cleaner {
    /// Serves until the task is aborted.
    pub async fn serve(self) {
        let mut ticks = self.timer.subscribe(EVERY_MS);
        while ticks.recv().await.is_some() {
            self.look().await;
        }
    }

    /// Deletes what is old, if it is this instance's turn.
    pub async fn look(&self) {
        let snapshot = self.snapshots.current();
        let now_ms = self.clock.epoch();
        // Instances whose clocks or lists differ may both look, or none for a
        // while. Both delete rows at the version that they read, so neither
        // harms the other.
        if claim::cleanup_instance(&snapshot.instances, now_ms) != Some(&self.instance) {
            return;
        }
        for _ in 0..PAGES {
            match self.delete_page().await {
                Ok(deleted) if deleted < PAGE_ROWS => return,
                Ok(_) => {}
                Err(e) => {
                    log::warn!(error:% = e; "old claims not deleted");
                    return;
                }
            }
        }
    }

    /// Returns how many rows were deleted.
    async fn delete_page(&self) -> Result<usize> {
        let asked_at_ms = self.clock.now();
        let page = self.platform.page(Table::Claim, 0, PAGE_ROWS).await?;
        let now_ms = self.clock.epoch();
        let is_old = |row: &Row| {
            let claim: Option<Claim> = serde_json::from_value(row.value.clone()).ok();
            claim.is_some_and(|claim| claim.is_expired(now_ms))
        };
        let delete = |row: Row| {
            let expect = Expect::Version(row.version);
            Write { table: Table::Claim, key: row.key, expect, value: None }
        };
        let writes: Vec<Write> = page.rows.into_iter().filter(is_old).map(delete).collect();
        if writes.is_empty() {
            return Ok(0);
        }
        // The failure: the process is paused here, another instance deletes a row,
        // its key is claimed anew, and the new row gets the version of the old
        // one. On waking, this delete would take the new claim away.
        if self.clock.now().since(asked_at_ms).0 > PAGE_AGE_MS {
            return Ok(0);
        }
        match self.platform.transact(&writes).await? {
            Commit::Done(_) => Ok(writes.len()),
            // Another instance was here at the same time.
            Commit::Conflict { .. } => Ok(0),
        }
    }
}
