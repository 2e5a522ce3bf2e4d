/*!
Serves callers: which entry instances to use, and requests for services.
*/

mod answer;
mod forward;
mod lease_body;
mod request;

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use azuregate_core::{
    claim::Verdict,
    entries::{self, MAX_AGE_S},
    error::{Error, ErrorKind},
    names::{InstanceId, ServiceName, ZoneName},
    snapshot::Snapshot,
};
use hyper::{Method, Request, Response, header};
use tokio::sync::Mutex;

use crate::{
    backend::{Pool, SharedDialer},
    body::{self, Body},
    claims::Claims,
    clock::SharedClock,
    config::{Config, Snapshots},
    dispatch::Rule,
    metrics::{ANSWERED, Recorder, Sample},
    selector::Selector,
};

pub use request::Attributes;

/// The path that answers which entry instances to use.
const ENTRIES_PATH: &str = "/v1/entries";

/// What the gateway works with.
pub struct Parts {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Takes in what backend servers say of themselves.
    pub config: Config,
    /// The clock.
    pub clock: SharedClock,
    /// Opens connections to backend servers.
    pub dialer: SharedDialer,
    /// Keeps idle connections to backend servers.
    pub pool: Pool,
    /// Lets keyed requests run at most once.
    pub claims: Claims,
    /// How backend servers are chosen.
    pub rule: Rule,
    /// Takes in latencies and outcomes.
    pub recorder: Recorder,
}

/// Serves callers; shared between their connections.
pub struct Gateway {
    parts: Parts,
    selectors: Mutex<HashMap<ServiceName, Selector>>,
}

impl Gateway {
    /// Makes a gateway.
    pub fn new(parts: Parts) -> Gateway {
        Gateway { parts, selectors: Mutex::new(HashMap::new()) }
    }

    /// Answers one request of the caller at `caller`.
    pub async fn handle(&self, request: Request<Body>, caller: SocketAddr) -> Response<Body> {
        let started_ms = self.parts.clock.now();
        let snapshot = self.parts.snapshots.current();
        if request.uri().path() == ENTRIES_PATH && request.method() == Method::GET {
            return self.entries(&request, &snapshot, caller).unwrap_or_else(|e| answer::error(&e));
        }
        let attributes = match Attributes::read(&request) {
            Ok(attributes) => attributes,
            Err(e) => return answer::error(&e),
        };
        let result = self.serve(request, &attributes, &snapshot).await;
        let taken_ms = self.parts.clock.now().since(started_ms).0;
        let code = result.as_ref().map_or_else(|e| e.kind().code(), |_| ANSWERED);
        self.parts.recorder.record(Sample {
            service: attributes.service.clone(),
            tenant: attributes.tenant.clone(),
            class: attributes.class,
            code,
            taken_ms,
        });
        result.unwrap_or_else(|e| {
            log::info!(
                request:% = attributes.request_id, service:% = attributes.service,
                code = code, detail = e.detail(), taken_ms = taken_ms;
                "request refused"
            );
            answer::error(&e)
        })
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
        let salt = caller.ip().to_string();
        let entries = entries::entries(snapshot, &service, &self.parts.zone, &salt);
        let json = serde_json::to_vec(&entries)
            .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
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
    ) -> Result<Response<Body>, Error> {
        if !snapshot.ready {
            return Err(Error::new(ErrorKind::NotReady, "no configuration in force yet"));
        }
        let Some(policy) = snapshot.policies.get(&attributes.service) else {
            let detail = format!("no policy names {}", attributes.service);
            return Err(Error::new(ErrorKind::UnknownService, detail));
        };
        let timeout_ms = attributes.timeout_ms.unwrap_or(policy.timeout_ms);
        let deadline_ms = self.parts.clock.now().0 + timeout_ms;
        let selector = self.selector(&attributes.service).await;
        let forward = forward::Forward {
            parts: &self.parts,
            selector: &selector,
            attributes,
            deadline_ms,
            queue_ms: policy.queue_ms,
        };
        let Some(key) = &attributes.idempotency_key else {
            return forward.run(request).await;
        };
        let claims = &self.parts.claims;
        match claims.claim(&attributes.service, key, attributes.fingerprint).await? {
            (Verdict::Run, held) => {
                let result = forward.run(request).await;
                claims.settle(held, result).await
            }
            (Verdict::Repeat(kept), _) => claims.replay(kept).await,
            (Verdict::Refuse(kind), _) => {
                Err(Error::new(kind, format!("the idempotency key {key:?} was used before")))
            }
        }
    }

    async fn selector(&self, service: &ServiceName) -> Selector {
        let mut selectors = self.selectors.lock().await;
        if let Some(selector) = selectors.get(service) {
            return selector.clone();
        }
        let Rule::Alone(make_router) = &self.parts.rule;
        let selector = Selector::start(
            service,
            &self.parts.zone,
            Arc::clone(&self.parts.clock),
            make_router(),
            self.parts.snapshots.clone(),
        );
        selectors.insert(service.clone(), selector.clone());
        selector
    }
}
