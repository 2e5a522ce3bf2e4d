//! The HTTP server of a simulated backend server.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_core::snapshot::BackendServer;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};

use crate::{
    backends::{
        Behaviour, Counts, Stats,
        load::Load,
        lock,
        responses::{Body, full, json, status, truncated},
        service_times::ServiceTimes,
    },
    network::{self, Network},
};

/// The path of health checks, which use no slot.
const HEALTH_PATH: &str = "/health";

/// The request ID, which the response repeats.
const REQUEST_ID_HEADER: &str = "azuregate-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const TIMEOUT_MS_HEADER: &str = "azuregate-timeout-ms";

/// One simulated backend server.
#[derive(Debug)]
pub struct Backend {
    /// The server's entry in the instance list.
    pub server: BackendServer,
    network: Option<Arc<Network>>,
    behaviour: Mutex<Behaviour>,
    load: Mutex<Load>,
    connections: Semaphore,
    /// Connections of earlier generations get no responses.
    current_generation: AtomicU64,
    service_times: ServiceTimes,
    killed: watch::Sender<bool>,
    counts: Mutex<Counts>,
}

/// A slot in use, released when dropped. Dropping it unfinished, as when the
/// connection closes, counts the request as cancelled.
struct Slot<'a> {
    backend: &'a Backend,
    finished: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.backend.load).release(Instant::now());
        if !self.finished {
            self.backend.counts().stats.cancelled += 1;
        }
    }
}

impl Backend {
    /// Returns a backend server that accepts up to `connections` connections at a
    /// time and draws service times with `seed`.
    pub fn new(
        server: BackendServer,
        connections: usize,
        behaviour: Behaviour,
        seed: u64,
    ) -> Backend {
        Backend {
            connections: Semaphore::new(connections),
            network: None,
            behaviour: Mutex::new(behaviour),
            load: Mutex::default(),
            current_generation: AtomicU64::new(0),
            service_times: ServiceTimes::new(seed),
            killed: watch::Sender::new(false),
            counts: Mutex::default(),
            server,
        }
    }

    /// Delays every connection as `network` does for a server in this zone.
    pub fn with_network(mut self, network: Arc<Network>) -> Backend {
        self.network = Some(network);
        self
    }

    /// Locks and returns the behaviour.
    pub fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        lock(&self.behaviour)
    }

    /// Locks and returns the counts.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    /// Returns the totals.
    pub fn stats(&self) -> Stats {
        self.counts().stats
    }

    /// Stops responses on all open connections; new ones are not affected.
    pub fn silence_connections(&self) {
        self.current_generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Simulates a crash: closes the port and all connections.
    pub fn kill(&self) {
        self.killed.send_replace(true);
    }

    async fn wait_killed(&self) {
        // The sender lives as long as `self`.
        let _ = self.killed.subscribe().wait_for(|&killed| killed).await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection_generation: u64,
    ) -> Result<Response<Body>, Infallible> {
        if request.uri().path().starts_with("/lab/") {
            return Ok(self.handle_control(request).await);
        }
        let behaviour = self.behaviour().clone();
        if behaviour.silent
            || connection_generation < self.current_generation.load(Ordering::Relaxed)
        {
            return std::future::pending().await;
        }
        if request.uri().path() == HEALTH_PATH {
            return Ok(status(StatusCode::OK, "alive\n"));
        }
        self.counts().record_arrival();
        let slot = if behaviour.shed { None } else { self.take_slot() };
        let Some((mut slot, in_use)) = slot else {
            self.counts().stats.shed += 1;
            return Ok(self.rejection(&behaviour));
        };
        let (head, body) = request.into_parts();
        let name = header_str(&head.headers, REQUEST_ID_HEADER).unwrap_or_default().to_owned();
        self.counts().record_start(
            &name,
            header_str(&head.headers, IDEMPOTENCY_KEY_HEADER),
            in_use,
        );
        let Some(received_bytes) = drain_body(body).await else {
            return Ok(status(StatusCode::BAD_REQUEST, "the body ended early\n"));
        };
        let timeout_ms =
            header_str(&head.headers, TIMEOUT_MS_HEADER).and_then(|ms| ms.parse().ok());
        let service = self.service_times.draw(&behaviour);
        let service_us = u32::try_from(service.as_micros()).unwrap_or(u32::MAX);
        self.counts().service_us.push(service_us);
        let in_time = self.service_times.run(service, timeout_ms.map(Duration::from_millis)).await;
        slot.finished = true;
        drop(slot);
        if !in_time {
            self.counts().stats.expired += 1;
            return Ok(status(StatusCode::GATEWAY_TIMEOUT, "the deadline passed\n"));
        }
        self.counts().stats.completed += 1;
        let text = format!(
            "{} answers {} after {received_bytes} bytes for {name}\n",
            self.server.id,
            head.uri.path()
        );
        let mut response = if behaviour.cut { truncated(&text) } else { full(text) };
        self.add_load_report(&mut response, &behaviour);
        let headers = response.headers_mut();
        if let Ok(name) = HeaderValue::from_str(&name) {
            headers.insert(REQUEST_ID_HEADER, name);
        }
        if behaviour.leaving {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    fn take_slot(&self) -> Option<(Slot<'_>, u32)> {
        let in_use = lock(&self.load).try_acquire(self.server.slots, Instant::now())?;
        Some((Slot { backend: self, finished: false }, in_use))
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match (head.method, head.uri.path()) {
            (Method::GET, "/lab/ran") => json(&self.counts().ran),
            (Method::GET, "/lab/keys") => json(&self.counts().keys),
            (Method::GET, "/lab/stats") => json(&self.stats()),
            (Method::POST, "/lab/silence") => {
                self.silence_connections();
                status(StatusCode::OK, "set\n")
            }
            (Method::POST, "/lab/behaviour") => match serde_json::from_slice(&body) {
                Ok(behaviour) => {
                    *self.behaviour() = behaviour;
                    self.service_times.reset_cache();
                    status(StatusCode::OK, "set\n")
                }
                Err(e) => status(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => status(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }

    fn rejection(&self, behaviour: &Behaviour) -> Response<Body> {
        let mut response = status(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
        response.headers_mut().insert("backend-outcome", HeaderValue::from_static("not-run"));
        self.add_load_report(&mut response, behaviour);
        response
    }

    fn add_load_report(&self, response: &mut Response<Body>, behaviour: &Behaviour) {
        let in_use = lock(&self.load).reported(behaviour, Instant::now());
        let load = format!("{in_use}/{}", self.server.slots);
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert("backend-load", load);
        }
    }

    async fn serve_connection(self: Arc<Backend>, stream: TcpStream, caller: SocketAddr) {
        let Ok(_connection) = self.connections.try_acquire() else {
            self.counts().stats.connections_refused += 1;
            return;
        };
        let connection_generation = self.current_generation.load(Ordering::Relaxed);
        let stream = match &self.network {
            None => network::with_delay(stream, Duration::ZERO),
            Some(network) => {
                let zone = &self.server.zone;
                time::sleep(network.connect_delay(caller.ip(), zone)).await;
                network::with_delay(stream, network.one_way_delay(caller.ip(), zone))
            }
        };
        let service = service_fn(|request| self.handle(request, connection_generation));
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = serving => {}
            () = self.wait_killed() => {}
        }
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads and discards a body, and returns its length in bytes, or `None` if it
/// ended early.
async fn drain_body(mut body: Incoming) -> Option<u64> {
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        received_bytes += frame.ok()?.data_ref().map_or(0, |data| data.len() as u64);
    }
    Some(received_bytes)
}

/// Accepts and serves connections until the server is killed or the task is
/// aborted.
pub async fn serve(listener: TcpListener, backend: Arc<Backend>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = backend.wait_killed() => return,
        };
        let Ok((stream, caller)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(Arc::clone(&backend).serve_connection(stream, caller));
    }
}
