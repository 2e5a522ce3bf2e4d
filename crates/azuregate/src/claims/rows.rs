//! Claims that are stored as rows in the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use azuregate_core::{
    claim::{self, AttemptId, Claim, Decision, Settled, StoredBody},
    error::{Error, ErrorKind},
    names::{InstanceId, StartNumber},
    time::Millis,
};
use bytes::Bytes;
use tokio::time;

use crate::{
    claims::{
        ClaimRequest,
        held::HeldRow,
        retry_queue::{PendingWrite, RetryQueue},
    },
    clock::SharedClock,
    config::Snapshots,
    platform::{Commit, Effect, Expect, PlatformError, SharedPlatform},
};

/// A larger response body is stored as an object instead of in the row.
const INLINE_LIMIT_BYTES: usize = 4 << 10;
const MAX_INSERT_ATTEMPTS: usize = 3;
/// Time after its deadline in which an owner may still write the response.
const SETTLE_GRACE_MS: u64 = 10_000;

/// The instance and start that own the claims made here.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) instance: InstanceId,
    pub(crate) start: StartNumber,
}

/// Inserts and updates claim rows.
pub(crate) struct Rows {
    platform: SharedPlatform,
    clock: SharedClock,
    snapshots: Snapshots,
    owner: Owner,
    sequence: AtomicU64,
    retry_queue: RetryQueue,
}

impl Rows {
    /// Creates the claims of `owner` and starts the task that retries failed writes.
    pub(crate) fn start(
        platform: SharedPlatform,
        clock: SharedClock,
        snapshots: Snapshots,
        owner: Owner,
    ) -> Rows {
        let retry_queue = RetryQueue::start(Arc::clone(&platform), clock.clone());
        Rows { platform, clock, snapshots, owner, sequence: AtomicU64::new(0), retry_queue }
    }

    /// Inserts the claim of a request, or decides by the existing one.
    pub(crate) async fn claim(
        &self,
        request: ClaimRequest<'_>,
    ) -> Result<(Decision, HeldRow), Error> {
        let attempt = AttemptId {
            instance: self.owner.instance.clone(),
            start: self.owner.start,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let made_at_ms = self.clock.epoch();
        let until_ms = made_at_ms + Millis(request.remaining_ms + SETTLE_GRACE_MS);
        let fingerprint = request.fingerprint;
        let claim = Claim { attempt, fingerprint, made_at_ms, until_ms, settled: None };
        let key = format!("{}/{}", request.service, request.key);
        let held = HeldRow { key, row_version: 1, claim };
        let limit = Duration::from_millis(request.remaining_ms);
        let inserted = time::timeout(limit, self.insert(held.clone())).await;
        inserted.unwrap_or_else(|_| {
            self.retry_queue.add(PendingWrite::Release(held));
            Err(earlier_unknown(
                ErrorKind::ClaimUnknown,
                "deadline exceeded while claiming the key",
            ))
        })
    }

    /// Inserts the row, retrying on errors. A retry is safe: the attempt in the row
    /// tells whether an earlier insert took effect whose response was lost.
    async fn insert(&self, mut held: HeldRow) -> Result<(Decision, HeldRow), Error> {
        let write = held.write(Expect::Absent)?;
        let mut may_be_inserted = false;
        let mut detail = "the claim of another request was just deleted".to_owned();
        for _ in 0..MAX_INSERT_ATTEMPTS {
            match self.platform.transact(std::slice::from_ref(&write)).await {
                Ok(Commit::Done(versions)) => {
                    held.row_version = versions.first().copied().unwrap_or(1);
                    return Ok((Decision::Run, held));
                }
                Ok(Commit::Conflict { row: Some(row), .. }) => {
                    let existing: Claim = serde_json::from_value(row.value).map_err(internal)?;
                    held.row_version = row.version;
                    let live = self.may_still_run(&existing);
                    let own = &held.claim;
                    let verdict = claim::decide(&existing, &own.attempt, own.fingerprint, live);
                    return Ok((verdict, held));
                }
                Ok(Commit::Conflict { row: None, .. }) => {}
                Err(e) => {
                    may_be_inserted |= e.effect() == Effect::Unknown;
                    detail = e.to_string();
                }
            }
        }
        if !may_be_inserted {
            return Err(earlier_unknown(ErrorKind::ClaimNotMade, detail));
        }
        // The request is not sent, so a row that was inserted must not block a
        // repeated request.
        self.retry_queue.add(PendingWrite::Release(held));
        Err(earlier_unknown(ErrorKind::ClaimUnknown, detail))
    }

    /// Returns whether the owner of a claim may still be running its request. This
    /// selects the error that a repeated request gets, which is not run either way.
    fn may_still_run(&self, claim: &Claim) -> bool {
        let owner = &claim.attempt;
        let snapshot = self.snapshots.current();
        let latest = match owner.instance == self.owner.instance {
            true => Some(&self.owner.start),
            false => snapshot.starts.get(&owner.instance),
        };
        let other_start = latest.is_some_and(|latest| *latest > owner.start);
        let listed = snapshot.instances.iter().any(|instance| instance.id == owner.instance);
        listed && !other_start && self.clock.epoch() <= claim.until_ms
    }

    /// Stores how a request ended; a failed write is retried in the background.
    pub(crate) async fn settle(
        &self,
        mut held: HeldRow,
        mut settled: Settled,
        body: Option<Bytes>,
    ) {
        let mut object = None;
        if let Settled::Answer(stored) = &mut settled
            && let Some(bytes) = body.filter(|bytes| bytes.len() > INLINE_LIMIT_BYTES)
        {
            // With the attempt in its name, the object belongs to one request only.
            let name = format!("answer/{}/{}", held.key, held.claim.attempt);
            stored.body = StoredBody::Object(name.clone());
            object = Some((name, bytes));
        }
        held.claim.settled = Some(settled);
        let pending = PendingWrite::Settle { held, object };
        if pending.is_expired(self.clock.epoch()) {
            return;
        }
        if let Err(e) = pending.run(self.platform.as_ref()).await {
            // The caller gets the response nevertheless. Until a retry succeeds, a
            // repeated request is told that this one is in progress.
            log::warn!(error:% = e; "failed to store response; will retry");
            self.retry_queue.add(pending);
        }
    }

    /// Waits until the retry queue is empty.
    pub(crate) async fn flush(&self) {
        self.retry_queue.flush().await;
    }

    /// Deletes the claim of a request that certainly did not run, in the background.
    pub(crate) fn release(&self, held: HeldRow) {
        self.retry_queue.add(PendingWrite::Release(held));
    }
}

/// Creates an error from before the claim was read, when an earlier request may
/// have used the key.
fn earlier_unknown(kind: ErrorKind, detail: impl Into<String>) -> Error {
    Error::new(kind, detail).with_unknown_earlier_attempt()
}

fn internal(e: impl ToString) -> Error {
    Error::new(ErrorKind::Internal, e.to_string())
}

impl From<PlatformError> for Error {
    fn from(e: PlatformError) -> Error {
        internal(e)
    }
}
