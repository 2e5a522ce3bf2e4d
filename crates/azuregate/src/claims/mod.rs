/*!
Lets a request with an idempotency key run at most once.

A key is claimed in one of two places. Without `Azuregate-Home`, its claim is a
row of the platform (`rows`). With it, the claim is in the memory of the
instance and start that the header names (`home`); that form needs no platform.
*/

mod answer;
mod cleanup;
mod held;
mod home;
mod rows;
mod upkeep;

use std::{sync::Arc, time::Duration};

use azuregate_core::{
    claim::{Decision, Settled, StoredResponse},
    error::{Error, ErrorKind, Outcome},
    home::HomeToken,
    names::{InstanceId, ServiceName, StartNumber},
    snapshot::Snapshot,
};
use hyper::Response;
use tokio::time;

use crate::{body::Body, clock::SharedClock, config::Snapshots, platform::SharedPlatform};

pub use cleanup::Cleaner;

use self::{held::HeldRow, home::Home, rows::Rows};

/// How long a planned stop waits for the platform.
const FINISH_LIMIT: Duration = Duration::from_secs(10);

/// Makes and settles claims.
pub struct Claims {
    instance: InstanceId,
    start: StartNumber,
    clock: SharedClock,
    platform: SharedPlatform,
    rows: Rows,
    home: Home,
}

/// A request that wants to run.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The caller's key.
    pub key: &'a str,
    /// Hash of the request.
    pub fingerprint: u64,
    /// How much time it has left.
    pub remaining_ms: u64,
}

/// A claim that a request holds while it runs.
#[derive(Debug)]
pub struct HeldClaim(Held);

#[derive(Debug)]
enum Held {
    Row(HeldRow),
    Home(home::HeldKey),
}

/// What a request with a key may do, and what it holds while it does.
#[derive(Debug)]
pub enum Claimed {
    /// Run it, and settle the claim.
    Run(HeldClaim),
    /// Give the kept answer.
    Repeat(StoredResponse),
}

impl Claims {
    /// Makes claims for this start of `instance`.
    pub fn new(
        platform: SharedPlatform,
        clock: SharedClock,
        snapshots: Snapshots,
        instance: &InstanceId,
        start: StartNumber,
    ) -> Claims {
        let owner = rows::Owner { instance: instance.clone(), start };
        let rows = Rows::start(Arc::clone(&platform), clock.clone(), snapshots, owner);
        let home = Home::start(start, clock.clone());
        Claims { instance: instance.clone(), start, clock, platform, rows, home }
    }

    /// The home to name to callers of `instance`, if its start is known.
    pub fn home_token(&self, instance: &InstanceId, snapshot: &Snapshot) -> Option<HomeToken> {
        let start =
            if *instance == self.instance { self.start } else { *snapshot.starts.get(instance)? };
        let issued_at_ms = self.clock.epoch();
        Some(HomeToken { instance: instance.clone(), start, issued_at_ms })
    }

    /// Whether `home` names this instance, by whatever start.
    pub fn is_here(&self, home: &HomeToken) -> bool {
        home.instance == self.instance
    }

    /// Claims the key for a request, in the platform or at its home here.
    ///
    /// # Errors
    ///
    /// When the request may not run, when the claim was not made, or when that is
    /// not known; in none of these cases has anything been sent.
    pub async fn claim(
        &self,
        wanted: Wanted<'_>,
        home: Option<&HomeToken>,
    ) -> Result<Claimed, Error> {
        let (verdict, held) = match home {
            None => {
                let (verdict, held) = self.rows.claim(wanted).await?;
                (verdict, Held::Row(held))
            }
            Some(home) if home.start != self.start => {
                // This start knows nothing of what the other one ran.
                let detail = format!("start {} of {} is gone", home.start, home.instance);
                return Err(Error::new(ErrorKind::HomeGone, detail));
            }
            Some(home) => {
                let (verdict, held) = self.home.claim(wanted, home.issued_at_ms).await?;
                (verdict, Held::Home(held))
            }
        };
        match verdict {
            Decision::Run => Ok(Claimed::Run(HeldClaim(held))),
            Decision::Replay(kept) => Ok(Claimed::Repeat(kept)),
            Decision::Reject(kind) => {
                Err(Error::new(kind, format!("the idempotency key is {:?}", wanted.key)))
            }
        }
    }

    /// Keeps the answer of a request that ran, or gives the claim up if it
    /// certainly did not run.
    ///
    /// # Errors
    ///
    /// The error of the request itself, or that its answer could not be read.
    pub async fn settle(
        &self,
        held: HeldClaim,
        result: Result<Response<Body>, Error>,
    ) -> Result<Response<Body>, Error> {
        let response = match result {
            Ok(response) => response,
            Err(e) if e.outcome() == Outcome::NotRun => {
                self.release(held);
                return Err(e);
            }
            Err(e) => {
                self.record(held, Settled::Unknown, None).await;
                return Err(e);
            }
        };
        match answer::read(response).await {
            Ok(answer::Read::Whole(read)) => {
                let (kept, bytes) = read.kept();
                self.record(held, Settled::Answer(kept), Some(bytes)).await;
                Ok(read.into_response())
            }
            Ok(answer::Read::TooLarge(response)) => {
                self.record(held, Settled::NotKept, None).await;
                Ok(response)
            }
            Err(e) => {
                self.record(held, Settled::Unknown, None).await;
                Err(e)
            }
        }
    }

    /// Gives the kept answer again.
    ///
    /// # Errors
    ///
    /// When the body cannot be read from the object store.
    pub async fn replay(&self, kept: StoredResponse) -> Result<Response<Body>, Error> {
        answer::replay(self.platform.as_ref(), kept).await
    }

    /// Waits until the platform has what it is to keep, for a limited time.
    pub async fn finish(&self) {
        if time::timeout(FINISH_LIMIT, self.rows.finish()).await.is_err() {
            log::warn!("claims left that the platform did not take");
        }
    }

    async fn record(&self, held: HeldClaim, settled: Settled, body: Option<bytes::Bytes>) {
        match held.0 {
            Held::Row(row) => self.rows.settle(row, settled, body).await,
            Held::Home(key) => self.home.settle(key, settled),
        }
    }

    fn release(&self, held: HeldClaim) {
        match held.0 {
            Held::Row(row) => self.rows.release(row),
            Held::Home(key) => self.home.release(key),
        }
    }
}
