//! Writes to claim rows that nobody waits for, tried until they are through.

use std::time::Duration;

use azuregate_core::claim::Claim;
use bytes::Bytes;
use tokio::{sync::mpsc, time};

use crate::{
    claims::rows::HeldRow,
    clock::SharedClock,
    platform::{Effect, Expect, Platform, PlatformError, SharedPlatform, Table},
};

/// How many writes wait at the most. One more is dropped: its repeat is told
/// `unknown`, which is less than could be known, and not false.
const WAITING_LIMIT: usize = 4_096;
/// For how long a claim is caught up with.
const PATIENCE_MS: u64 = 3_600_000;
/// How long to wait after a write that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// A write to catch up with.
pub(crate) enum Work {
    /// Take away the row of a request that did not run.
    Release(HeldRow),
    /// Keep how a request ended, with the body of its answer if that is large.
    Settle { held: HeldRow, object: Option<(String, Bytes)> },
}

/// A handle to the task that does the work.
pub(crate) struct Upkeep {
    sender: mpsc::Sender<Work>,
}

impl Upkeep {
    /// Starts the task; it ends when the handle is dropped and the work is done.
    pub(crate) fn start(platform: SharedPlatform, clock: SharedClock) -> Upkeep {
        let (sender, receiver) = mpsc::channel(WAITING_LIMIT);
        tokio::spawn(serve(platform, clock, receiver));
        Upkeep { sender }
    }

    /// Adds work, unless too much waits already.
    pub(crate) fn add(&self, work: Work) {
        if self.sender.try_send(work).is_err() {
            log::warn!("too many claims wait for the platform; one is left as it is");
        }
    }
}

async fn serve(platform: SharedPlatform, clock: SharedClock, mut receiver: mpsc::Receiver<Work>) {
    while let Some(work) = receiver.recv().await {
        while let Err(e) = work.run(platform.as_ref()).await {
            if clock.epoch() > work.held().give_up_at_ms(PATIENCE_MS) {
                log::warn!(key:% = work.held().key, error:% = e; "claim left as it is");
                break;
            }
            time::sleep(PAUSE).await;
        }
    }
}

impl Work {
    fn held(&self) -> &HeldRow {
        match self {
            Work::Release(held) | Work::Settle { held, .. } => held,
        }
    }

    /// Does the work; doing it again changes nothing.
    pub(crate) async fn run(&self, platform: &dyn Platform) -> Result<(), PlatformError> {
        match self {
            Work::Release(held) => release(platform, held).await,
            Work::Settle { held, object } => {
                if let Some((name, bytes)) = object {
                    platform.put_object(name, bytes.clone()).await?;
                }
                let write = held
                    .write(Expect::Version(held.row_version))
                    .map_err(|e| PlatformError::new(Effect::None, e.to_string()))?;
                // A conflict tells that the row was written already, by an
                // earlier try whose answer was lost: no one else writes it.
                platform.transact(&[write]).await.map(drop)
            }
        }
    }
}

/// Takes the row away if it is this attempt's own.
async fn release(platform: &dyn Platform, held: &HeldRow) -> Result<(), PlatformError> {
    let Some(row) = platform.read(Table::Claim, &held.key).await? else {
        return Ok(());
    };
    let is_mine = serde_json::from_value(row.value)
        .is_ok_and(|there: Claim| there.attempt == held.claim.attempt);
    if !is_mine {
        return Ok(());
    }
    platform.transact(&[held.delete(row.version)]).await.map(drop)
}
