//! One attempt: the exchange with a backend server or a dispatcher.

use std::time::Duration;

use azuregate_core::{
    error::{Error, ErrorKind},
    route::Completion,
};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, body::Body as _, header::HeaderValue, http::request};
use tokio::time;

use crate::{
    backend::{SendCause, SendError},
    body::{self, Body, Progress},
    config::{Change, Source},
    gateway::{
        count_bytes,
        error_response::OUTCOME,
        forward::{AttemptConn, Forwarder},
        hand_over, headers,
        lease_body::{HeldResources, LeaseBody},
        request::{REQUEST_ID, TIMEOUT_MS},
    },
    selector::Lease,
};

/// Size up to which the body of a refusal is read so that its connection can be
/// reused.
const MAX_REFUSAL_BODY_BYTES: u64 = 4 << 10;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Builds the request to send.
    pub(crate) fn outgoing(
        &self,
        lease: &Lease,
        head: &request::Parts,
        body: Body,
    ) -> Request<Body> {
        let mut request =
            Request::new(count_bytes::request_body(body, lease.byte_counter.as_ref()));
        *request.method_mut() = head.method.clone();
        // Backend servers expect an origin-form target, with the service in Host.
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = headers::without_hop_by_hop(&head.headers);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.attributes.request_id) {
            headers.insert(REQUEST_ID, id);
        }
        // Leave time for the response to travel back; work that ends later is wasted.
        let left_ms = self.remaining_ms().saturating_sub(lease.delay_ms).max(1);
        headers.insert(TIMEOUT_MS, HeaderValue::from(left_ms));
        hand_over::set_header(headers, lease);
        request
    }

    /// Sends a request. The flag of a failure states whether its retry has already
    /// been charged to the budget.
    pub(crate) async fn send(
        &self,
        mut lease: Lease,
        mut attempt_conn: AttemptConn,
        request: Request<Body>,
        abandon_after_ms: Option<u64>,
    ) -> Result<Response<Body>, (Error, bool)> {
        let sent_at_ms = self.context.clock.now();
        let (request, progress) = with_progress(request);
        let response = match self
            .wait_for_head(&mut lease, &mut attempt_conn, request, abandon_after_ms)
            .await
        {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                let error = send_error(&lease, &e, &progress);
                // A client's disconnect is not a failure of the server. Counting it
                // would lower the server's limit or exclude a working dispatcher.
                if error.kind() != ErrorKind::CallerLost {
                    lease.set_completion(Completion::Failed);
                }
                return Err((error, false));
            }
            Err(failed) => return Err(failed),
        };
        let latency_ms = self.context.clock.now().since(sent_at_ms).0;
        if lease.outgoing_hand_over.is_some() {
            let reusable =
                progress.is_complete() && !headers::closes_connection(response.headers());
            return match hand_over::read_response(&lease, response) {
                Ok(response) => {
                    Ok(self.streaming_response(lease, attempt_conn, response, latency_ms, reusable))
                }
                Err(error) => {
                    lease.set_completion(Completion::Refused);
                    Err((error, false))
                }
            };
        }
        self.retries.record(latency_ms);
        let closing = self.update_backend_state(&lease, attempt_conn.pooled, response.headers());
        // If the response came before the whole request was sent, the server may
        // take the rest of the request for the next one.
        let reusable = !closing && progress.is_complete();
        if headers::is_refusal(response.headers()) {
            lease.set_completion(Completion::Refused);
            let error = Error::new(ErrorKind::BackendRefused, format!("{} refused", lease.backend));
            if reusable {
                self.reuse_after_refusal(&lease, attempt_conn, response.into_body()).await;
            }
            return Err((error, false));
        }
        let mut response =
            self.streaming_response(lease, attempt_conn, response, latency_ms, reusable);
        // Only azuregate itself sets this header.
        response.headers_mut().remove(OUTCOME);
        Ok(response)
    }

    /// Returns the response for the client; its body holds the slot and the
    /// connection until it ends.
    fn streaming_response(
        &self,
        lease: Lease,
        attempt_conn: AttemptConn,
        response: Response<Body>,
        latency_ms: u64,
        reusable: bool,
    ) -> Response<Body> {
        let deadline = time::Instant::now() + Duration::from_millis(self.remaining_ms());
        let (mut head, body) = response.into_parts();
        let body = body::with_deadline(
            count_bytes::response_body(body, lease.byte_counter.as_ref()),
            deadline,
        );
        head.headers = headers::without_hop_by_hop(&head.headers);
        let pool = self.context.pool.clone();
        let request_id = self.attributes.request_id.clone();
        let held = HeldResources {
            request_id,
            lease,
            conn: attempt_conn.conn,
            pool,
            latency_ms,
            reusable,
        };
        Response::from_parts(head, LeaseBody::new(body, held).boxed_unsync())
    }

    async fn wait_for_head(
        &self,
        lease: &mut Lease,
        attempt_conn: &mut AttemptConn,
        request: Request<Body>,
        abandon_after_ms: Option<u64>,
    ) -> Result<Result<Response<Body>, SendError>, (Error, bool)> {
        let deadline = time::Instant::now() + Duration::from_millis(self.remaining_ms());
        let sending = attempt_conn.conn.send(request);
        tokio::pin!(sending);
        if let Some(abandon_after_ms) = abandon_after_ms {
            let late = Duration::from_millis(abandon_after_ms);
            if let Ok(sent) = time::timeout(late, &mut sending).await {
                return Ok(sent);
            }
            if self.retries.try_take() {
                // Other pooled connections may be dead as well.
                self.context.pool.close_idle(lease.addr);
                let detail =
                    format!("no response from {} within {abandon_after_ms} ms", lease.backend);
                return Err((Error::new(ErrorKind::BackendLost, detail), true));
            }
        }
        let backend = lease.backend.clone();
        tokio::select! {
            sent = time::timeout_at(deadline, sending) => sent.map_err(|_| {
                let detail = format!("no response from {backend} within the deadline");
                (Error::new(ErrorKind::DeadlineAfterSend, detail), false)
            }),
            () = dispatcher_lost(lease), if self.attributes.idempotent => {
                lease.set_completion(Completion::Failed);
                let detail = format!("dispatcher {backend} stopped responding");
                Err((Error::new(ErrorKind::BackendLost, detail), false))
            }
        }
    }

    async fn reuse_after_refusal(&self, lease: &Lease, attempt_conn: AttemptConn, body: Body) {
        if body.size_hint().upper().is_none_or(|length| length > MAX_REFUSAL_BODY_BYTES) {
            return;
        }
        let collected = body::collect(body, MAX_REFUSAL_BODY_BYTES as usize);
        if let Ok(Ok(_)) = time::timeout(REFUSAL_BODY_TIMEOUT, collected).await {
            self.context.pool.put(lease.addr, attempt_conn.conn);
        }
    }

    /// Records the load and the state that the response headers report; returns
    /// whether the server closes the connection.
    ///
    /// A server that refuses a request and closes is leaving. A server that closes
    /// a reused connection may only limit the requests per connection; the first
    /// response on a new connection tells the two apart.
    fn update_backend_state(&self, lease: &Lease, pooled: bool, headers: &HeaderMap) -> bool {
        if let Some(report) = headers::load_report(headers, self.context.clock.now()) {
            lease.record_load(report);
        }
        if !headers::closes_connection(headers) {
            return false;
        }
        let (backend, start) = (lease.backend.clone(), lease.start);
        if headers::is_refusal(headers) {
            self.context.config.change(Change::Leaving(backend, start, Source::Backend));
        } else if !pooled {
            self.context.config.change(Change::ConnectionClosed(backend, start));
        }
        self.context.pool.close_idle(lease.addr);
        true
    }
}

/// Waits until the dispatcher that the request was handed over to is considered
/// unresponsive.
async fn dispatcher_lost(lease: &mut Lease) {
    let Some(outgoing_hand_over) = &mut lease.outgoing_hand_over else {
        return std::future::pending().await;
    };
    if (&mut outgoing_hand_over.lost).await.is_err() {
        std::future::pending().await
    }
}

fn with_progress(request: Request<Body>) -> (Request<Body>, Progress) {
    let (head, body) = request.into_parts();
    let (body, progress) = body::with_progress(body);
    (Request::from_parts(head, body), progress)
}

fn send_error(lease: &Lease, e: &SendError, progress: &Progress) -> Error {
    let kind = match e.cause {
        SendCause::NotSent => ErrorKind::ConnectFailed,
        SendCause::Lost if progress.has_failed() => ErrorKind::CallerLost,
        SendCause::Lost => ErrorKind::BackendLost,
        SendCause::Invalid => ErrorKind::BackendInvalid,
    };
    Error::new(kind, format!("{} at {}: {}", lease.backend, lease.addr, e.detail))
}
