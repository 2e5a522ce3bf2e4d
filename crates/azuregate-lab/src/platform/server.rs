//! The HTTP server of the simulated platform.

use std::{
    convert::Infallible,
    hash::{DefaultHasher, Hasher},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use azuregate::platform::Write;
use azuregate_core::{names::ZoneName, snapshot::InstanceList};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};

use crate::{
    network::{self, Network},
    platform::{Faults, Store, rate_limiter::RateLimiter},
};

/// State shared between the connections of the simulated platform.
#[derive(Debug, Default)]
pub struct Server {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    rate_limiters: Mutex<RateLimiters>,
    location: Option<(Arc<Network>, ZoneName)>,
}

#[derive(Debug, Default)]
struct RateLimiters {
    reads: RateLimiter,
    writes: RateLimiter,
}

/// Totals of the calls received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Accepted reads of tables, objects and the instance list.
    pub reads: u64,
    /// Accepted transactions and object writes.
    pub writes: u64,
    /// Calls rejected before they took effect.
    pub refused: u64,
    /// Total size of response bodies, in bytes.
    pub answer_bytes: u64,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    writes: Vec<Write>,
}

struct Reply {
    status: StatusCode,
    bytes: Bytes,
    /// Entity tag, for resources that support conditional reads.
    etag: Option<HeaderValue>,
}

impl Reply {
    fn json(status: StatusCode, value: &impl Serialize) -> Reply {
        Reply { status, bytes: serde_json::to_vec(value).unwrap_or_default().into(), etag: None }
    }

    fn text(status: StatusCode, text: &str) -> Reply {
        Reply { status, bytes: Bytes::copy_from_slice(text.as_bytes()), etag: None }
    }
}

impl Server {
    /// Returns a server whose instance list is `list`.
    pub fn new(list: InstanceList) -> Server {
        let server = Server::default();
        server.set_list(list);
        server
    }

    /// Delays every connection as `network` does for a server in `zone`.
    pub fn with_network(mut self, network: Arc<Network>, zone: ZoneName) -> Server {
        self.location = Some((network, zone));
        self
    }

    /// Replaces the instance list; readers see it after
    /// [`Faults::list_lag_ms`].
    pub fn set_list(&self, list: InstanceList) {
        let delay = Duration::from_millis(self.faults().list_lag_ms);
        self.store().list.set(list, delay);
    }

    /// Locks and returns the stored data.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the injected faults.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the totals of the calls received so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns whether to accept it.
    fn admit(&self, method: &Method, faults: &Faults) -> bool {
        let read = method == Method::GET;
        let mut rate_limiters = self.rate_limiters.lock().unwrap_or_else(PoisonError::into_inner);
        let within_rate = if read {
            rate_limiters.reads.try_acquire(faults.reads_per_s, Instant::now())
        } else {
            rate_limiters.writes.try_acquire(faults.writes_per_s, Instant::now())
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.down || !within_rate {
            counts.refused += 1;
            return false;
        }
        if read {
            counts.reads += 1
        } else {
            counts.writes += 1
        }
        true
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or_default().to_owned();
        let Ok(body) = body.collect().await else {
            return None;
        };
        let body = body.to_bytes();
        if let Some(path) = path.strip_prefix("/lab/") {
            return Some(self.control(&head.method, path, &body));
        }
        let faults = self.faults().clone();
        time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.silent {
            return std::future::pending().await;
        }
        if !self.admit(&head.method, &faults) {
            return Some(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "down or too many calls\n"));
        }
        let reply = self.serve(&head.method, &path, &query, &body);
        let reply = apply_if_none_match(reply, head.headers.get(header::IF_NONE_MATCH));
        self.count_bytes(reply.bytes.len());
        if head.method != Method::GET && self.take_lost_reply() {
            return None;
        }
        Some(reply)
    }

    fn count_bytes(&self, bytes: usize) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.answer_bytes += bytes as u64;
    }

    fn take_lost_reply(&self) -> bool {
        let mut faults = self.faults();
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    fn control(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        match (method, path) {
            (&Method::POST, "faults") => match serde_json::from_slice(body) {
                Ok(faults) => {
                    *self.faults() = faults;
                    Reply::text(StatusCode::OK, "set\n")
                }
                Err(e) => Reply::text(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::POST, "instances") => match serde_json::from_slice(body) {
                Ok(list) => {
                    self.set_list(list);
                    Reply::text(StatusCode::OK, "set\n")
                }
                Err(e) => Reply::text(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::GET, "counts") => Reply::json(StatusCode::OK, &self.counts()),
            _ => Reply::text(StatusCode::NOT_FOUND, "no such control\n"),
        }
    }

    fn serve(&self, method: &Method, path: &str, query: &str, body: &Bytes) -> Reply {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (&Method::GET, ["v1", "tables", table, "rows", key]) => {
                match self.store().read(table, &percent_decode(key)) {
                    Some(row) => Reply::json(StatusCode::OK, &row),
                    None => Reply::text(StatusCode::NOT_FOUND, "no such row\n"),
                }
            }
            (&Method::GET, ["v1", "tables", table, "changes"]) => {
                let mut changes =
                    self.store().changes(table, query_number(query, "since").unwrap_or(0));
                if let Some(limit) = query_number(query, "limit") {
                    changes.rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
                }
                Reply::json(StatusCode::OK, &changes)
            }
            (&Method::POST, ["v1", "transact"]) => self.transact(body),
            (&Method::PUT, ["v1", "objects", name]) => {
                self.store().put_object(&percent_decode(name), body.clone());
                Reply::text(StatusCode::OK, "kept\n")
            }
            (&Method::GET, ["v1", "objects", name]) => {
                match self.store().get_object(&percent_decode(name)) {
                    Some(bytes) => Reply { status: StatusCode::OK, bytes, etag: None },
                    None => Reply::text(StatusCode::NOT_FOUND, "no such object\n"),
                }
            }
            (&Method::GET, ["v1", "instances"]) => {
                with_etag(Reply::json(StatusCode::OK, self.store().list.visible()))
            }
            _ => Reply::text(StatusCode::BAD_REQUEST, "no such call\n"),
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice::<Transaction>(body) {
            Ok(transaction) => {
                let commit = self.store().transact(&transaction.writes);
                Reply::json(StatusCode::OK, &commit)
            }
            Err(e) => Reply::text(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }
}

/// Adds an `ETag` (RFC 9110, section 8.8.3) derived from the body.
fn with_etag(mut reply: Reply) -> Reply {
    let mut hasher = DefaultHasher::new();
    hasher.write(&reply.bytes);
    reply.etag = HeaderValue::from_str(&format!("\"{:016x}\"", hasher.finish())).ok();
    reply
}

/// Turns the reply into `304 Not Modified` if its entity tag is `if_none_match`.
fn apply_if_none_match(reply: Reply, if_none_match: Option<&HeaderValue>) -> Reply {
    if reply.etag.is_none() || reply.etag.as_ref() != if_none_match {
        return reply;
    }
    Reply { status: StatusCode::NOT_MODIFIED, bytes: Bytes::new(), etag: reply.etag }
}

fn percent_decode(segment: &str) -> String {
    percent_encoding::percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

/// Closes the connection without a response.
#[derive(Debug)]
struct ReplyLost;

impl std::fmt::Display for ReplyLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response dropped by an injected fault")
    }
}

impl std::error::Error for ReplyLost {}

/// Accepts and serves connections until the task is aborted.
pub async fn serve(listener: TcpListener, server: Arc<Server>) -> Infallible {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            let one_way_delay = match &server.location {
                Some((network, zone)) => network.one_way_delay(caller.ip(), zone),
                None => Duration::ZERO,
            };
            let stream = network::with_delay(stream, one_way_delay);
            let service = service_fn(|request| {
                let server = Arc::clone(&server);
                async move {
                    // Runs in its own task so that a slow write still takes effect
                    // after the caller has closed the connection.
                    let reply = tokio::spawn(async move { server.handle(request).await });
                    let reply = reply.await.ok().flatten().ok_or(ReplyLost)?;
                    let mut response = Response::new(Full::new(reply.bytes));
                    *response.status_mut() = reply.status;
                    if let Some(etag) = reply.etag {
                        response.headers_mut().insert(header::ETAG, etag);
                    }
                    Ok::<_, ReplyLost>(response)
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns a numeric parameter of a query such as `since=7&limit=200`.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name)?.1.parse().ok()
}
