//! Requests with an idempotency key.

use std::{sync::Arc, time::Duration};

use azuregate_core::{
    error::{Error, ErrorKind},
    home::HomeToken,
};
use http_body_util::BodyExt;
use hyper::{Request, Response, header::HeaderValue, http::request};
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::{
    backend::BackendConn,
    body::{self, Body},
    claims::{ClaimDecision, ClaimRequest},
    gateway::{
        GatewayContext,
        forward::Forwarder,
        headers,
        payload::Payload,
        request::{HOME, HOME_HOP, TIMEOUT_MS},
    },
};

/// A request with its idempotency key and, if the client named one, the key's home.
pub(crate) struct KeyedRequest {
    pub(crate) forwarder: Forwarder,
    pub(crate) key: String,
    pub(crate) home: Option<HomeToken>,
}

impl KeyedRequest {
    /// Runs the request at most once.
    ///
    /// Continues after the client disconnects, so that a retry with the same key
    /// finds the stored response; if the request were cancelled, its outcome would
    /// stay unknown. A planned stop waits for all requests in `tasks`.
    pub(crate) async fn run(
        self,
        tasks: &TaskTracker,
        head: request::Parts,
        payload: Payload,
    ) -> Result<Response<Body>, Error> {
        let running = tasks.spawn(async move {
            match &self.home {
                Some(home) if !self.forwarder.context.claims.is_local(home) => {
                    forward_to_home(
                        &self.forwarder.context,
                        home,
                        head,
                        payload,
                        self.forwarder.remaining_ms(),
                    )
                    .await
                }
                _ => self.run_here(head, payload).await,
            }
        });
        let lost = |e: tokio::task::JoinError| Error::new(ErrorKind::Internal, e.to_string());
        running.await.map_err(lost)?
    }

    async fn run_here(
        self,
        head: request::Parts,
        payload: Payload,
    ) -> Result<Response<Body>, Error> {
        let attributes = &self.forwarder.attributes;
        let wanted = ClaimRequest {
            service: &attributes.service,
            key: &self.key,
            fingerprint: payload.fingerprint(attributes.fingerprint),
            remaining_ms: self.forwarder.remaining_ms(),
        };
        let claims = &self.forwarder.context.claims;
        match claims.claim(wanted, self.home.as_ref()).await? {
            ClaimDecision::Run(held) => {
                let result = self.forwarder.run(&head, payload).await;
                claims.settle(held, result).await
            }
            ClaimDecision::Replay(kept) => claims.replay(kept).await,
        }
    }
}

/// Forwards a request to the home of its key.
///
/// The home runs it at most once, so the client can safely retry after a failure.
/// A failure does not tell whether the request ran.
async fn forward_to_home(
    context: &Arc<GatewayContext>,
    home: &HomeToken,
    head: request::Parts,
    payload: Payload,
    remaining_ms: u64,
) -> Result<Response<Body>, Error> {
    if head.headers.contains_key(HOME_HOP) {
        let detail = format!("another instance forwarded a request for {home} here");
        return Err(Error::new(ErrorKind::HomeGone, detail));
    }
    let snapshot = context.snapshots.current();
    let listed = snapshot.instances.iter().find(|instance| instance.id == home.instance);
    let Some(instance) = listed else {
        return Err(Error::new(ErrorKind::HomeGone, format!("{} is not listed", home.instance)));
    };
    let addr = instance.traffic_addr();
    let deadline = time::Instant::now() + Duration::from_millis(remaining_ms);
    let request = home_request(&head, payload, home, remaining_ms);
    let failed = |detail: String| {
        Error::new(ErrorKind::HomeUnreachable, format!("{home} at {addr}: {detail}"))
    };
    let exchange = async {
        let mut conn = context.dialer.dial(addr).await.map_err(|e| failed(e.to_string()))?;
        let response = conn.send(request).await.map_err(|e| failed(e.detail))?;
        Ok(home_response(response, conn, deadline))
    };
    let exchanged = time::timeout_at(deadline, exchange).await;
    exchanged.unwrap_or_else(|_| Err(failed("no response within the deadline".to_owned())))
}

/// Returns the home's response unchanged, including its outcome header.
fn home_response(
    response: Response<Body>,
    conn: Box<dyn BackendConn>,
    deadline: time::Instant,
) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    head.headers = headers::without_hop_by_hop(&head.headers);
    // Dropping the connection closes it, so it must live as long as the body.
    let body = body.map_frame(move |frame| {
        let _ = &conn;
        frame
    });
    Response::from_parts(head, body::with_deadline(body.boxed_unsync(), deadline))
}

fn home_request(
    head: &request::Parts,
    payload: Payload,
    home: &HomeToken,
    remaining_ms: u64,
) -> Request<Body> {
    let mut request = Request::new(payload.into_body().0);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = headers::without_hop_by_hop(&head.headers);
    let headers = request.headers_mut();
    headers.insert(TIMEOUT_MS, HeaderValue::from(remaining_ms));
    headers.insert(HOME_HOP, HeaderValue::from_static("1"));
    if let Ok(value) = HeaderValue::from_str(&home.to_string()) {
        headers.insert(HOME, value);
    }
    request
}
