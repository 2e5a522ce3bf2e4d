//! Open-loop load: requests start when they are due, whether or not earlier
//! ones have been answered.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use azuregate_core::{entries::Entries, names::ServiceName};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Request, header};
use serde::Serialize;
use tokio::{sync::mpsc, time};

use crate::client::{self, ClientError};

/// The longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 60_000_000;

/// What load to give.
#[derive(Clone, Debug)]
pub struct Config {
    /// Any entry instance, to ask which ones to use.
    pub at: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub duration_ms: u64,
    /// How many in a hundred are orders with an idempotency key.
    pub keyed_percent: u8,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests that were due.
    pub offered: u64,
    /// Requests that a backend server answered.
    pub answered: u64,
    /// Requests that azuregate answered itself, by status and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Requests that got no whole answer.
    pub failed: u64,
    /// Median latency from the intended start.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

enum Ending {
    Answered,
    Refused(String),
    Failed,
}

/// Asks an entry instance which ones to use for a service.
///
/// # Errors
///
/// When the instance cannot be reached or its answer is not understood.
pub async fn entries(at: SocketAddr, service: &ServiceName) -> Result<Entries, ClientError> {
    let answer = client::get(at, &format!("/v1/entries?service={service}")).await?;
    if !answer.status().is_success() {
        return Err(String::from_utf8_lossy(answer.body()).into_owned().into());
    }
    Ok(serde_json::from_slice(answer.body())?)
}

/// Gives load until its time is over and the last answers are in.
///
/// # Errors
///
/// When no entry instance can be learnt at the start.
pub async fn run(config: &Config) -> Result<Report, ClientError> {
    let entries = entries(config.at, &config.service).await?;
    let Some(entry) = entries.entries.first() else {
        return Err("no entry instance takes requests".into());
    };
    let addr = entry.addr;
    let (sender, receiver) = mpsc::unbounded_channel();
    let tally = tokio::spawn(tally(receiver));
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
        let keyed = rng.u8(..100) < config.keyed_percent;
        let name = format!("load-{:x}-{sequence}", config.seed);
        let request = request(&config.service, &name, keyed)?;
        let sender = sender.clone();
        tokio::spawn(async move {
            let ending = one(addr, request).await;
            let _ = sender.send((ending, due.elapsed()));
        });
    }
    drop(sender);
    Ok(tally.await?)
}

fn request(
    service: &ServiceName,
    name: &str,
    keyed: bool,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let builder = Request::builder()
        .uri("/feeding-schedule")
        .header(header::HOST, service.as_str())
        .header("azuregate-request-id", name);
    if keyed {
        let builder = builder.method("POST").header("idempotency-key", name);
        return Ok(builder.body(Full::from("order"))?);
    }
    Ok(builder.body(Full::default())?)
}

async fn one(addr: SocketAddr, request: Request<Full<Bytes>>) -> Ending {
    let Ok(answer) = client::call(addr, request).await else {
        return Ending::Failed;
    };
    match answer.headers().get("azuregate-outcome") {
        None => Ending::Answered,
        Some(outcome) => {
            let outcome = outcome.to_str().unwrap_or("?");
            Ending::Refused(format!("{} {outcome}", answer.status().as_u16()))
        }
    }
}

async fn tally(mut receiver: mpsc::UnboundedReceiver<(Ending, Duration)>) -> Report {
    let mut latency_us = Histogram::<u64>::new_with_max(LATENCY_LIMIT_US, 3)
        .expect("the bounds are valid constants");
    let mut report = Report {
        offered: 0,
        answered: 0,
        refused: BTreeMap::new(),
        failed: 0,
        p50_ms: 0.0,
        p99_ms: 0.0,
        p999_ms: 0.0,
    };
    while let Some((ending, taken)) = receiver.recv().await {
        report.offered += 1;
        match ending {
            Ending::Answered => {
                report.answered += 1;
                let us = u64::try_from(taken.as_micros()).unwrap_or(u64::MAX);
                latency_us.saturating_record(us);
            }
            Ending::Refused(how) => *report.refused.entry(how).or_default() += 1,
            Ending::Failed => report.failed += 1,
        }
    }
    let at = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
    report.p50_ms = at(0.5);
    report.p99_ms = at(0.99);
    report.p999_ms = at(0.999);
    report
}
