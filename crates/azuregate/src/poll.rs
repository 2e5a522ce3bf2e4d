//! Reads policies and the instance list from the platform, again and again.

use azuregate_core::time::Millis;

use crate::{
    clock::SharedClock,
    config::{Change, Config, PAUSE_THRESHOLD_MS, Snapshots, Source},
    membership::Members,
    platform::{Changes, Row, SharedPlatform, Table},
    timer::Timer,
};

/// How many reads all instances together make in a second. The platform serves
/// about two thousand, and most of them are for claims.
pub const READS_PER_S: u64 = 40;
/// How many reads one poll makes.
const READS_PER_POLL: u64 = 2;
/// How much the time to the next poll varies either way, in percent. Instances
/// that started together would otherwise poll together for ever.
const JITTER_PERCENT: u64 = 20;
/// How often an older state must be read in a row to be taken for the newest.
const OLDER_READS_BEFORE_RESET: u32 = 5;

/// What the poller works with.
pub struct Poller {
    /// The platform.
    pub platform: SharedPlatform,
    /// Takes in what was read.
    pub config: Config,
    /// Tells how many instances share the reads.
    pub snapshots: Snapshots,
    /// Takes in whether the platform could be read.
    pub members: Members,
    /// The clock.
    pub clock: SharedClock,
    /// When to look whether a poll is due.
    pub timer: Timer,
    /// The least time between two polls, in milliseconds.
    pub min_interval_ms: u64,
}

/// Where the reading of policies has got to.
#[derive(Debug, Default)]
struct Cursor {
    sequence: u64,
    older_reads: u32,
}

impl Cursor {
    /// Moves on; returns whether `changes` are the platform's newest state.
    ///
    /// A copy that lags answers an older sequence. Asking after that one next
    /// time loses nothing, since rows are only ever applied upwards. A platform
    /// that was restored stays older; after a few reads that is its state.
    fn advance(&mut self, changes: &Changes) -> bool {
        if changes.sequence >= self.sequence {
            *self = Cursor { sequence: changes.sequence, older_reads: 0 };
            return true;
        }
        self.older_reads += 1;
        if self.older_reads < OLDER_READS_BEFORE_RESET {
            return false;
        }
        *self = Cursor::default();
        false
    }
}

impl Poller {
    /// Polls until the task is aborted.
    pub async fn serve(self) {
        let mut ticks = self.timer.subscribe(self.min_interval_ms);
        let mut rng = fastrand::Rng::new();
        let mut cursor = Cursor::default();
        let mut due_ms = Millis(0);
        loop {
            if self.clock.now() >= due_ms {
                self.poll_once(&mut cursor).await;
                due_ms = self.clock.now() + Millis(self.delay_ms(&mut rng));
            }
            if ticks.recv().await.is_none() {
                return;
            }
        }
    }

    fn delay_ms(&self, rng: &mut fastrand::Rng) -> u64 {
        let snapshot = self.snapshots.current();
        if !snapshot.ready {
            return self.min_interval_ms;
        }
        let instances = snapshot.instances.len() as u64;
        let fair_share_ms = instances * READS_PER_POLL * 1_000 / READS_PER_S;
        // Half a tick less, or the tick that it waits for would just miss it.
        let delay_ms = fair_share_ms.max(self.min_interval_ms) - self.min_interval_ms / 2;
        let jitter_ms = delay_ms * JITTER_PERCENT / 100;
        rng.u64(delay_ms - jitter_ms..=delay_ms + jitter_ms)
    }

    async fn poll_once(&self, cursor: &mut Cursor) {
        // Policies alone are not enough to serve: without a list there is no
        // backend server.
        let mut has_list = !self.snapshots.current().listed.is_empty();
        match self.platform.instances().await {
            Ok(list) => {
                self.config.change(Change::List(list));
                has_list = true;
            }
            Err(e) => log::warn!(error:% = e; "instance list not read"),
        }
        let requested_at_ms = self.clock.now();
        let changes = match self.platform.changes(Table::Policy, cursor.sequence).await {
            Ok(changes) => changes,
            Err(e) => {
                log::warn!(error:% = e; "policies not read");
                self.members.platform_read_failed();
                return;
            }
        };
        let is_newest = cursor.advance(&changes);
        for row in changes.rows {
            self.apply_row(row);
        }
        // An answer that waited while this process was paused is as old as the
        // pause is long.
        let was_paused = self.clock.now().since(requested_at_ms).0 > PAUSE_THRESHOLD_MS;
        if is_newest && has_list && !was_paused {
            self.members.platform_read();
        }
    }

    /// Takes in a row. One that is not understood changes nothing: the policy in
    /// force stays until a higher version comes.
    fn apply_row(&self, row: Row) {
        match serde_json::from_value(row.value) {
            Ok(policy) => self.config.change(Change::Policy(policy, Source::Platform)),
            Err(e) => log::error!(key:% = row.key, error:% = e; "policy row not understood"),
        }
    }
}
