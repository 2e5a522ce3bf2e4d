/*!
Runs a request with an idempotency key at most once.

Before a request is sent to a backend server, its key is claimed in one of two
places. Without the header `Azuregate-Home`, the claim is a row in the platform
(`rows`). With it, the claim is kept in the memory of the instance and start that
the header names (`home`), without any call to the platform.
*/

mod cleanup;
mod held;
mod home;
mod response;
mod retry_queue;
mod rows;

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

pub use cleanup::ClaimCleaner;

use self::{held::HeldRow, home::Home, rows::Rows};

/// How long a planned stop waits for pending writes to the platform.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Claims idempotency keys and records how their requests ended.
pub struct Claims {
    instance: InstanceId,
    start: StartNumber,
    clock: SharedClock,
    platform: SharedPlatform,
    rows: Rows,
    home: Home,
}

/// A request to claim an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The service that the request is for; keys are unique per service.
    pub service: &'a ServiceName,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// Hash of the request, to detect a key that is used for another one.
    pub fingerprint: u64,
    /// Time left until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// A claim that a request owns while it runs.
#[derive(Debug)]
pub struct HeldClaim(Held);

#[derive(Debug)]
enum Held {
    Row(HeldRow),
    Home(home::HeldKey),
}

/// Whether a request runs or gets a stored response.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The request must be run, and the claim settled afterwards.
    Run(HeldClaim),
    /// The request ran before, with this response.
    Replay(StoredResponse),
}

impl Claims {
    /// Creates the claims of this start of `instance` and starts their tasks.
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

    /// Returns the token that names `instance` as the home of a key, if its start
    /// number is known.
    pub fn home_token(&self, instance: &InstanceId, snapshot: &Snapshot) -> Option<HomeToken> {
        let start =
            if *instance == self.instance { self.start } else { *snapshot.starts.get(instance)? };
        let issued_at_ms = self.clock.epoch();
        Some(HomeToken { instance: instance.clone(), start, issued_at_ms })
    }

    /// Returns whether `home` names this instance, at any of its starts.
    pub fn is_local(&self, home: &HomeToken) -> bool {
        home.instance == self.instance
    }

    /// Claims the key of a request, in the platform or in the memory of its home,
    /// which must be this instance.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run, if the claim was not made, or if it is not
    /// known whether it was. The request has then not been sent anywhere.
    pub async fn claim(
        &self,
        request: ClaimRequest<'_>,
        home: Option<&HomeToken>,
    ) -> Result<ClaimDecision, Error> {
        let (verdict, held) = match home {
            None => {
                let (verdict, held) = self.rows.claim(request).await?;
                (verdict, Held::Row(held))
            }
            Some(home) if home.start != self.start => {
                // Claims of another start are lost, so whether the request ran is
                // not known.
                let detail = format!("start {} of {} has ended", home.start, home.instance);
                return Err(Error::new(ErrorKind::HomeGone, detail));
            }
            Some(home) => {
                let (verdict, held) = self.home.claim(request, home.issued_at_ms).await?;
                (verdict, Held::Home(held))
            }
        };
        match verdict {
            Decision::Run => Ok(ClaimDecision::Run(HeldClaim(held))),
            Decision::Replay(stored) => Ok(ClaimDecision::Replay(stored)),
            Decision::Reject(kind) => {
                Err(Error::new(kind, format!("the idempotency key is {:?}", request.key)))
            }
        }
    }

    /// Stores the response to a request that ran, or releases the claim if the
    /// request certainly did not run.
    ///
    /// # Errors
    ///
    /// Returns the error of `result`, or the one of reading the response body.
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
        match response::buffer(response).await {
            Ok(response::Buffered::Complete(buffered)) => {
                let (stored, bytes) = buffered.to_stored();
                self.record(held, Settled::Answer(stored), Some(bytes)).await;
                Ok(buffered.into_response())
            }
            Ok(response::Buffered::TooLarge(response)) => {
                self.record(held, Settled::NotKept, None).await;
                Ok(response)
            }
            Err(e) => {
                self.record(held, Settled::Unknown, None).await;
                Err(e)
            }
        }
    }

    /// Returns a stored response to send to the caller.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be read from the object store.
    pub async fn replay(&self, stored: StoredResponse) -> Result<Response<Body>, Error> {
        response::replay(self.platform.as_ref(), stored).await
    }

    /// Waits until pending writes are in the platform, for at most 10 seconds.
    pub async fn flush(&self) {
        if time::timeout(FLUSH_TIMEOUT, self.rows.flush()).await.is_err() {
            log::warn!("timed out flushing pending claim writes");
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
