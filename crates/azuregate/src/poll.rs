//! Polls the platform for policies and the instance list.

use azuregate_core::time::Millis;

use crate::{
    clock::SharedClock,
    config::{Change, Config, PAUSE_THRESHOLD_MS, Snapshots, Source},
    membership::Members,
    platform::{Changes, Row, SharedPlatform, Table},
    timer::Timer,
};

/// The rate of reads of all instances together. The platform serves about 2,000 calls
/// per second, most of which are needed for claims.
pub const READS_PER_S: u64 = 40;
const READS_PER_POLL: u64 = 2;
/// The jitter of the time between polls, in either direction. Without it, instances
/// that started together would always poll at the same time.
const JITTER_PERCENT: u64 = 20;
/// The number of consecutive reads of an older state after which all is read again,
/// as after a restore of the platform from a backup.
const OLDER_READS_BEFORE_RESET: u32 = 5;

/// Polls the platform.
pub struct Poller {
    /// The platform to read.
    pub platform: SharedPlatform,
    /// Receives policies and lists.
    pub config: Config,
    /// Tells how many instances share the rate of reads.
    pub snapshots: Snapshots,
    /// Is told of each successful or failed read.
    pub members: Members,
    /// Schedules the polls.
    pub clock: SharedClock,
    /// Wakes the poller to check whether a poll is due.
    pub timer: Timer,
    /// The shortest time between two polls, in milliseconds.
    pub min_interval_ms: u64,
}

/// The position in the platform's sequence of policy changes.
#[derive(Debug, Default)]
struct Cursor {
    sequence: u64,
    older_reads: u32,
}

impl Cursor {
    /// Advances past `changes`; returns whether they are the platform's newest state.
    ///
    /// A lagging replica returns an older sequence number, which is ignored. If it
    /// stays older, the platform was restored from a backup: reading starts from 0
    /// again. Rows read twice do no harm, since a policy is applied only if its
    /// version is higher.
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
        // Half a tick less, so that the poll is due when the tick comes.
        let delay_ms = fair_share_ms.max(self.min_interval_ms) - self.min_interval_ms / 2;
        let jitter_ms = delay_ms * JITTER_PERCENT / 100;
        rng.u64(delay_ms - jitter_ms..=delay_ms + jitter_ms)
    }

    async fn poll_once(&self, cursor: &mut Cursor) {
        // Without an instance list there are no backend servers, so policies alone do
        // not make this instance ready.
        let mut has_list = !self.snapshots.current().listed.is_empty();
        match self.platform.instances().await {
            Ok(list) => {
                self.config.change(Change::List(list));
                has_list = true;
            }
            Err(e) => log::warn!(error:% = e; "failed to read instance list"),
        }
        let requested_at_ms = self.clock.now();
        let changes = match self.platform.changes(Table::Policy, cursor.sequence).await {
            Ok(changes) => changes,
            Err(e) => {
                log::warn!(error:% = e; "failed to read policies");
                self.members.platform_read_failed();
                return;
            }
        };
        let is_newest = cursor.advance(&changes);
        for row in changes.rows {
            self.apply_row(row);
        }
        // A response that arrived during a pause of this process may be outdated.
        let was_paused = self.clock.now().since(requested_at_ms).0 > PAUSE_THRESHOLD_MS;
        if is_newest && has_list && !was_paused {
            self.members.platform_read();
        }
    }

    /// Applies a row. An invalid row is skipped, so the policy in force stays until a
    /// higher version is read.
    fn apply_row(&self, row: Row) {
        match serde_json::from_value(row.value) {
            Ok(policy) => self.config.change(Change::Policy(policy, Source::Platform)),
            Err(e) => log::error!(key:% = row.key, error:% = e; "invalid policy row"),
        }
    }
}
