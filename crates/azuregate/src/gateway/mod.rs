/*!
HTTP gateway: answers entry look-ups and forwards requests to backend servers.
*/

mod count_bytes;
mod entries_cache;
mod error_response;
mod forward;
mod hand_over;
mod headers;
mod keyed_request;
mod lease_body;
mod payload;
mod request;
mod retries;
mod send;

use std::{net::SocketAddr, sync::Arc};

use azuregate_core::{
    entries::MAX_AGE_S,
    error::{Error, ErrorKind},
    names::{InstanceId, ZoneName},
    snapshot::Snapshot,
};
use hyper::{
    Method, Request, Response,
    header::{self, HeaderValue},
};
use tokio_util::task::TaskTracker;

use crate::{
    backend::{Pool, SharedDialer},
    body::{self, Body},
    claims::Claims,
    clock::SharedClock,
    config::{Config, Snapshots},
    metrics::{ANSWERED, Recorder, Sample},
    selector::{IncomingHandOver, Selectors},
};

use self::{
    entries_cache::EntriesCache, keyed_request::KeyedRequest, payload::Payload,
    retries::RetriesByService,
};

pub use request::Attributes;

/// Path of entry look-ups.
const ENTRIES_PATH: &str = "/v1/entries";

/// The state and handles that a gateway uses.
pub struct GatewayContext {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Publishes the configuration in force.
    pub snapshots: Snapshots,
    /// Receives state changes that backend servers announce in responses.
    pub config: Config,
    /// The clock.
    pub clock: SharedClock,
    /// Opens connections to backend servers.
    pub dialer: SharedDialer,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Selects backend servers.
    pub selectors: Selectors,
    /// Records latencies and outcomes.
    pub recorder: Recorder,
}

/// Handles client requests; shared by all client connections.
pub struct Gateway {
    context: Arc<GatewayContext>,
    entries_cache: EntriesCache,
    retries: RetriesByService,
    /// Requests with an idempotency key; they continue after their client
    /// disconnects.
    keyed_requests: TaskTracker,
}

impl Gateway {
    /// Creates a gateway.
    pub fn new(context: GatewayContext) -> Gateway {
        let (entries_cache, retries) = (EntriesCache::default(), RetriesByService::default());
        Gateway {
            context: Arc::new(context),
            entries_cache,
            retries,
            keyed_requests: TaskTracker::new(),
        }
    }

    /// Waits until all keyed requests have completed, including those whose client
    /// disconnected, and then for [`Claims::flush`].
    pub async fn finish(&self) {
        self.keyed_requests.close();
        self.keyed_requests.wait().await;
        self.context.claims.flush().await;
    }

    /// Handles one request from the client at address `caller`.
    pub async fn handle(&self, mut request: Request<Body>, caller: SocketAddr) -> Response<Body> {
        let started_ms = self.context.clock.now();
        let snapshot = self.context.snapshots.current();
        if request.uri().path() == ENTRIES_PATH && request.method() == Method::GET {
            return self
                .entries(&request, &snapshot, caller)
                .unwrap_or_else(|e| error_response::from_error(&e));
        }
        let incoming_hand_over = match hand_over::read(request.headers_mut(), caller, &snapshot) {
            Ok(incoming_hand_over) => incoming_hand_over,
            Err(e) => return error_response::from_error(&e),
        };
        let attributes = match Attributes::read(&request) {
            Ok(attributes) => attributes,
            Err(e) => return error_response::from_error(&e),
        };
        let result = self.serve(request, &attributes, &snapshot, incoming_hand_over.clone()).await;
        let taken_ms = self.context.clock.now().since(started_ms).0;
        let code = result.as_ref().map_or_else(|e| e.kind().code(), |_| ANSWERED);
        self.context.recorder.record(Sample {
            service: attributes.service.clone(),
            tenant: attributes.tenant.clone(),
            class: attributes.class,
            code,
            latency_ms: taken_ms,
        });
        let mut response = result.unwrap_or_else(|e| {
            log::info!(
                request:% = attributes.request_id, service:% = attributes.service,
                code = code, detail = e.detail(), taken_ms = taken_ms;
                "request refused"
            );
            error_response::from_error(&e)
        });
        if let Ok(id) = HeaderValue::from_str(&attributes.request_id) {
            response.headers_mut().insert(request::REQUEST_ID, id);
        }
        if let Some(incoming_hand_over) = incoming_hand_over {
            let selector = self.context.selectors.get(&attributes.service);
            hand_over::set_load(
                response.headers_mut(),
                selector.load_for(&incoming_hand_over).await,
            );
        }
        response
    }

    fn entries(
        &self,
        request: &Request<Body>,
        snapshot: &Snapshot,
        caller: SocketAddr,
    ) -> Result<Response<Body>, Error> {
        let service = request::service_of_query(request.uri().query().unwrap_or_default())?;
        if !snapshot.policies.contains_key(&service) {
            let detail = format!("no policy names {service}");
            return Err(Error::new(ErrorKind::UnknownService, detail));
        }
        let json = self.entries_cache.get(&self.context, snapshot, &service, caller)?;
        Response::builder()
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::CACHE_CONTROL, format!("max-age={MAX_AGE_S}"))
            .body(body::full(json))
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
    }

    async fn serve(
        &self,
        request: Request<Body>,
        attributes: &Attributes,
        snapshot: &Snapshot,
        incoming_hand_over: Option<IncomingHandOver>,
    ) -> Result<Response<Body>, Error> {
        // The instance that handed a request over has already claimed its key.
        let key = attributes.idempotency_key.clone().filter(|_| incoming_hand_over.is_none());
        let keyed = key.is_some();
        // The claim has not been read, so an earlier request with this key may
        // have run.
        let refuse = |e: Error| if keyed { e.with_unknown_earlier_attempt() } else { e };
        if !snapshot.ready {
            let error = Error::new(ErrorKind::NotReady, "no configuration in force yet");
            return Err(refuse(error));
        }
        let Some(policy) = snapshot.policies.get(&attributes.service) else {
            let detail = format!("no policy names {}", attributes.service);
            return Err(refuse(Error::new(ErrorKind::UnknownService, detail)));
        };
        let timeout_ms = attributes.timeout_ms.unwrap_or(policy.timeout_ms);
        let forwarder = forward::Forwarder {
            context: Arc::clone(&self.context),
            selector: self.context.selectors.get(&attributes.service),
            retries: self.retries.get(&attributes.service),
            attributes: attributes.clone(),
            deadline_ms: self.context.clock.now().0 + timeout_ms,
            queue_ms: policy.queue_ms,
            incoming_hand_over,
        };
        let (head, body) = request.into_parts();
        let payload = Payload::read(body, timeout_ms).await.map_err(refuse)?;
        let Some(key) = key else {
            return forwarder.run(&head, payload).await;
        };
        let home = attributes.home.clone();
        KeyedRequest { forwarder, key, home }.run(&self.keyed_requests, head, payload).await
    }
}
