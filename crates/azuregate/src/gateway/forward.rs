//! Sends a request to a backend server, and again elsewhere where that is safe.

use std::time::Duration;

use azuregate_core::{
    error::{Error, ErrorKind, Retry},
    route::{Ending, LoadReport},
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response,
    body::Body as _,
    header::{self, HeaderName, HeaderValue},
    http::request,
};
use tokio::time;

use crate::{
    backend::BackendConn,
    body::{self, Body},
    config::{Change, Source},
    gateway::{
        Attributes, Parts,
        answer::OUTCOME,
        handover,
        lease_body::{Held, LeaseBody},
        metered,
        request::{REQUEST_ID, TIMEOUT_MS},
    },
    selector::{Handed, Lease, Selector, Want},
};

/// Set by a backend server that refused a request without running it.
const BACKEND_OUTCOME: &str = "backend-outcome";
/// The value of [`BACKEND_OUTCOME`] for a refusal.
const NOT_RUN: &str = "not-run";
/// A backend server's requests in progress and slots, as `2/3`.
const BACKEND_LOAD: &str = "backend-load";
/// How often a request is tried at the most.
const ATTEMPTS: usize = 3;

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// One request on its way to a backend server.
pub(crate) struct Forward<'a> {
    pub(crate) parts: &'a Parts,
    pub(crate) selector: &'a Selector,
    pub(crate) attributes: &'a Attributes,
    /// On the monotonic clock.
    pub(crate) deadline_ms: u64,
    pub(crate) queue_ms: u64,
    /// Who handed the request over, if it is here on its second hop.
    pub(crate) handed: Option<&'a Handed>,
}

/// A failed attempt, with the body if it can be sent again.
struct Failed {
    error: Error,
    body: Option<Body>,
}

impl Forward<'_> {
    /// Runs the request, trying again where the table of answers allows it.
    pub(crate) async fn run(&self, request: Request<Body>) -> Result<Response<Body>, Error> {
        let (head, mut body) = request.into_parts();
        let mut attempt = 1;
        loop {
            let failed = match self.attempt(&head, body).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let Some(again) = failed.body.filter(|_| self.may_retry(&failed.error, attempt)) else {
                return Err(failed.error);
            };
            body = again;
            attempt += 1;
        }
    }

    fn may_retry(&self, error: &Error, attempt: usize) -> bool {
        let kind = error.kind();
        let at_backend = matches!(
            kind,
            ErrorKind::ConnectFailed | ErrorKind::BackendRefused | ErrorKind::BackendLost
        );
        let allowed = match kind.answer().retry {
            Retry::Always => true,
            Retry::IfIdempotent => self.attributes.idempotent,
            Retry::Never => false,
        };
        at_backend && allowed && attempt < ATTEMPTS && self.remaining_ms() > 0
    }

    fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.parts.clock.now().0)
    }

    async fn attempt(&self, head: &request::Parts, body: Body) -> Result<Response<Body>, Failed> {
        let mut lease = match self.selector.acquire(self.want(&body)).await {
            Ok(lease) => lease,
            Err(error) => return Err(Failed { error, body: Some(body) }),
        };
        let conn = match self.connect(&mut lease).await {
            Ok(conn) => conn,
            Err(error) => return Err(Failed { error, body: Some(body) }),
        };
        let repeatable = body.is_end_stream();
        let request = self.outgoing(&lease, head, body);
        self.send(lease, conn, request).await.map_err(|error| {
            let body = repeatable.then(body::empty);
            Failed { error, body }
        })
    }

    async fn connect(&self, lease: &mut Lease) -> Result<Box<dyn BackendConn>, Error> {
        if let Some(pooled) = self.parts.pool.take(lease.addr).await {
            return Ok(pooled.conn);
        }
        let remaining = Duration::from_millis(self.remaining_ms());
        match time::timeout(remaining, self.parts.dialer.dial(lease.addr)).await {
            Ok(Ok(conn)) => Ok(conn),
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

    fn want(&self, body: &Body) -> Want {
        let left_ms = self.remaining_ms();
        let size = body.size_hint();
        Want {
            wait_ms: self.queue_ms.min(left_ms),
            left_ms,
            up_bytes: size.upper().unwrap_or(size.lower()),
            handed: self.handed.cloned(),
        }
    }

    fn outgoing(&self, lease: &Lease, head: &request::Parts, body: Body) -> Request<Body> {
        let mut request = Request::new(metered::up(body, lease.meter.as_ref()));
        *request.method_mut() = head.method.clone();
        // Backend servers take the path alone, with the service in Host.
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = without_hop_by_hop(&head.headers);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.attributes.request_id) {
            headers.insert(REQUEST_ID, id);
        }
        // The answer needs the way back: work that ends later is wasted.
        let left_ms = self.remaining_ms().saturating_sub(lease.delay_ms).max(1);
        headers.insert(TIMEOUT_MS, HeaderValue::from(left_ms));
        handover::mark(headers, lease);
        request
    }

    async fn send(
        &self,
        mut lease: Lease,
        mut conn: Box<dyn BackendConn>,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        let sent_at_ms = self.parts.clock.now();
        let remaining = Duration::from_millis(self.remaining_ms());
        let sent = tokio::select! {
            sent = time::timeout(remaining, conn.send(request)) => sent,
            () = lost(&mut lease), if self.attributes.idempotent => {
                lease.set_ending(Ending::Failed);
                let detail = format!("{} has gone silent", lease.backend);
                return Err(Error::new(ErrorKind::BackendLost, detail));
            }
        };
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                lease.set_ending(Ending::Failed);
                let kind = if e.sent { ErrorKind::BackendLost } else { ErrorKind::ConnectFailed };
                let detail = format!("{} at {}: {}", lease.backend, lease.addr, e.detail);
                return Err(Error::new(kind, detail));
            }
            Err(_) => {
                let detail = format!("no answer from {} in time", lease.backend);
                return Err(Error::new(ErrorKind::DeadlineAfterSend, detail));
            }
        };
        let latency_ms = self.parts.clock.now().since(sent_at_ms).0;
        if lease.handed_to.is_some() {
            return self.hand_back(lease, conn, response, latency_ms);
        }
        let leaving = self.learn(&lease, response.headers());
        if is_refusal(&response) {
            lease.set_ending(Ending::Refused);
            let detail = format!("{} refused", lease.backend);
            return Err(Error::new(ErrorKind::BackendRefused, detail));
        }
        let pool = self.parts.pool.clone();
        let held = Held { lease, conn, pool, latency_ms, reusable: !leaving };
        let (mut head, body) = response.into_parts();
        let body = metered::down(body, held.lease.meter.as_ref());
        head.headers = without_hop_by_hop(&head.headers);
        // Only azuregate itself says what became of a request.
        head.headers.remove(OUTCOME);
        Ok(Response::from_parts(head, LeaseBody::new(body, held).boxed_unsync()))
    }

    /// Gives back a dispatcher's answer, with the outcome that it names.
    fn hand_back(
        &self,
        mut lease: Lease,
        conn: Box<dyn BackendConn>,
        response: Response<Body>,
        latency_ms: u64,
    ) -> Result<Response<Body>, Error> {
        let response = match handover::take_answer(&lease, response) {
            Ok(response) => response,
            Err(error) => {
                lease.set_ending(Ending::Refused);
                return Err(error);
            }
        };
        let pool = self.parts.pool.clone();
        let reusable = !is_last(response.headers());
        let held = Held { lease, conn, pool, latency_ms, reusable };
        let (mut head, body) = response.into_parts();
        let body = metered::down(body, held.lease.meter.as_ref());
        head.headers = without_hop_by_hop(&head.headers);
        Ok(Response::from_parts(head, LeaseBody::new(body, held).boxed_unsync()))
    }

    /// Takes in what the answer says of its server; returns whether it leaves.
    fn learn(&self, lease: &Lease, headers: &HeaderMap) -> bool {
        if let Some(report) = load_report(headers, self.parts.clock.now()) {
            lease.report(report);
        }
        let leaving = is_last(headers);
        if leaving {
            let change = Change::Leaving(lease.backend.clone(), lease.start, Source::Backend);
            self.parts.config.change(change);
            self.parts.pool.forget(lease.addr);
        }
        leaving
    }
}

/// Waits until the dispatcher that the request was handed over to is taken for
/// frozen.
async fn lost(lease: &mut Lease) {
    let Some(handed_to) = &mut lease.handed_to else {
        return std::future::pending().await;
    };
    if (&mut handed_to.lost).await.is_err() {
        std::future::pending().await
    }
}

fn is_last(headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn is_refusal(response: &Response<Body>) -> bool {
    let outcome = response.headers().get(BACKEND_OUTCOME);
    outcome.is_some_and(|outcome| outcome.as_bytes() == NOT_RUN.as_bytes())
}

fn load_report(headers: &HeaderMap, at_ms: azuregate_core::time::Millis) -> Option<LoadReport> {
    let (in_use, slots) = headers.get(BACKEND_LOAD)?.to_str().ok()?.split_once('/')?;
    Some(LoadReport { in_use: in_use.parse().ok()?, slots: slots.parse().ok()?, at_ms })
}

fn without_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        kept.remove(name.as_str());
    }
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
