//! Lets a request with an idempotency key run at most once.

use std::sync::atomic::{AtomicU64, Ordering};

use azuregate_core::{
    claim::{self, AttemptId, Claim, KeptAnswer, KeptBody, Verdict},
    error::{Error, ErrorKind},
    names::{InstanceId, ServiceName, StartNumber},
};
use bytes::Bytes;
use hyper::Response;

use crate::{
    body::{self, Body},
    clock::SharedClock,
    platform::{Commit, Effect, Expect, SharedPlatform, Table, Write},
};

/// The largest answer body that is kept for repeats, in bytes.
const KEPT_LIMIT_BYTES: usize = 16 << 20;
/// The largest answer body that is kept in the row itself, in bytes.
const INLINE_LIMIT_BYTES: usize = 4 << 10;
/// How often a claim with an unknown effect is tried again.
const CLAIM_ATTEMPTS: usize = 3;

/// Makes and settles claims.
pub struct Claims {
    platform: SharedPlatform,
    clock: SharedClock,
    instance: InstanceId,
    start: StartNumber,
    sequence: AtomicU64,
}

/// A claim that a request holds while it runs.
#[derive(Debug)]
pub struct HeldClaim {
    key: String,
    row_version: u64,
    claim: Claim,
}

impl Claims {
    /// Makes claims for this start of `instance`.
    pub fn new(
        platform: SharedPlatform,
        clock: SharedClock,
        instance: &InstanceId,
        start: StartNumber,
    ) -> Claims {
        let instance = instance.clone();
        Claims { platform, clock, instance, start, sequence: AtomicU64::new(0) }
    }

    /// Claims the key for a request, or tells why it may not run.
    ///
    /// # Errors
    ///
    /// When the claim was not made, or when that is not known; in neither case
    /// has anything been sent.
    pub async fn claim(
        &self,
        service: &ServiceName,
        key: &str,
        fingerprint: u64,
    ) -> Result<(Verdict, HeldClaim), Error> {
        let attempt = AttemptId {
            instance: self.instance.clone(),
            start: self.start,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let made_at_ms = self.clock.epoch();
        let claim = Claim { attempt, fingerprint, made_at_ms, answer: None };
        let key = format!("{service}/{key}");
        let mut held = HeldClaim { key, row_version: 1, claim };
        let write = held.write(Expect::Absent)?;
        // Inserting again is safe: the row tells by its attempt whether an
        // insert whose answer was lost had taken effect.
        let mut last = None;
        for _ in 0..CLAIM_ATTEMPTS {
            match self.platform.transact(std::slice::from_ref(&write)).await {
                Ok(Commit::Done(versions)) => {
                    held.row_version = versions.first().copied().unwrap_or(1);
                    return Ok((Verdict::Run, held));
                }
                Ok(Commit::Conflict { row: Some(row), .. }) => {
                    let there: Claim = serde_json::from_value(row.value).map_err(internal)?;
                    held.row_version = row.version;
                    // A live owner and a dead one are not told apart yet.
                    let verdict = claim::judge(&there, &held.claim.attempt, fingerprint, true);
                    return Ok((verdict, held));
                }
                Ok(Commit::Conflict { row: None, .. }) => continue,
                Err(e) => last = Some(e),
            }
        }
        let kind = match last.as_ref().map(|e| e.effect()) {
            Some(Effect::None) => ErrorKind::ClaimNotMade,
            _ => ErrorKind::ClaimUnknown,
        };
        let detail = last.map_or_else(|| "the claim changed hands".to_owned(), |e| e.to_string());
        Err(Error::new(kind, detail))
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
        match result {
            Ok(response) => self.keep(held, response).await,
            Err(e) => {
                if e.kind().answer().outcome == azuregate_core::error::Outcome::NotRun {
                    self.release(&held).await;
                }
                Err(e)
            }
        }
    }

    /// Gives the kept answer again.
    ///
    /// # Errors
    ///
    /// When the body cannot be read from the object store.
    pub async fn replay(&self, kept: KeptAnswer) -> Result<Response<Body>, Error> {
        let bytes = match kept.body {
            KeptBody::Inline(bytes) => Bytes::from(bytes),
            KeptBody::Object(name) => {
                let object = self.platform.get_object(&name).await;
                let object =
                    object.map_err(|e| Error::new(ErrorKind::ClaimUnknown, e.to_string()))?;
                object.ok_or_else(|| internal(format!("the object {name} is gone")))?
            }
        };
        let mut builder = Response::builder().status(kept.status);
        for (name, value) in &kept.headers {
            builder = builder.header(name, value);
        }
        builder.body(body::full(bytes)).map_err(internal)
    }

    async fn keep(
        &self,
        held: HeldClaim,
        response: Response<Body>,
    ) -> Result<Response<Body>, Error> {
        let (head, body) = response.into_parts();
        let bytes = body::collect(body, KEPT_LIMIT_BYTES)
            .await
            .map_err(|e| Error::new(ErrorKind::BackendLost, e.to_string()))?;
        let body = if bytes.len() <= INLINE_LIMIT_BYTES {
            KeptBody::Inline(bytes.to_vec())
        } else {
            KeptBody::Object(format!("answer/{}", held.key))
        };
        let headers = head
            .headers
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        let kept = KeptAnswer { status: head.status.as_u16(), headers, body };
        if let Err(e) = self.write_answer(held, kept, &bytes).await {
            // The request ran, and the caller gets its answer. A repeat finds
            // the claim without an answer and is told that the outcome is
            // unknown, which is true, if less than could have been known.
            log::warn!(error:% = e; "answer not kept");
        }
        Ok(Response::from_parts(head, body::full(bytes)))
    }

    async fn write_answer(
        &self,
        mut held: HeldClaim,
        kept: KeptAnswer,
        bytes: &Bytes,
    ) -> Result<(), Error> {
        let as_error = |e: crate::platform::PlatformError| internal(e);
        if let KeptBody::Object(name) = &kept.body {
            self.platform.put_object(name, bytes.clone()).await.map_err(as_error)?;
        }
        held.claim.answer = Some(kept);
        let write = held.write(Expect::Version(held.row_version))?;
        self.platform.transact(&[write]).await.map_err(as_error)?;
        Ok(())
    }

    async fn release(&self, held: &HeldClaim) {
        let write = Write {
            table: Table::Claim,
            key: held.key.clone(),
            expect: Expect::Version(held.row_version),
            value: None,
        };
        if let Err(e) = self.platform.transact(&[write]).await {
            log::warn!(key:% = held.key, error:% = e; "claim not given up");
        }
    }
}

impl HeldClaim {
    fn write(&self, expect: Expect) -> Result<Write, Error> {
        let value = serde_json::to_value(&self.claim).map_err(internal)?;
        Ok(Write { table: Table::Claim, key: self.key.clone(), expect, value: Some(value) })
    }
}

fn internal(e: impl ToString) -> Error {
    Error::new(ErrorKind::Internal, e.to_string())
}
