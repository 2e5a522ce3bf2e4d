//! Keeps the quarantined requests in the store.
//!
//! The instances tell each other what is quarantined. If all of them restart at once, only the
//! store remembers it.

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
/// Bounds the rows and the time that an instance takes to read them.
const MAX_ROWS: usize = 64;

/// Loads the rows, then writes and removes rows until the process ends.
pub(super) async fn serve(state: Rc<State>) {
    let mut rows = QuarantineRows {
        store: StoreClient::new(state.settings.store_addr),
        stored: BTreeMap::new(),
        state: Rc::clone(&state),
    };
    while let Err(e) = rows.load().await {
        log::warn!(error:% = e; "cannot read quarantined requests");
        time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    let mut ticks = state.timer.subscribe(CHECK_INTERVAL_MS);
    while ticks.recv().await.is_some() {
        if let Err(e) = rows.update().await {
            log::warn!(error:% = e; "cannot store quarantined requests");
            time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

struct QuarantineRows {
    state: Rc<State>,
    store: StoreClient,
    /// The crashes in each row, as far as this instance has read or written it.
    stored: BTreeMap<Fingerprint, Vec<BackendRun>>,
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
        Ok(())
    }

    /// Writes the requests that are quarantined now and removes the others. Of all instances,
    /// only the responsible one does so.
    async fn update(&mut self) -> Result<(), StoreError> {
        let quarantined = self.state.quarantine.borrow().quarantined_crashes();
        if quarantined.is_empty() && self.stored.is_empty() {
            return Ok(());
        }
        for (request, crashes) in quarantined.iter().take(MAX_ROWS) {
            let runs: Vec<BackendRun> = crashes.iter().map(|(run, _)| *run).collect();
            if self.stored.get(request) == Some(&runs) {
                continue;
            }
            if self.state.is_responsible(*request) {
                let value = crashes::encode(self.with_epoch_times(crashes));
                self.store.put_quarantined(&crashes::key(*request), &value).await?;
            }
            self.stored.insert(*request, runs);
        }
        let released = self.stored.keys().find(|request| !quarantined.contains_key(request));
        if let Some(request) = released.copied() {
            if self.state.is_responsible(request) {
                self.store.remove_quarantined(&crashes::key(request)).await?;
            }
            self.stored.remove(&request);
        }
        Ok(())
    }

    fn with_epoch_times(&self, crashes: &[(BackendRun, u64)]) -> crashes::TimedCrashes {
        let (now_ms, now_epoch_ms) = (self.state.now_ms(), epoch_ms());
        let at_epoch_ms = |at_ms: u64| now_epoch_ms.saturating_sub(now_ms.saturating_sub(at_ms));
        crashes.iter().map(|&(run, at_ms)| (run, at_epoch_ms(at_ms))).collect()
    }
}

fn epoch_ms() -> u64 {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX)
}
