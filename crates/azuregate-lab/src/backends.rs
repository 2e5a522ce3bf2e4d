//! Stand-ins of backend servers: slots, shedding, load reports, draining.

use std::{
    collections::HashMap,
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use azuregate_core::snapshot::BackendServer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, TryAcquireError},
    time,
};

/// The header that names a request.
const REQUEST_ID: &str = "azuregate-request-id";

/// The path of probes, which take no slot.
const HEALTH_PATH: &str = "/health";

/// How one backend server behaves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Mean time that a request takes.
    pub service_ms: u64,
    /// Refuses everything, saying that it did not run.
    pub shed: bool,
    /// Answers, and says that it is leaving.
    pub leaving: bool,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Ends answers in the middle.
    pub cut: bool,
}

/// One backend server.
#[derive(Debug)]
pub struct Backend {
    /// As listed.
    pub server: BackendServer,
    behaviour: Mutex<Behaviour>,
    slots: Semaphore,
    connections: Semaphore,
    ran: Mutex<HashMap<String, u64>>,
}

impl Backend {
    /// A backend server that takes `connections` connections.
    pub fn new(server: BackendServer, connections: usize, service_ms: u64) -> Backend {
        Backend {
            slots: Semaphore::new(server.slots as usize),
            connections: Semaphore::new(connections),
            behaviour: Mutex::new(Behaviour { service_ms, ..Behaviour::default() }),
            ran: Mutex::new(HashMap::new()),
            server,
        }
    }

    /// How it behaves.
    pub fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How often each request ran, by the name that the caller gave it.
    pub fn ran(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path().starts_with("/lab/") {
            return Ok(self.control(request).await);
        }
        let behaviour = self.behaviour().clone();
        if behaviour.silent {
            return std::future::pending().await;
        }
        if request.uri().path() == HEALTH_PATH {
            return Ok(status(StatusCode::OK, "alive\n".to_owned()));
        }
        let slot = match self.slots.try_acquire() {
            Ok(slot) if !behaviour.shed => slot,
            Ok(_) | Err(TryAcquireError::NoPermits | TryAcquireError::Closed) => {
                return Ok(self.refusal());
            }
        };
        let (head, body) = request.into_parts();
        let name = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
        *self.ran().entry(name.unwrap_or_default().to_owned()).or_default() += 1;
        let received = body.collect().await.map_or(0, |body| body.to_bytes().len());
        time::sleep(Duration::from_millis(behaviour.service_ms)).await;
        let text =
            format!("{} answers {} after {received} bytes\n", self.server.id, head.uri.path());
        let mut response = Response::new(Full::from(text));
        self.report(&mut response);
        if behaviour.leaving {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        drop(slot);
        Ok(response)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let text = match (head.method, head.uri.path()) {
            (Method::GET, "/lab/ran") => serde_json::to_string(&*self.ran()).unwrap_or_default(),
            (Method::POST, "/lab/behaviour") => match serde_json::from_slice(&body) {
                Ok(behaviour) => {
                    *self.behaviour() = behaviour;
                    "set\n".to_owned()
                }
                Err(e) => return status(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => return status(StatusCode::NOT_FOUND, "no such control\n".to_owned()),
        };
        status(StatusCode::OK, text)
    }

    fn refusal(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::from("busy\n"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let not_run = header::HeaderValue::from_static("not-run");
        response.headers_mut().insert("backend-outcome", not_run);
        self.report(&mut response);
        response
    }

    fn report(&self, response: &mut Response<Full<Bytes>>) {
        let in_use = self.server.slots as usize - self.slots.available_permits();
        let load = format!("{in_use}/{}", self.server.slots);
        if let Ok(load) = header::HeaderValue::from_str(&load) {
            response.headers_mut().insert("backend-load", load);
        }
    }
}

fn status(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// Serves one backend server until the task is aborted.
pub async fn serve(listener: TcpListener, backend: Arc<Backend>) -> Infallible {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let backend = Arc::clone(&backend);
        tokio::spawn(async move {
            let Ok(_connection) = backend.connections.try_acquire() else {
                return;
            };
            let service = service_fn(|request| backend.answer(request));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
