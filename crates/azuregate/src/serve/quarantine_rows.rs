//! Keeps the quarantined requests in the store.
//!
//! The instances tell each other what is quarantined. The store tells those that do not hear
//! from the others, and remembers it if all of them restart at once.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use azuregate_core::balance::{BackendRun, CrashReport, Fingerprint};
use azuregate_platform::{
    crashes,
    store::{StoreClient, StoreError},
};
use tokio::time;

use super::{crash_detection, state::State};

const CHECK_INTERVAL_MS: u64 = 500;
const RETRY_DELAY_MS: u64 = 1_000;
/// Number of instances that keep a row. With one, the row would be late if this instance is
/// the one that has lost contact to the others.
const WRITERS: usize = 2;
/// Bounds the rows and the time that an instance takes to read them.
const MAX_ROWS: usize = 64;

/// Loads the rows, then writes and removes rows until the process ends.
pub(super) async fn serve(state: Rc<State>) {
    let mut rows = QuarantineRows {
        store: StoreClient::new(state.settings.store_addr),
        stored: BTreeMap::new(),
        is_loaded: false,
        is_failing: false,
        state: Rc::clone(&state),
    };
    let mut ticks = state.timer.subscribe(CHECK_INTERVAL_MS);
    loop {
        if let Err(e) = rows.synchronize().await {
            if !rows.is_failing {
                log::warn!(error:% = e; "cannot synchronize quarantined requests with the store");
            }
            rows.is_failing = true;
            time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        } else {
            rows.is_failing = false;
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

struct QuarantineRows {
    state: Rc<State>,
    store: StoreClient,
    /// The crashes in each row, as far as this instance has read or written it.
    stored: BTreeMap<Fingerprint, Vec<BackendRun>>,
    is_loaded: bool,
    is_failing: bool,
}

impl QuarantineRows {
    async fn load(&mut self) -> Result<(), StoreError> {
        let rows = self.store.read_quarantine().await?;
        let now_epoch_ms = epoch_ms();
        let mut report = CrashReport::default();
        for row in &rows {
            let value = row.value.as_deref().unwrap_or_default().as_bytes();
            let (request, crashes) = match crashes::decode(&row.key, value) {
                Ok(decoded) => decoded,
                Err(e) => {
                    log::warn!(key = row.key.as_str(), error:% = e; "invalid row of a quarantined request ignored");
                    continue;
                }
            };
            self.stored.insert(request, crashes.iter().map(|(run, _)| *run).collect());
            let crashes = crashes.into_iter().map(|(run, at_epoch_ms)| {
                (run, now_epoch_ms.saturating_sub(at_epoch_ms), vec![request])
            });
            report.0.extend(crashes);
        }
        crash_detection::record_report(&self.state, &report);
        self.is_loaded = true;
        Ok(())
    }

    /// Reads the rows if other instances may not have told about them, then writes.
    async fn synchronize(&mut self) -> Result<(), StoreError> {
        let is_in_majority = self.state.members.borrow().is_in_majority(self.state.now_ms());
        if !self.is_loaded || !is_in_majority {
            self.load().await?;
        }
        self.update().await
    }

    /// Writes the rows of the requests that are quarantined now and removes the others.
    async fn update(&mut self) -> Result<(), StoreError> {
        let quarantined = self.state.quarantine.borrow().quarantined_crashes(self.state.now_ms());
        if quarantined.is_empty() && self.stored.is_empty() {
            return Ok(());
        }
        for (request, crashes) in quarantined.iter().take(MAX_ROWS) {
            let runs: Vec<BackendRun> = crashes.iter().map(|(run, _)| *run).collect();
            if self.stored.get(request) == Some(&runs) {
                continue;
            }
            if self.state.rank(*request) < WRITERS {
                let value = crashes::encode(with_epoch_times(crashes));
                self.store.put_quarantined(&crashes::key(*request), &value).await?;
                self.stored.insert(*request, runs);
            }
        }
        let released = self.stored.keys().find(|request| !quarantined.contains_key(request));
        if let Some(request) = released.copied() {
            if self.state.rank(request) < WRITERS {
                self.store.remove_quarantined(&crashes::key(request)).await?;
            }
            self.stored.remove(&request);
        }
        Ok(())
    }
}

fn with_epoch_times(crashes: &[(BackendRun, u64)]) -> crashes::TimedCrashes {
    let now_epoch_ms = epoch_ms();
    crashes.iter().map(|&(run, age_ms)| (run, now_epoch_ms.saturating_sub(age_ms))).collect()
}

fn epoch_ms() -> u64 {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX)
}
