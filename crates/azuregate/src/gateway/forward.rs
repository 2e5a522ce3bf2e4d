//! Sends a request to a backend server, and again elsewhere where that is safe.

use std::{sync::Arc, time::Duration};

use azuregate_core::{
    error::{Error, ErrorKind, Retry},
    route::Ending,
};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, body::Body as _, header::HeaderValue, http::request};
use tokio::time;

use crate::{
    backend::{BackendConn, SendCause, SendError},
    body::{self, Body, Progress},
    config::{Change, Source},
    gateway::{
        Attributes, Parts,
        answer::OUTCOME,
        headers,
        lease_body::{Held, LeaseBody},
        payload::Payload,
        request::{REQUEST_ID, TIMEOUT_MS},
        retries::Retries,
    },
    selector::{Lease, Selector},
};

/// How often a request is tried at the most.
const ATTEMPTS: usize = 3;
/// The largest body of a refusal that is read so that its connection stays of
/// use, in bytes.
const REFUSAL_LIMIT_BYTES: u64 = 4 << 10;
/// How long such a body may take.
const REFUSAL_WAIT: Duration = Duration::from_millis(100);

/// One request on its way to a backend server.
///
/// It owns what it needs, since a request with an idempotency key goes on when
/// its caller has left.
pub(crate) struct Forward {
    pub(crate) parts: Arc<Parts>,
    pub(crate) selector: Selector,
    pub(crate) retries: Retries,
    pub(crate) attributes: Attributes,
    /// On the monotonic clock.
    pub(crate) deadline_ms: u64,
    pub(crate) queue_ms: u64,
}

/// A failed attempt, with the body if it can be sent again.
struct Failed {
    error: Error,
    payload: Option<Payload>,
    /// Whether the retry was paid for already.
    paid: bool,
}

/// A connection for one attempt.
struct Link {
    conn: Box<dyn BackendConn>,
    pooled: bool,
}

impl Forward {
    /// Runs the request, trying again where the table of answers allows it.
    pub(crate) async fn run(
        &self,
        head: &request::Parts,
        mut payload: Payload,
    ) -> Result<Response<Body>, Error> {
        self.retries.deposit();
        let mut attempt = 1;
        loop {
            let failed = match self.attempt(head, payload, attempt).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let may_retry = self.may_retry(&failed, attempt);
            let Some(again) = failed.payload.filter(|_| may_retry) else {
                return Err(failed.error);
            };
            payload = again;
            attempt += 1;
        }
    }

    fn may_retry(&self, failed: &Failed, attempt: usize) -> bool {
        if failed.payload.is_none() || attempt >= ATTEMPTS || self.remaining_ms() == 0 {
            return false;
        }
        if failed.paid {
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
        // A refusal costs a backend server next to nothing. What may have run
        // costs it a whole request, so only those draw on the budget.
        at_backend
            && match kind.answer().retry {
                Retry::Always => true,
                Retry::IfIdempotent => self.attributes.idempotent && self.retries.try_take(),
                Retry::Never => false,
            }
    }

    fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.parts.clock.now().0)
    }

    async fn attempt(
        &self,
        head: &request::Parts,
        payload: Payload,
        attempt: usize,
    ) -> Result<Response<Body>, Failed> {
        let (lease, link) = match self.reach(attempt).await {
            Ok(reached) => reached,
            Err(error) => return Err(Failed { error, payload: Some(payload), paid: false }),
        };
        let (body, again) = payload.send();
        let late_ms = self.late_after_ms(&link, again.is_some());
        self.send(lease, link, self.outgoing(head, body), late_ms)
            .await
            .map_err(|(error, paid)| Failed { error, payload: again, paid })
    }

    /// Takes a slot of a backend server and a connection to it.
    async fn reach(&self, attempt: usize) -> Result<(Lease, Link), Error> {
        self.check_deadline()?;
        let wait_ms = self.queue_ms.min(self.remaining_ms());
        let mut lease = self.selector.acquire(wait_ms).await?;
        let link = self.connect(&mut lease, attempt).await?;
        self.check_deadline()?;
        Ok((lease, link))
    }

    /// Compares the clock before each effect and after each wait.
    ///
    /// The failure: the process is paused while it waits, for minutes as well,
    /// and sends on waking a request that its caller has long given up. Nothing
    /// is sent past the deadline, so a caller that waits that long knows.
    fn check_deadline(&self) -> Result<(), Error> {
        if self.remaining_ms() == 0 {
            return Err(Error::new(ErrorKind::DeadlineBeforeSend, "no time left to send"));
        }
        Ok(())
    }

    /// A pooled connection for the first attempt, a new one for the others: what
    /// made one connection to a server useless may have hit all of them.
    async fn connect(&self, lease: &mut Lease, attempt: usize) -> Result<Link, Error> {
        if attempt == 1
            && let Some(pooled) = self.parts.pool.take(lease.addr).await
        {
            return Ok(Link { conn: pooled.conn, pooled: true });
        }
        let remaining = Duration::from_millis(self.remaining_ms());
        match time::timeout(remaining, self.parts.dialer.dial(lease.addr)).await {
            Ok(Ok(conn)) => Ok(Link { conn, pooled: false }),
            Ok(Err(e)) => {
                lease.set_ending(Ending::Failed);
                let detail = format!("cannot connect to {} at {}: {e}", lease.backend, lease.addr);
                Err(Error::new(ErrorKind::ConnectFailed, detail))
            }
            Err(_) => {
                lease.set_ending(Ending::Failed);
                let detail = format!("no connection to {} in time", lease.backend);
                Err(Error::new(ErrorKind::DeadlineBeforeSend, detail))
            }
        }
    }

    /// When this attempt is given up for another one; `None` for never.
    ///
    /// The failure: something between the two ends lost track of a connection, it
    /// is silent for good, and a read on it would wait for its whole deadline
    /// while new connections work. Only an idempotent request may be sent twice,
    /// and only on a pooled connection is silence the likely cause.
    fn late_after_ms(&self, link: &Link, repeatable: bool) -> Option<u64> {
        if !link.pooled || !repeatable || !self.attributes.idempotent {
            return None;
        }
        self.retries.late_after_ms().filter(|late_ms| *late_ms < self.remaining_ms())
    }

    fn outgoing(&self, head: &request::Parts, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        // Backend servers take the path alone, with the service in Host.
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = headers::without_hop_by_hop(&head.headers);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.attributes.request_id) {
            headers.insert(REQUEST_ID, id);
        }
        headers.insert(TIMEOUT_MS, HeaderValue::from(self.remaining_ms()));
        request
    }

    /// Sends a request; a failure says whether its retry was paid for.
    async fn send(
        &self,
        mut lease: Lease,
        mut link: Link,
        request: Request<Body>,
        late_ms: Option<u64>,
    ) -> Result<Response<Body>, (Error, bool)> {
        let sent_at_ms = self.parts.clock.now();
        let (request, progress) = watched(request);
        let response = match self.wait_for_head(&lease, &mut link, request, late_ms).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                lease.set_ending(Ending::Failed);
                return Err((send_error(&lease, &e, &progress), false));
            }
            Err(failed) => return Err(failed),
        };
        let latency_ms = self.parts.clock.now().since(sent_at_ms).0;
        self.retries.record(latency_ms);
        let leaving = self.learn(&lease, response.headers());
        // An answer that came before the request was sent whole leaves the rest
        // of the request on the connection, where the backend server may take it
        // for the next one.
        let reusable = !leaving && progress.is_ended();
        if headers::is_refusal(response.headers()) {
            lease.set_ending(Ending::Refused);
            let error = Error::new(ErrorKind::BackendRefused, format!("{} refused", lease.backend));
            if reusable {
                self.reuse_after_refusal(&lease, link, response.into_body()).await;
            }
            return Err((error, false));
        }
        let held =
            Held { lease, conn: link.conn, pool: self.parts.pool.clone(), latency_ms, reusable };
        let deadline = time::Instant::now() + Duration::from_millis(self.remaining_ms());
        let (mut head, body) = response.into_parts();
        let body = body::with_deadline(body, deadline);
        head.headers = headers::without_hop_by_hop(&head.headers);
        // Only azuregate itself says what became of a request.
        head.headers.remove(OUTCOME);
        Ok(Response::from_parts(head, LeaseBody::new(body, held).boxed_unsync()))
    }

    async fn wait_for_head(
        &self,
        lease: &Lease,
        link: &mut Link,
        request: Request<Body>,
        late_ms: Option<u64>,
    ) -> Result<Result<Response<Body>, SendError>, (Error, bool)> {
        let deadline = time::Instant::now() + Duration::from_millis(self.remaining_ms());
        let sending = link.conn.send(request);
        tokio::pin!(sending);
        if let Some(late_ms) = late_ms {
            let late = Duration::from_millis(late_ms);
            if let Ok(sent) = time::timeout(late, &mut sending).await {
                return Ok(sent);
            }
            if self.retries.try_take() {
                // The others in the pool may have gone silent with this one.
                self.parts.pool.forget(lease.addr);
                let detail = format!("no answer from {} within {late_ms} ms", lease.backend);
                return Err((Error::new(ErrorKind::BackendLost, detail), true));
            }
        }
        time::timeout_at(deadline, sending).await.map_err(|_| {
            let detail = format!("no answer from {} in time", lease.backend);
            (Error::new(ErrorKind::DeadlineAfterSend, detail), false)
        })
    }

    async fn reuse_after_refusal(&self, lease: &Lease, link: Link, body: Body) {
        if body.size_hint().upper().is_none_or(|length| length > REFUSAL_LIMIT_BYTES) {
            return;
        }
        let collected = body::collect(body, REFUSAL_LIMIT_BYTES as usize);
        if let Ok(Ok(_)) = time::timeout(REFUSAL_WAIT, collected).await {
            self.parts.pool.put(lease.addr, link.conn);
        }
    }

    /// Takes in what the answer says of its server; returns whether it leaves.
    fn learn(&self, lease: &Lease, headers: &HeaderMap) -> bool {
        if let Some(report) = headers::load_report(headers, self.parts.clock.now()) {
            lease.report(report);
        }
        let leaving = headers::is_last(headers);
        if leaving {
            let change = Change::Leaving(lease.backend.clone(), lease.start, Source::Backend);
            self.parts.config.change(change);
            self.parts.pool.forget(lease.addr);
        }
        leaving
    }
}

fn watched(request: Request<Body>) -> (Request<Body>, Progress) {
    let (head, body) = request.into_parts();
    let (body, progress) = body::watched(body);
    (Request::from_parts(head, body), progress)
}

fn send_error(lease: &Lease, e: &SendError, progress: &Progress) -> Error {
    let kind = match e.cause {
        SendCause::NotSent => ErrorKind::ConnectFailed,
        SendCause::Lost if progress.is_broken() => ErrorKind::CallerLost,
        SendCause::Lost => ErrorKind::BackendLost,
        SendCause::Invalid => ErrorKind::BackendInvalid,
    };
    Error::new(kind, format!("{} at {}: {}", lease.backend, lease.addr, e.detail))
}
