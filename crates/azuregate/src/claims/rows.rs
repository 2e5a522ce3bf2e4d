//! Claims as rows of the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use azuregate_core::{
    claim::{self, AttemptId, Claim, KeptBody, Settled, Verdict},
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

/// The largest answer body that is kept in the row itself, in bytes.
const INLINE_LIMIT_BYTES: usize = 4 << 10;
/// How often a claim with an unknown effect is tried again.
const MAX_INSERT_ATTEMPTS: usize = 3;
/// How long past its deadline an owner may still write the answer.
const SETTLE_GRACE_MS: u64 = 10_000;

/// Who makes claims.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) instance: InstanceId,
    pub(crate) start: StartNumber,
}

/// Makes and settles claim rows.
pub(crate) struct Rows {
    platform: SharedPlatform,
    clock: SharedClock,
    snapshots: Snapshots,
    owner: Owner,
    sequence: AtomicU64,
    retry_queue: RetryQueue,
}

impl Rows {
    /// Starts the task that catches up on writes that failed.
    pub(crate) fn start(
        platform: SharedPlatform,
        clock: SharedClock,
        snapshots: Snapshots,
        owner: Owner,
    ) -> Rows {
        let retry_queue = RetryQueue::start(Arc::clone(&platform), clock.clone());
        Rows { platform, clock, snapshots, owner, sequence: AtomicU64::new(0), retry_queue }
    }

    /// Inserts the claim of a request, or judges the one that is there.
    pub(crate) async fn claim(
        &self,
        request: ClaimRequest<'_>,
    ) -> Result<(Verdict, HeldRow), Error> {
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
            Err(earlier_unknown(ErrorKind::ClaimUnknown, "no time left to claim the key"))
        })
    }

    /// Inserting again is safe: the row tells by its attempt whether an insert
    /// whose answer was lost had taken effect.
    async fn insert(&self, mut held: HeldRow) -> Result<(Verdict, HeldRow), Error> {
        let write = held.write(Expect::Absent)?;
        let mut may_be_inserted = false;
        let mut detail = "the claim changed hands".to_owned();
        for _ in 0..MAX_INSERT_ATTEMPTS {
            match self.platform.transact(std::slice::from_ref(&write)).await {
                Ok(Commit::Done(versions)) => {
                    held.row_version = versions.first().copied().unwrap_or(1);
                    return Ok((Verdict::Run, held));
                }
                Ok(Commit::Conflict { row: Some(row), .. }) => {
                    let existing: Claim = serde_json::from_value(row.value).map_err(internal)?;
                    held.row_version = row.version;
                    let live = self.may_still_run(&existing);
                    let own = &held.claim;
                    let verdict = claim::judge(&existing, &own.attempt, own.fingerprint, live);
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
        // Nothing was sent under this claim, so it must not stand in the way of
        // the repeat.
        self.retry_queue.add(PendingWrite::Release(held));
        Err(earlier_unknown(ErrorKind::ClaimUnknown, detail))
    }

    /// Whether the owner of a claim may still be at work on it. The answer never
    /// lets anyone else run the request; it only words the refusal.
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

    /// Keeps how a request ended, later if the platform cannot take it now.
    pub(crate) async fn settle(
        &self,
        mut held: HeldRow,
        mut settled: Settled,
        body: Option<Bytes>,
    ) {
        let mut object = None;
        if let Settled::Answer(kept) = &mut settled
            && let Some(bytes) = body.filter(|bytes| bytes.len() > INLINE_LIMIT_BYTES)
        {
            // The name holds the attempt, so that no two requests share one.
            let name = format!("answer/{}/{}", held.key, held.claim.attempt);
            kept.body = KeptBody::Object(name.clone());
            object = Some((name, bytes));
        }
        held.claim.settled = Some(settled);
        let pending = PendingWrite::Settle { held, object };
        if pending.is_expired(self.clock.epoch()) {
            return;
        }
        if let Err(e) = pending.run(self.platform.as_ref()).await {
            // The request ran, and its caller gets the answer. Until the write
            // is caught up with, a repeat is told that it is in progress.
            log::warn!(error:% = e; "answer not kept yet");
            self.retry_queue.add(pending);
        }
    }

    /// Waits until all that was to be caught up with is written.
    pub(crate) async fn flush(&self) {
        self.retry_queue.flush().await;
    }

    /// Gives up a claim whose request certainly did not run, without keeping its
    /// caller waiting.
    pub(crate) fn release(&self, held: HeldRow) {
        self.retry_queue.add(PendingWrite::Release(held));
    }
}

/// An error before the claim was read: an earlier request may have used the key.
fn earlier_unknown(kind: ErrorKind, detail: impl Into<String>) -> Error {
    Error::new(kind, detail).with_earlier_unknown()
}

fn internal(e: impl ToString) -> Error {
    Error::new(ErrorKind::Internal, e.to_string())
}

impl From<PlatformError> for Error {
    fn from(e: PlatformError) -> Error {
        internal(e)
    }
}
