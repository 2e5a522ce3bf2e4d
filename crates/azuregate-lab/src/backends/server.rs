//! The backend server itself.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_core::snapshot::BackendServer;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};

use crate::{
    backends::{Behaviour, Counts, Stats, load::Load},
    network::{self, Network},
};

/// The path of probes, which take no slot.
const HEALTH_PATH: &str = "/health";

/// The header that names a request; the answer carries it back.
const REQUEST_ID: &str = "azuregate-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const TIMEOUT_MS: &str = "azuregate-timeout-ms";

/// How long after its first half an answer is cut.
const CUT_AFTER: Duration = Duration::from_millis(5);

type Body = UnsyncBoxBody<Bytes, CutShort>;

/// An answer that ends in the middle.
#[derive(Debug)]
struct CutShort;

impl std::fmt::Display for CutShort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is cut short on purpose")
    }
}

impl std::error::Error for CutShort {}

/// One backend server.
#[derive(Debug)]
pub struct Backend {
    /// As listed.
    pub server: BackendServer,
    network: Option<Arc<Network>>,
    behaviour: Mutex<Behaviour>,
    load: Mutex<Load>,
    rng: Mutex<fastrand::Rng>,
    connections: Semaphore,
    /// Connections that were opened under a lower number are silent.
    silence: AtomicU64,
    warmth: Mutex<Warmth>,
    /// By how much timers were late so far.
    late: Mutex<Duration>,
    dead: watch::Sender<bool>,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Warmth {
    requests: u32,
    last: Option<Instant>,
}

/// A slot in use; given back when dropped, also when the connection closed
/// while the request ran.
struct Slot<'a> {
    backend: &'a Backend,
    finished: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.backend.load).give_back(Instant::now());
        if !self.finished {
            self.backend.counts().stats.cancelled += 1;
        }
    }
}

impl Backend {
    /// A backend server that takes `connections` connections, with a seed for
    /// its service times.
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
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            silence: AtomicU64::new(0),
            warmth: Mutex::default(),
            late: Mutex::default(),
            dead: watch::Sender::new(false),
            counts: Mutex::default(),
            server,
        }
    }

    /// Adds the delays of a network to every connection.
    pub fn with_network(mut self, network: Arc<Network>) -> Backend {
        self.network = Some(network);
        self
    }

    /// How it behaves.
    pub fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        lock(&self.behaviour)
    }

    /// What truly ran.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    /// Its totals.
    pub fn stats(&self) -> Stats {
        self.counts().stats
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.silence.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends it as a crash does: its port closes and all connections break.
    pub fn kill(&self) {
        self.dead.send_replace(true);
    }

    async fn died(&self) {
        // The sender lives as long as `self`.
        let _ = self.dead.subscribe().wait_for(|&dead| dead).await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        opened_under: u64,
    ) -> Result<Response<Body>, Infallible> {
        if request.uri().path().starts_with("/lab/") {
            return Ok(self.control(request).await);
        }
        let behaviour = self.behaviour().clone();
        if behaviour.silent || opened_under < self.silence.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        if request.uri().path() == HEALTH_PATH {
            return Ok(status(StatusCode::OK, "alive\n"));
        }
        self.counts().arrived();
        let slot = if behaviour.shed { None } else { self.take_slot() };
        let Some((mut slot, in_use)) = slot else {
            self.counts().stats.shed += 1;
            return Ok(self.refusal(&behaviour));
        };
        let (head, body) = request.into_parts();
        let name = text(&head.headers, REQUEST_ID).unwrap_or_default().to_owned();
        self.counts().began(&name, text(&head.headers, IDEMPOTENCY_KEY), in_use);
        let Some(received_bytes) = receive(body).await else {
            return Ok(status(StatusCode::BAD_REQUEST, "the body ended early\n"));
        };
        let in_time = self.work(&behaviour, &head.headers).await;
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
        let mut response = if behaviour.cut { cut_short(&text) } else { full(text) };
        self.report(&mut response, &behaviour);
        let headers = response.headers_mut();
        if let Ok(name) = HeaderValue::from_str(&name) {
            headers.insert(REQUEST_ID, name);
        }
        if behaviour.leaving {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    fn take_slot(&self) -> Option<(Slot<'_>, u32)> {
        let in_use = lock(&self.load).take(self.server.slots, Instant::now())?;
        Some((Slot { backend: self, finished: false }, in_use))
    }

    /// Spends the time of service, but no longer than the deadline allows.
    async fn work(&self, behaviour: &Behaviour, headers: &HeaderMap) -> bool {
        let service = behaviour.distribution.draw(behaviour.service_ms, &mut lock(&self.rng))
            + self.cold_extra(behaviour);
        let limit = text(headers, TIMEOUT_MS).and_then(|ms| ms.parse().ok());
        match limit.map(Duration::from_millis).filter(|limit| *limit < service) {
            Some(limit) => {
                time::sleep(limit).await;
                false
            }
            None => {
                self.spend(service).await;
                let service_us = u32::try_from(service.as_micros()).unwrap_or(u32::MAX);
                self.counts().service_us.push(service_us);
                true
            }
        }
    }

    /// Sleeps for `service`, less what earlier sleeps took too long.
    ///
    /// Timers are a millisecond late on average. With a service time of 20 ms a
    /// server would have a twentieth less to give than its example says, and no
    /// goodput could reach 95%.
    async fn spend(&self, service: Duration) {
        let planned = {
            let mut late = lock(&self.late);
            let taken_off = (*late).min(service);
            *late -= taken_off;
            service - taken_off
        };
        if planned.is_zero() {
            return;
        }
        let start = Instant::now();
        time::sleep(planned).await;
        *lock(&self.late) += start.elapsed().saturating_sub(planned);
    }

    fn cold_extra(&self, behaviour: &Behaviour) -> Duration {
        let mut warmth = lock(&self.warmth);
        let now = Instant::now();
        let idle = warmth.last.map_or(Duration::ZERO, |last| now.duration_since(last));
        let limit = Duration::from_millis(behaviour.cold_after_idle_ms);
        if !limit.is_zero() && idle > limit {
            warmth.requests = 0;
        }
        warmth.last = Some(now);
        warmth.requests = warmth.requests.saturating_add(1);
        if warmth.requests > behaviour.cold_requests {
            return Duration::ZERO;
        }
        Duration::from_millis(behaviour.cold_extra_ms)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
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
                    *lock(&self.warmth) = Warmth::default();
                    status(StatusCode::OK, "set\n")
                }
                Err(e) => status(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => status(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }

    fn refusal(&self, behaviour: &Behaviour) -> Response<Body> {
        let mut response = status(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
        response.headers_mut().insert("backend-outcome", HeaderValue::from_static("not-run"));
        self.report(&mut response, behaviour);
        response
    }

    fn report(&self, response: &mut Response<Body>, behaviour: &Behaviour) {
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
        let opened_under = self.silence.load(Ordering::Relaxed);
        let stream = match &self.network {
            None => network::stretch(stream, Duration::ZERO),
            Some(network) => {
                let zone = &self.server.zone;
                time::sleep(network.opening(caller.ip(), zone)).await;
                network::stretch(stream, network.one_way(caller.ip(), zone))
            }
        };
        let service = service_fn(|request| self.answer(request, opened_under));
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = serving => {}
            () = self.died() => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a body without keeping it.
async fn receive(mut body: Incoming) -> Option<u64> {
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        received_bytes += frame.ok()?.data_ref().map_or(0, |data| data.len() as u64);
    }
    Some(received_bytes)
}

fn full(text: impl Into<Bytes>) -> Response<Body> {
    Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed_unsync())
}

fn json(value: &impl Serialize) -> Response<Body> {
    full(serde_json::to_vec(value).unwrap_or_default())
}

fn status(code: StatusCode, text: &str) -> Response<Body> {
    let mut response = full(text.to_owned());
    *response.status_mut() = code;
    response
}

/// An answer that promises all of `text` and gives half of it.
fn cut_short(text: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let first = futures_util::stream::iter([Ok(Frame::data(half))]);
    // Without the pause the first half would be dropped with the connection.
    let rest = futures_util::stream::once(async {
        time::sleep(CUT_AFTER).await;
        Err(CutShort)
    });
    let body = StreamBody::new(first.chain(rest)).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
    response
}

/// Serves one backend server until it is killed or the task is aborted.
pub async fn serve(listener: TcpListener, backend: Arc<Backend>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = backend.died() => return,
        };
        let Ok((stream, caller)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(Arc::clone(&backend).serve_connection(stream, caller));
    }
}
