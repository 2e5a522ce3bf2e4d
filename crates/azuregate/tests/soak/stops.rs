//! Planned stops in series, some of them overlapping, under clients whose requests take up to a good part
//! of the grace period.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::Behaviour;
use fastrand::Rng;
use futures_util::FutureExt;
use tokio::time;

use crate::{
    ZONES,
    cluster::{Client, HttpResponse, lookup},
    env_number,
    run::{self, Deployment},
};

/// No other test of this program uses it, since it names the folder of the run.
const DEFAULT_SEED: u64 = 46;
const INSTANCES: usize = 3;
const CLIENTS: usize = 20;
const DEFAULT_STOPS: usize = 3;
/// The next stop begins at most this long after the one before.
const MAX_STOP_INTERVAL: Duration = Duration::from_millis(7_000);
/// Time in which instances learn how long requests take.
const WARM_UP: Duration = Duration::from_millis(4_000);
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Some clients keep the answer of a lookup for three times its TTL.
const LOOKUP_KEPT: Duration = Duration::from_millis(6_000);
const MAX_ATTEMPTS: usize = 6;
const LATENCY_TARGET: Duration = Duration::from_millis(400);
const SHORT_MS: std::ops::RangeInclusive<u64> = 20..=200;
const LONG_MS: u64 = 3_600;
/// One of so many requests is long.
const LONG_EVERY: usize = 16;

/// A route and how long its requests take.
#[derive(Clone, Copy, Debug)]
struct Work {
    prefix: &'static str,
    is_write: bool,
    work_ms: u64,
}

impl Work {
    fn next(random: &mut Rng, is_mixed: bool) -> Work {
        let is_long = random.usize(..LONG_EVERY) == 0;
        let is_write = random.bool();
        let (prefix, work_ms) = match (is_long, is_mixed) {
            (true, false) => ("/long/", LONG_MS),
            // On the routes of short ones, and of any length.
            (true, true) => (if is_write { "/write/" } else { "/read/" }, random.u64(200..4_500)),
            (false, _) => (if is_write { "/write/" } else { "/read/" }, random.u64(SHORT_MS)),
        };
        Work { prefix, is_write: is_write || prefix == "/long/", work_ms }
    }

    fn request(&self, id: &str, left: Duration) -> String {
        let (method, length) = match self.is_write {
            true => ("POST", "Content-Length: 4\r\n"),
            false => ("GET", ""),
        };
        let body = if self.is_write { "body" } else { "" };
        format!(
            "{method} {}x?work_ms={} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Affinity-Key: {id}\r\nX-Deadline-Ms: {}\r\n{length}\r\n{body}",
            self.prefix,
            self.work_ms,
            left.as_millis()
        )
    }
}

/// One attempt of a client, under an ID of its own.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    work: Work,
    /// `None` if the connection ended without a response.
    status: Option<u16>,
}

/// What clients saw.
#[derive(Debug, Default)]
struct Counts {
    orders: usize,
    /// Served within the latency target, beyond their work.
    in_time: usize,
    served: usize,
    attempts: usize,
    /// Attempts that a stopping instance refused.
    refused: usize,
    /// Attempts that reached a server and have no response.
    cut: usize,
    cut_writes: usize,
    statuses: BTreeMap<String, usize>,
}

/// A client and what it knows of the instances.
struct StopClient {
    connection: Option<(SocketAddr, Client)>,
    addrs: Vec<SocketAddr>,
    looked_up_at: Option<Instant>,
}

impl StopClient {
    /// Returns the connection that is kept, or a new one.
    async fn connect(
        &mut self,
        deployment: &Deployment,
        random: &mut Rng,
    ) -> Option<(SocketAddr, Client)> {
        if let Some((addr, mut kept)) = self.connection.take()
            // Otherwise the instance has closed it.
            && kept.response().now_or_never().is_none()
        {
            return Some((addr, kept));
        }
        let is_outdated = self.looked_up_at.is_none_or(|at| at.elapsed() > LOOKUP_KEPT);
        if self.addrs.is_empty() || is_outdated {
            let instance = &deployment.instances[random.usize(..INSTANCES)];
            let (zone, _) = ZONES[random.usize(..ZONES.len())];
            let found = lookup(instance.lookup_addr, zone, "");
            self.addrs = time::timeout(Duration::from_secs(1), found).await.unwrap_or_default();
            self.looked_up_at = Some(Instant::now());
        }
        if self.addrs.is_empty() {
            return None;
        }
        let addr = self.addrs[random.usize(..self.addrs.len())];
        let connection = Client::try_connect(addr).await;
        if connection.is_none() {
            self.addrs.retain(|other| *other != addr);
        }
        Some((addr, connection?))
    }
}

#[derive(Default)]
struct Traffic {
    is_stopped: AtomicBool,
    next_id: AtomicUsize,
    attempts: Mutex<Vec<Attempt>>,
    orders: Mutex<Counts>,
}

/// Guards against requests that are cut at a planned stop, and against refusals of what was executed.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_no_request() {
    let seed = env_number("AZUREGATE_STOPS_SEED").unwrap_or(DEFAULT_SEED);
    let stops = env_number("AZUREGATE_STOPS").map_or(DEFAULT_STOPS, |count| count as usize);
    let is_mixed = env_number("AZUREGATE_STOPS_MIXED").is_some();
    let deployment = Arc::new(run::set_up(seed, INSTANCES).await);
    deployment.set_timeouts(&["/long/"], DEADLINE);
    deployment.servers.iter().for_each(|server| server.backend.set(Behaviour::Respond));
    let traffic = Arc::new(Traffic::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let random = Rng::with_seed(seed ^ (number as u64) << 32);
            let (traffic, deployment) = (Arc::clone(&traffic), Arc::clone(&deployment));
            tokio::spawn(async move { traffic.run(&deployment, random, is_mixed).await })
        })
        .collect();
    time::sleep(WARM_UP).await;
    let problems = stop_in_series(&deployment, seed, stops).await;
    traffic.is_stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    let counts = traffic.count(&deployment);
    eprintln!("seed {seed}: {counts:?}");
    assert!(problems.is_empty(), "{problems:?}");
    assert_eq!(traffic.refused_and_executed(&deployment), Vec::<String>::new());
    // Of mixed requests, nobody knows which ones are long.
    if !is_mixed {
        assert_eq!(counts.cut, 0, "{:?}", traffic.cut(&deployment));
    }
}

/// Stops instances one after the other. A stop may begin before the one before has ended.
async fn stop_in_series(deployment: &Arc<Deployment>, seed: u64, stops: usize) -> Vec<String> {
    let mut random = Rng::with_seed(seed);
    let mut tasks = Vec::new();
    for number in 0..stops {
        let deployment = Arc::clone(deployment);
        let instance = number % INSTANCES;
        tasks.push(tokio::spawn(async move { deployment.instances[instance].stop().await }));
        time::sleep(MAX_STOP_INTERVAL.mul_f64(0.5 + random.f64() / 2.0)).await;
    }
    let mut problems = Vec::new();
    for task in tasks {
        problems.extend(task.await.unwrap());
    }
    problems
}

impl Traffic {
    /// Runs one client, which keeps its connection as long as the instance does.
    async fn run(&self, deployment: &Deployment, mut random: Rng, is_mixed: bool) {
        let mut client = StopClient { connection: None, addrs: Vec::new(), looked_up_at: None };
        while !self.is_stopped.load(Ordering::Relaxed) {
            let work = Work::next(&mut random, is_mixed);
            self.order(work, &mut client, deployment, &mut random).await;
            time::sleep(Duration::from_millis(random.u64(10..120))).await;
        }
    }

    /// Sends a request until it is served, or may not be sent again.
    async fn order(
        &self,
        work: Work,
        client: &mut StopClient,
        deployment: &Deployment,
        random: &mut Rng,
    ) {
        let start = Instant::now();
        let mut is_served = false;
        for _ in 0..MAX_ATTEMPTS {
            let Some((addr, mut connection)) = client.connect(deployment, random).await else {
                continue;
            };
            let left = DEADLINE.saturating_sub(start.elapsed());
            let id = format!("s{}", self.next_id.fetch_add(1, Ordering::Relaxed));
            connection.send(&work.request(&id, left)).await;
            let response = time::timeout(left, connection.response()).await.ok().flatten();
            let status = response.as_ref().map(|response| response.status);
            self.attempts.lock().unwrap().push(Attempt { id, work, status });
            is_served = status == Some(200);
            let is_kept = response
                .as_ref()
                .is_some_and(|response| is_served && response.header("connection").is_none());
            if is_kept {
                client.connection = Some((addr, connection));
            } else if !is_served {
                client.addrs.retain(|other| *other != addr);
            }
            // A write that a closed connection left unread looks the same as one that was cut.
            if is_served || work.is_write && status != Some(503) {
                break;
            }
            time::sleep(retry_after(response.as_ref())).await;
        }
        let taken = start.elapsed();
        let mut counts = self.orders.lock().unwrap();
        counts.orders += 1;
        counts.served += usize::from(is_served);
        let is_in_time = taken <= LATENCY_TARGET + Duration::from_millis(work.work_ms);
        counts.in_time += usize::from(is_served && is_in_time);
    }

    fn arrived(deployment: &Deployment) -> BTreeSet<String> {
        deployment.received().into_iter().map(|request| request.id).collect()
    }

    fn cut(&self, deployment: &Deployment) -> Vec<Attempt> {
        let arrived = Traffic::arrived(deployment);
        let attempts = self.attempts.lock().unwrap();
        let cut = attempts.iter().filter(|a| a.status.is_none() && arrived.contains(&a.id));
        cut.cloned().collect()
    }

    fn refused_and_executed(&self, deployment: &Deployment) -> Vec<String> {
        let executed: BTreeSet<String> = deployment
            .received()
            .into_iter()
            .filter(|request| request.is_executed)
            .map(|request| request.id)
            .collect();
        let attempts = self.attempts.lock().unwrap();
        let refused = attempts.iter().filter(|a| a.status == Some(503) && a.work.is_write);
        refused.filter(|a| executed.contains(&a.id)).map(|a| a.id.clone()).collect()
    }

    fn count(&self, deployment: &Deployment) -> Counts {
        let cut = self.cut(deployment);
        let mut counts = std::mem::take(&mut *self.orders.lock().unwrap());
        counts.cut = cut.len();
        counts.cut_writes = cut.iter().filter(|attempt| attempt.work.is_write).count();
        let attempts = self.attempts.lock().unwrap();
        counts.attempts = attempts.len();
        for attempt in attempts.iter() {
            let status = attempt.status.map_or("none".to_owned(), |status| status.to_string());
            *counts.statuses.entry(status).or_default() += 1;
        }
        let logs = deployment.instances.iter().map(|instance| instance.log_text());
        counts.refused = logs.map(|log| log.matches("code=stopping").count()).sum();
        counts
    }
}

fn retry_after(response: Option<&HttpResponse>) -> Duration {
    let seconds = response.and_then(|response| response.header("retry-after")?.parse().ok());
    Duration::from_secs_f64(seconds.map_or(0.0, |seconds: f64| seconds.min(1.0)))
}
