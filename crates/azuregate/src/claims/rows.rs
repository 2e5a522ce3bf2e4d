//! Claims as rows of the platform.

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
        Wanted,
        held::HeldRow,
        upkeep::{Upkeep, Work},
    },
    clock::SharedClock,
    config::Snapshots,
    platform::{Commit, Effect, Expect, PlatformError, SharedPlatform},
};

/// The largest answer body that is kept in the row itself, in bytes.
const INLINE_LIMIT_BYTES: usize = 4 << 10;
/// How often a claim with an unknown effect is tried again.
const CLAIM_ATTEMPTS: usize = 3;
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
    upkeep: Upkeep,
}

impl Rows {
    /// Starts the task that catches up on writes that failed.
    pub(crate) fn start(
        platform: SharedPlatform,
        clock: SharedClock,
        snapshots: Snapshots,
        owner: Owner,
    ) -> Rows {
        let upkeep = Upkeep::start(Arc::clone(&platform), clock.clone());
        Rows { platform, clock, snapshots, owner, sequence: AtomicU64::new(0), upkeep }
    }

    /// Inserts the claim of a request, or judges the one that is there.
    pub(crate) async fn claim(&self, wanted: Wanted<'_>) -> Result<(Decision, HeldRow), Error> {
        let attempt = AttemptId {
            instance: self.owner.instance.clone(),
            start: self.owner.start,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let made_at_ms = self.clock.epoch();
        let until_ms = made_at_ms + Millis(wanted.remaining_ms + SETTLE_GRACE_MS);
        let fingerprint = wanted.fingerprint;
        let claim = Claim { attempt, fingerprint, made_at_ms, until_ms, settled: None };
        let key = format!("{}/{}", wanted.service, wanted.key);
        let held = HeldRow { key, row_version: 1, claim };
        let limit = Duration::from_millis(wanted.remaining_ms);
        let inserted = time::timeout(limit, self.insert(held.clone())).await;
        inserted.unwrap_or_else(|_| {
            self.upkeep.add(Work::Release(held));
            Err(unsure(ErrorKind::ClaimUnknown, "no time left to claim the key"))
        })
    }

    /// Inserting again is safe: the row tells by its attempt whether an insert
    /// whose answer was lost had taken effect.
    async fn insert(&self, mut held: HeldRow) -> Result<(Decision, HeldRow), Error> {
        let write = held.write(Expect::Absent)?;
        let mut may_be_there = false;
        let mut detail = "the claim changed hands".to_owned();
        for _ in 0..CLAIM_ATTEMPTS {
            match self.platform.transact(std::slice::from_ref(&write)).await {
                Ok(Commit::Done(versions)) => {
                    held.row_version = versions.first().copied().unwrap_or(1);
                    return Ok((Decision::Run, held));
                }
                Ok(Commit::Conflict { row: Some(row), .. }) => {
                    let there: Claim = serde_json::from_value(row.value).map_err(internal)?;
                    held.row_version = row.version;
                    let live = self.may_run_still(&there);
                    let mine = &held.claim;
                    let verdict = claim::decide(&there, &mine.attempt, mine.fingerprint, live);
                    return Ok((verdict, held));
                }
                Ok(Commit::Conflict { row: None, .. }) => {}
                Err(e) => {
                    may_be_there |= e.effect() == Effect::Unknown;
                    detail = e.to_string();
                }
            }
        }
        if !may_be_there {
            return Err(unsure(ErrorKind::ClaimNotMade, detail));
        }
        // Nothing was sent under this claim, so it must not stand in the way of
        // the repeat.
        self.upkeep.add(Work::Release(held));
        Err(unsure(ErrorKind::ClaimUnknown, detail))
    }

    /// Whether the owner of a claim may still be at work on it. The answer never
    /// lets anyone else run the request; it only words the refusal.
    fn may_run_still(&self, claim: &Claim) -> bool {
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
            kept.body = StoredBody::Object(name.clone());
            object = Some((name, bytes));
        }
        held.claim.settled = Some(settled);
        let work = Work::Settle { held, object };
        if work.is_too_late(self.clock.epoch()) {
            return;
        }
        if let Err(e) = work.run(self.platform.as_ref()).await {
            // The request ran, and its caller gets the answer. Until the write
            // is caught up with, a repeat is told that it is in progress.
            log::warn!(error:% = e; "answer not kept yet");
            self.upkeep.add(work);
        }
    }

    /// Waits until all that was to be caught up with is written.
    pub(crate) async fn finish(&self) {
        self.upkeep.finish().await;
    }

    /// Gives up a claim whose request certainly did not run, without keeping its
    /// caller waiting.
    pub(crate) fn release(&self, held: HeldRow) {
        self.upkeep.add(Work::Release(held));
    }
}

/// An error before the claim was read: an earlier request may have used the key.
fn unsure(kind: ErrorKind, detail: impl Into<String>) -> Error {
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
