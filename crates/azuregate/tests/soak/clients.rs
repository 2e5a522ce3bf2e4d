//! Clients that send requests continuously and record the outcomes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use fastrand::Rng;
use tokio::time;

use crate::{
    ZONES,
    cluster::{Client, HttpResponse, get_request, lookup, post_request},
};

/// Shorter than the deadline in the requests.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Other refusals have a shorter `Retry-After`.
const QUARANTINE_RETRY_AFTER_S: f64 = 10.0;
const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// One of so many requests has a long body if it is a write.
const LONG_BODY_EVERY: u64 = 16;
const LONG_BODY_LINES: usize = 10_000;
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 10..60;

/// A request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) is_write: bool,
    pub(crate) sent_at: Instant,
    pub(crate) instance: SocketAddr,
    pub(crate) outcome: Outcome,
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// A complete response; `matches_request` tells whether it belongs to the request, and
    /// `is_quarantined` whether the client is told to come back much later.
    Response { status: u16, matches_request: bool, is_quarantined: bool },
    /// The connection was closed before a complete response.
    ConnectionClosed,
    /// No response arrived in time.
    TimedOut,
}

/// State that all clients share.
pub(crate) struct Traffic {
    lookup_addrs: Vec<SocketAddr>,
    seed: u64,
    next_id: AtomicU64,
    is_stopped: AtomicBool,
    records: Mutex<Vec<RequestRecord>>,
}

impl Traffic {
    pub(crate) fn new(lookup_addrs: Vec<SocketAddr>, seed: u64) -> Arc<Traffic> {
        Arc::new(Traffic {
            lookup_addrs,
            seed,
            next_id: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            records: Mutex::default(),
        })
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().unwrap().clone()
    }

    /// Runs one client until the traffic is stopped.
    pub(crate) async fn run(self: Arc<Traffic>, number: u64) {
        let mut random = Rng::with_seed(self.seed ^ number << 32);
        let mut instances: Vec<SocketAddr> = Vec::new();
        let mut looked_up_at = Instant::now();
        let mut connection: Option<(SocketAddr, Client)> = None;
        while !self.is_stopped.load(Ordering::Relaxed) {
            if instances.is_empty() || looked_up_at.elapsed() > LOOKUP_TTL {
                if let Some(addrs) = self.look_up(&mut random).await {
                    instances = addrs;
                }
                looked_up_at = Instant::now();
            }
            // Lookups affect new connections only.
            if connection.is_none() && !instances.is_empty() {
                let addr = instances[random.usize(..instances.len())];
                connection = connect(addr).await.map(|client| (addr, client));
                if connection.is_none() {
                    instances.retain(|other| *other != addr);
                }
            }
            if let Some((addr, mut client)) = connection.take()
                && self.send_request(addr, &mut client, &mut random).await
                && random.f64() < 0.95
            {
                connection = Some((addr, client));
            }
            time::sleep(Duration::from_millis(random.u64(REQUEST_INTERVAL_MS))).await;
        }
    }

    async fn look_up(&self, random: &mut Rng) -> Option<Vec<SocketAddr>> {
        let (zone, _) = ZONES[random.usize(..ZONES.len())];
        for _ in 0..3 {
            let addr = self.lookup_addrs[random.usize(..self.lookup_addrs.len())];
            let asked = time::timeout(Duration::from_secs(1), lookup(addr, zone, "")).await;
            if let Some(addrs) = asked.ok().filter(|addrs| !addrs.is_empty()) {
                return Some(addrs);
            }
        }
        None
    }

    /// Sends one request; returns whether the connection can be reused.
    async fn send_request(
        &self,
        instance: SocketAddr,
        client: &mut Client,
        random: &mut Rng,
    ) -> bool {
        let id = format!("q{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let is_write = random.f64() < 0.4;
        let text = match is_write {
            true => post_request("/write/x", &id, &body_of(&id)),
            false => get_request("/read/x", &id),
        };
        let object = format!("X-Affinity-Key: k{}", random.u32(..40));
        let text = text.replace("X-Affinity-Key: 17", &object);
        let sent_at = Instant::now();
        client.send(&text).await;
        let outcome = match time::timeout(CLIENT_TIMEOUT, client.response()).await {
            Ok(Some(answer)) => classify(&id, &answer),
            Ok(None) => Outcome::ConnectionClosed,
            Err(_) => Outcome::TimedOut,
        };
        let is_good = matches!(outcome, Outcome::Response { .. });
        let record = RequestRecord { id, is_write, sent_at, instance, outcome };
        self.records.lock().unwrap().push(record);
        is_good
    }
}

/// Returns the body of the write `id`; that of some is long.
pub(crate) fn body_of(id: &str) -> String {
    let number: u64 = id.trim_start_matches('q').parse().unwrap_or(1);
    let count = if number.is_multiple_of(LONG_BODY_EVERY) { LONG_BODY_LINES } else { 1 };
    format!("order {id}\n").repeat(count)
}

fn classify(id: &str, answer: &HttpResponse) -> Outcome {
    let signature = answer.header("x-response-signature");
    let is_signed = signature == Some(&format!("s-{id}"));
    let has_expected_body = answer.body == format!("answer to {id}");
    let matches_request = match answer.status {
        200 => is_signed && has_expected_body,
        // No server gives this status.
        502 => signature.is_none(),
        _ => is_signed || signature.is_none(),
    };
    let retry_after_s = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    let is_quarantined = retry_after_s.is_some_and(|seconds| seconds > QUARANTINE_RETRY_AFTER_S);
    Outcome::Response { status: answer.status, matches_request, is_quarantined }
}

async fn connect(addr: SocketAddr) -> Option<Client> {
    time::timeout(Duration::from_secs(1), Client::try_connect(addr)).await.ok()?
}
