//! Clients that send requests all the time and keep what they saw.

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

/// How long a client waits; the deadline that its requests name is longer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// How long a client keeps the answer to a lookup.
const KEEP: Duration = Duration::from_secs(2);
const PAUSE_MS: std::ops::Range<u64> = 10..60;

/// A request and what its client saw.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) id: String,
    pub(crate) is_write: bool,
    pub(crate) sent_at: Instant,
    pub(crate) instance: SocketAddr,
    pub(crate) end: End,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// A complete answer, and whether it is the one to this request.
    Answered { status: u16, is_own: bool },
    /// The connection ended.
    Cut,
    /// Nothing came.
    Silence,
}

/// What clients share.
pub(crate) struct Traffic {
    lookups: Vec<SocketAddr>,
    seed: u64,
    next: AtomicU64,
    is_over: AtomicBool,
    exchanges: Mutex<Vec<Exchange>>,
}

impl Traffic {
    pub(crate) fn new(lookups: Vec<SocketAddr>, seed: u64) -> Arc<Traffic> {
        Arc::new(Traffic {
            lookups,
            seed,
            next: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            exchanges: Mutex::default(),
        })
    }

    pub(crate) fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    pub(crate) fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap().clone()
    }

    /// One client, until the traffic is over.
    pub(crate) async fn run(self: Arc<Traffic>, number: u64) {
        let mut random = Rng::with_seed(self.seed ^ number << 32);
        let mut named: Vec<SocketAddr> = Vec::new();
        let mut named_at = Instant::now();
        let mut connection: Option<(SocketAddr, Client)> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            if named.is_empty() || named_at.elapsed() > KEEP {
                if let Some(addrs) = self.look_up(&mut random).await {
                    named = addrs;
                }
                named_at = Instant::now();
            }
            // Open connections are used until they end, whatever lookups say.
            if connection.is_none() && !named.is_empty() {
                let addr = named[random.usize(..named.len())];
                connection = connect(addr).await.map(|client| (addr, client));
                if connection.is_none() {
                    named.retain(|other| *other != addr);
                }
            }
            if let Some((addr, mut client)) = connection.take()
                && self.exchange(addr, &mut client, &mut random).await
                && random.f64() < 0.95
            {
                connection = Some((addr, client));
            }
            time::sleep(Duration::from_millis(random.u64(PAUSE_MS))).await;
        }
    }

    async fn look_up(&self, random: &mut Rng) -> Option<Vec<SocketAddr>> {
        let (zone, _) = ZONES[random.usize(..ZONES.len())];
        for _ in 0..3 {
            let addr = self.lookups[random.usize(..self.lookups.len())];
            let asked = time::timeout(Duration::from_secs(1), lookup(addr, zone, "")).await;
            if let Some(addrs) = asked.ok().filter(|addrs| !addrs.is_empty()) {
                return Some(addrs);
            }
        }
        None
    }

    /// One request; returns whether the connection is still good.
    async fn exchange(&self, instance: SocketAddr, client: &mut Client, random: &mut Rng) -> bool {
        let id = format!("q{}", self.next.fetch_add(1, Ordering::Relaxed));
        let is_write = random.f64() < 0.4;
        let text = match is_write {
            true => post_request("/write/x", &id, &body_of(&id)),
            false => get_request("/read/x", &id),
        };
        let object = format!("X-Affinity-Key: k{}", random.u32(..40));
        let text = text.replace("X-Affinity-Key: 17", &object);
        let sent_at = Instant::now();
        client.send(&text).await;
        let end = match time::timeout(PATIENCE, client.response()).await {
            Ok(Some(answer)) => ended(&id, &answer),
            Ok(None) => End::Cut,
            Err(_) => End::Silence,
        };
        let is_good = matches!(end, End::Answered { .. });
        let exchange = Exchange { id, is_write, sent_at, instance, end };
        self.exchanges.lock().unwrap().push(exchange);
        is_good
    }
}

/// The body of the write `id`.
pub(crate) fn body_of(id: &str) -> String {
    format!("order {id}")
}

fn ended(id: &str, answer: &HttpResponse) -> End {
    let is_signed = answer.header("x-response-signature") == Some(&format!("s-{id}"));
    let is_whole = answer.body == format!("answer to {id}");
    let is_own = answer.status != 200 || (is_signed && is_whole);
    End::Answered { status: answer.status, is_own }
}

async fn connect(addr: SocketAddr) -> Option<Client> {
    time::timeout(Duration::from_secs(1), Client::try_connect(addr)).await.ok()?
}
