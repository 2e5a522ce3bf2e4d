//! Forwards a request to a backend server and retries it where that is safe.

use std::{sync::Arc, time::Duration};

use azuregate_core::{
    error::{Error, ErrorKind, Outcome, Retry},
    route::Completion,
};
use hyper::{Response, http::request};
use tokio::time;

use crate::{
    backend::BackendConn,
    body::Body,
    gateway::{Attributes, GatewayContext, payload::Payload, retries::ServiceRetries},
    selector::{IncomingHandOver, Lease, Selector, SlotRequest},
};

/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: usize = 3;

/// Forwards one request.
///
/// Owns its state, because a request with an idempotency key continues after its
/// client disconnects.
pub(crate) struct Forwarder {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) selector: Selector,
    pub(crate) retries: ServiceRetries,
    pub(crate) attributes: Attributes,
    /// Deadline on the monotonic clock.
    pub(crate) deadline_ms: u64,
    pub(crate) queue_ms: u64,
    /// Set if another instance handed the request over.
    pub(crate) incoming_hand_over: Option<IncomingHandOver>,
}

/// A failed attempt, with the body if it can be resent.
struct FailedAttempt {
    error: Error,
    payload: Option<Payload>,
    /// Whether the retry has already been charged to the budget.
    retry_charged: bool,
}

/// The connection of one attempt.
pub(crate) struct AttemptConn {
    pub(crate) conn: Box<dyn BackendConn>,
    pub(crate) pooled: bool,
}

impl Forwarder {
    /// Forwards the request, retrying where the error kind allows it.
    pub(crate) async fn run(
        &self,
        head: &request::Parts,
        mut payload: Payload,
    ) -> Result<Response<Body>, Error> {
        self.retries.deposit();
        let mut attempt = 1;
        let mut may_have_run = false;
        loop {
            let failed = match self.attempt(head, payload, attempt).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            may_have_run |= failed.error.outcome() == Outcome::Unknown;
            let may_retry = self.may_retry(&failed, attempt);
            let Some(retry_payload) = failed.payload.filter(|_| may_retry) else {
                // Even if the last attempt did not run, an earlier one may have.
                let error = failed.error;
                return Err(if may_have_run {
                    error.with_unknown_earlier_attempt()
                } else {
                    error
                });
            };
            payload = retry_payload;
            attempt += 1;
        }
    }

    fn may_retry(&self, failed: &FailedAttempt, attempt: usize) -> bool {
        if failed.payload.is_none() || attempt >= MAX_ATTEMPTS || self.remaining_ms() == 0 {
            return false;
        }
        if failed.retry_charged {
            return true;
        }
        let kind = failed.error.kind();
        let at_backend = matches!(
            kind,
            ErrorKind::BackendInvalid
                | ErrorKind::BackendLost
                | ErrorKind::BackendRefused
                | ErrorKind::ConnectFailed
        );
        // A refusal costs a backend server little. Only retries of attempts that
        // may have run are charged to the budget.
        at_backend
            && match kind.response().retry {
                Retry::Always => true,
                Retry::IfIdempotent => self.attributes.idempotent && self.retries.try_take(),
                Retry::Never => false,
            }
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.context.clock.now().0)
    }

    fn slot_request(&self, body_bytes: u64) -> SlotRequest {
        let remaining_ms = self.remaining_ms();
        let max_wait_ms = self.queue_ms.min(remaining_ms);
        let idempotent = self.attributes.idempotent;
        SlotRequest {
            max_wait_ms,
            remaining_ms,
            body_bytes,
            idempotent,
            incoming_hand_over: self.incoming_hand_over.clone(),
        }
    }

    async fn attempt(
        &self,
        head: &request::Parts,
        payload: Payload,
        attempt: usize,
    ) -> Result<Response<Body>, FailedAttempt> {
        let (lease, attempt_conn) = match self
            .acquire_connection(attempt, payload.body_bytes())
            .await
        {
            Ok(acquired) => acquired,
            Err(error) => {
                return Err(FailedAttempt { error, payload: Some(payload), retry_charged: false });
            }
        };
        let (body, retry_payload) = payload.into_body();
        let abandon_after_ms =
            self.abandon_after_ms(&lease, &attempt_conn, retry_payload.is_some());
        let request = self.outgoing(&lease, head, body);
        self.send(lease, attempt_conn, request, abandon_after_ms).await.map_err(
            |(error, retry_charged)| FailedAttempt { error, payload: retry_payload, retry_charged },
        )
    }

    /// Acquires a slot of a backend server and a connection to it.
    async fn acquire_connection(
        &self,
        attempt: usize,
        body_bytes: u64,
    ) -> Result<(Lease, AttemptConn), Error> {
        self.check_deadline()?;
        let mut lease = self.selector.acquire(self.slot_request(body_bytes)).await?;
        let attempt_conn = self.connect(&mut lease, attempt).await?;
        self.check_deadline()?;
        Ok((lease, attempt_conn))
    }

    /// Fails once the deadline has passed.
    ///
    /// Checked after each wait: otherwise a process that was paused would, on
    /// resuming, send a request that its client has already given up.
    fn check_deadline(&self) -> Result<(), Error> {
        if self.remaining_ms() == 0 {
            return Err(Error::new(
                ErrorKind::DeadlineBeforeSend,
                "deadline reached before the request was sent",
            ));
        }
        Ok(())
    }

    /// Takes a pooled connection for the first attempt. Retries open a new one,
    /// because the failure may affect all pooled connections to the server.
    async fn connect(&self, lease: &mut Lease, attempt: usize) -> Result<AttemptConn, Error> {
        if attempt == 1
            && let Some(pooled) = self.context.pool.take(lease.addr).await
        {
            return Ok(AttemptConn { conn: pooled.conn, pooled: true });
        }
        let remaining = Duration::from_millis(self.remaining_ms());
        match time::timeout(remaining, self.context.dialer.dial(lease.addr)).await {
            Ok(Ok(conn)) => Ok(AttemptConn { conn, pooled: false }),
            Ok(Err(e)) => {
                lease.set_completion(Completion::Failed);
                let detail = format!("cannot connect to {} at {}: {e}", lease.backend, lease.addr);
                Err(Error::new(ErrorKind::ConnectFailed, detail))
            }
            Err(_) => {
                lease.set_completion(Completion::Failed);
                let detail = format!("connecting to {} exceeded the deadline", lease.backend);
                Err(Error::new(ErrorKind::DeadlineBeforeSend, detail))
            }
        }
    }

    /// Returns the time after which this attempt is abandoned and retried on a new
    /// connection, or `None` if it waits for the deadline.
    ///
    /// A middlebox may silently drop the state of a pooled connection; without this
    /// timeout, a request on it would wait for its whole deadline. Only idempotent
    /// requests are resent. Hand-overs are excluded, because they may wait in the
    /// dispatcher's queue.
    fn abandon_after_ms(
        &self,
        lease: &Lease,
        attempt_conn: &AttemptConn,
        repeatable: bool,
    ) -> Option<u64> {
        let elsewhere = lease.outgoing_hand_over.is_some();
        if elsewhere || !attempt_conn.pooled || !repeatable || !self.attributes.idempotent {
            return None;
        }
        self.retries
            .late_after_ms()
            .filter(|abandon_after_ms| *abandon_after_ms < self.remaining_ms())
    }
}
