/*!
An open-loop load generator: requests start when they are due, whether or not
earlier ones have been answered.

Callers are located near availability zones. They fetch the list of entry
instances, cache it for its max-age, and use persistent connections. [`run`]
generates the load, [`Report`] summarises the outcomes, and [`audit`] checks them
against the executions at the backend servers.
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
    example::{CLIENTS_PER_ZONE, Example},
};

pub(crate) use conn::{Conn, SendError};

pub use audit::{Audit, audit, fetch_executions};
pub use caller::Caller;
pub use plot::svg;
pub use report::{Latency, Report};
pub use request::{Class, RequestOutcome, RequestRecord};

/// Number of callers at each location.
const CALLERS_PER_LOCATION: usize = CLIENTS_PER_ZONE as usize;

/// A location of callers.
#[derive(Clone, Debug)]
pub struct CallerLocation {
    /// Source IP addresses, assigned in turn; any address if empty.
    pub ips: Vec<IpAddr>,
    /// The entry instance that the first list of entries is fetched from.
    pub bootstrap_addr: SocketAddr,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Locations, each with the same number of callers.
    pub locations: Vec<CallerLocation>,
    /// Entry instances that `favoured_percent` of the callers use, whatever the
    /// order of `/v1/entries`.
    pub favoured: Vec<SocketAddr>,
    /// Percentage of callers that use the favoured instances.
    pub favoured_percent: usize,
    /// The service to send requests to.
    pub service: ServiceName,
    /// Mean arrival rate in requests per second.
    pub rate_per_s: f64,
    /// Duration of the run.
    pub duration_ms: u64,
    /// Percentage of requests that are orders with an idempotency key.
    pub keyed_percent: u8,
    /// Percentage of requests that are uploads.
    pub upload_percent: u8,
    /// Size of an upload.
    pub upload_bytes: usize,
    /// Timeout of a request.
    pub timeout_ms: u64,
    /// Maximum number of retries after refusals with a `Retry-After`.
    pub retries: u32,
    /// Seed of the arrivals; it is part of the request IDs.
    pub seed: u64,
}

impl Config {
    /// Returns the default parameters: reads and a few orders for `service`, from
    /// callers that fetch their first list of entries from `at`.
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

    /// Locates callers near every availability zone of an example.
    pub fn with_locations_of(mut self, example: &Example) -> Config {
        let location = |zone| {
            let near =
                example.entries.iter().min_by_key(|e| example.topology.distance(zone, &e.zone));
            near.map(|entry| CallerLocation {
                ips: (0..CLIENTS_PER_ZONE).map(|rank| example.client_ip(zone, rank)).collect(),
                bootstrap_addr: example.traffic_addr(entry),
            })
        };
        self.locations = example.topology.zones().filter_map(location).collect();
        self
    }

    /// Makes half of the callers use the first two entry instances.
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

/// Generates load for the configured duration, waits for the last responses, and
/// returns the record of each request.
///
/// # Errors
///
/// When there are no locations, or a caller cannot fetch the list of entries.
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
        // Exponential gaps make the arrivals a Poisson process.
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
