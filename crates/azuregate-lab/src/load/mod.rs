/*!
Open-loop load: requests start when they are due, whether or not earlier ones
have been answered.

Callers stand near availability zones, ask an entry instance which ones to use,
keep the answer for as long as it says, and keep their connections alive.
[`run`] gives the load, [`Report`] sums it up, and [`audit`] checks it against
what truly ran.
*/

mod audit;
mod caller;
mod conn;
mod plot;
mod report;
mod request;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate_core::names::ServiceName;
use futures_util::future;
use tokio::{sync::mpsc, time};

use crate::{
    client::ClientError,
    example::{CLIENTS, Example},
};

pub(crate) use conn::{Conn, SendError};

pub use audit::{Audit, audit, fetch_executions};
pub use caller::Caller;
pub use plot::svg;
pub use report::{Latency, Report};
pub use request::{Class, RequestOutcome, RequestRecord};

/// How many callers there are near each location.
const CALLERS_PER_LOCATION: usize = CLIENTS as usize;

/// Where some of the callers stand.
#[derive(Clone, Debug)]
pub struct CallerLocation {
    /// The IP numbers that they come from, one after the other; any if empty.
    pub ips: Vec<IpAddr>,
    /// The entry instance that they ask first.
    pub bootstrap_addr: SocketAddr,
}

/// What load to give.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the callers stand, the same number at each.
    pub locations: Vec<CallerLocation>,
    /// Entry instances that get `favoured_percent` of the callers, whatever
    /// the answer of `/v1/entries` prefers.
    pub favoured: Vec<SocketAddr>,
    /// How many callers in a hundred use the favoured instances.
    pub favoured_percent: usize,
    /// The service.
    pub service: ServiceName,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub duration_ms: u64,
    /// How many in a hundred are orders with an idempotency key.
    pub keyed_percent: u8,
    /// How many in a hundred are uploads.
    pub upload_percent: u8,
    /// The size of an upload.
    pub upload_bytes: usize,
    /// How long a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// How often a caller comes back after a refusal that says when.
    pub retries: u32,
    /// Seed of the arrivals; it is part of the requests' names.
    pub seed: u64,
}

impl Config {
    /// Reads and a few orders for a service, from callers that ask `at`.
    pub fn new(at: SocketAddr, service: &ServiceName) -> Config {
        Config {
            locations: vec![CallerLocation { ips: Vec::new(), bootstrap_addr: at }],
            favoured: Vec::new(),
            favoured_percent: 0,
            service: service.clone(),
            rate_per_s: 100.0,
            duration_ms: 5_000,
            keyed_percent: 10,
            upload_percent: 0,
            upload_bytes: 100_000,
            timeout_ms: 5_000,
            retries: 0,
            seed: 1,
        }
    }

    /// Puts callers near every availability zone of an example.
    pub fn with_locations_of(mut self, example: &Example) -> Config {
        let location = |zone| {
            let near =
                example.entries.iter().min_by_key(|e| example.topology.distance(zone, &e.zone));
            near.map(|entry| CallerLocation {
                ips: (0..CLIENTS).map(|rank| example.client_ip(zone, rank)).collect(),
                bootstrap_addr: example.traffic_addr(entry),
            })
        };
        self.locations = example.topology.zones().filter_map(location).collect();
        self
    }

    /// Gives half of all callers to the first two entry instances.
    pub fn with_skew(mut self, example: &Example) -> Config {
        let first = example.entries.iter().take(2);
        self.favoured = first.map(|entry| example.traffic_addr(entry)).collect();
        self.favoured_percent = 50;
        self
    }

    fn callers(&self) -> Vec<Arc<Caller>> {
        let count = self.locations.len() * CALLERS_PER_LOCATION;
        let caller = |index: usize| {
            let location = &self.locations[index % self.locations.len()];
            let rank = index / self.locations.len();
            let ip = location.ips.get(rank % location.ips.len().max(1)).copied();
            let rank_percent = rank * 100 / CALLERS_PER_LOCATION;
            let favoured = if rank_percent < self.favoured_percent {
                self.favoured.get(index % self.favoured.len().max(1)).copied()
            } else {
                None
            };
            Arc::new(Caller::new(
                ip,
                location.bootstrap_addr,
                favoured,
                &self.service,
                self.timeout_ms,
            ))
        };
        (0..count).map(caller).collect()
    }

    fn class(&self, rng: &mut fastrand::Rng) -> Class {
        let draw = rng.u8(..100);
        if draw < self.keyed_percent {
            Class::Keyed
        } else if draw < self.keyed_percent.saturating_add(self.upload_percent) {
            Class::Upload
        } else {
            Class::Read
        }
    }
}

/// Gives load until its time is over and the last answers are in; returns how
/// each request ended.
///
/// # Errors
///
/// When there is nowhere to start from, or no entry instance can be learnt.
pub async fn run(config: &Config) -> Result<Vec<RequestRecord>, ClientError> {
    if config.locations.is_empty() {
        return Err("there is no entry instance to ask".into());
    }
    let callers = config.callers();
    future::try_join_all(callers.iter().map(|caller| caller.discover())).await?;
    let refreshes: Vec<_> = callers
        .iter()
        .map(|caller| tokio::spawn(Arc::clone(caller).refresh_periodically()))
        .collect();
    let records = generate(config, &callers).await;
    for refresh in refreshes {
        refresh.abort();
    }
    Ok(records)
}

async fn generate(config: &Config, callers: &[Arc<Caller>]) -> Vec<RequestRecord> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut rng = fastrand::Rng::with_seed(config.seed);
    let start = Instant::now();
    let end = start + Duration::from_millis(config.duration_ms);
    let mut due = start;
    let mut sequence = 0_u64;
    loop {
        // Exponential gaps make a Poisson process.
        let gap_s = -(1.0 - rng.f64()).ln() / config.rate_per_s;
        due += Duration::from_secs_f64(gap_s);
        if due >= end {
            break;
        }
        time::sleep_until(due.into()).await;
        sequence += 1;
        let job = caller::Job {
            name: format!("load-{:x}-{sequence}", config.seed),
            class: config.class(&mut rng),
            upload_bytes: config.upload_bytes,
            retries: config.retries,
        };
        let caller = Arc::clone(&callers[rng.usize(..callers.len())]);
        let sender = sender.clone();
        tokio::spawn(async move {
            let (ending, tries) = caller.execute(&job).await;
            let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            let due_ms = u64::try_from((due - start).as_millis()).unwrap_or(u64::MAX);
            let record = RequestRecord {
                name: job.name,
                class: job.class,
                due_ms,
                latency_us,
                tries,
                ending,
            };
            let _ = sender.send(record);
        });
    }
    drop(sender);
    let mut records = Vec::new();
    while let Some(record) = receiver.recv().await {
        records.push(record);
    }
    records
}
