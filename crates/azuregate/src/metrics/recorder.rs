//! Task that aggregates samples into histograms.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use azuregate_core::{
    error::ErrorKind,
    names::{ServiceName, TenantName},
};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::{ANSWERED, MetricSink, RequestClass, Sample};

/// Upper bound of the histograms; longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 3_600_000;
const MAX_QUEUED_SAMPLES: usize = 16_384;
/// Number of tenants with histograms of their own.
const MAX_TENANTS: usize = 64;
/// Number of services with histograms of their own.
const MAX_SERVICES: usize = 64;
/// Label of all further services and tenants.
const OTHER: &str = "other";

/// A handle to the task that aggregates samples; cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    samples: mpsc::Sender<Sample>,
    requests: mpsc::Sender<HistogramsRequest>,
    dropped: Arc<AtomicU64>,
}

struct HistogramsRequest {
    reply: oneshot::Sender<Histograms>,
}

/// Summaries of all histograms.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Histograms {
    /// The summaries, ordered by service, tenant and class.
    pub histograms: Vec<HistogramSummary>,
    /// Samples dropped since the start because the queue was full.
    pub dropped: u64,
}

/// Summary of one histogram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HistogramSummary {
    /// The service.
    pub service: ServiceName,
    /// The tenant, `None` for requests without one.
    pub tenant: Option<TenantName>,
    /// The class of the requests.
    pub class: RequestClass,
    /// Number of requests.
    pub count: u64,
    /// Number of requests for which azuregate itself returned an error.
    pub errors: u64,
    /// Median latency.
    pub p50_ms: u64,
    /// 99th percentile of the latency.
    pub p99_ms: u64,
    /// 99.9th percentile of the latency.
    pub p999_ms: u64,
    /// Maximum latency.
    pub max_ms: u64,
}

impl Recorder {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(sink: Arc<dyn MetricSink>) -> Recorder {
        let (samples, receiver) = mpsc::channel(MAX_QUEUED_SAMPLES);
        let (requests, request_receiver) = mpsc::channel(1);
        let dropped = Arc::new(AtomicU64::new(0));
        let task = Task {
            sink,
            dropped: Arc::clone(&dropped),
            dropped_reported: 0,
            series: BTreeMap::new(),
            services: BTreeSet::new(),
            tenants: BTreeSet::new(),
        };
        tokio::spawn(task.run(receiver, request_receiver));
        Recorder { samples, requests, dropped }
    }

    /// Enqueues a sample without blocking.
    ///
    /// If the queue is full, the sample is dropped and counted. An unbounded queue would
    /// grow without limit under overload.
    pub fn record(&self, sample: Sample) {
        if self.samples.try_send(sample).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns summaries of all histograms.
    pub async fn histograms(&self) -> Histograms {
        let (reply, response) = oneshot::channel();
        // Cannot fail: the task runs as long as a handle exists.
        let _ = self.requests.send(HistogramsRequest { reply }).await;
        response.await.unwrap_or_default()
    }
}

type Key = (ServiceName, Option<TenantName>, RequestClass);

struct Series {
    latency_ms: Histogram<u64>,
    errors: u64,
}

struct Task {
    sink: Arc<dyn MetricSink>,
    dropped: Arc<AtomicU64>,
    dropped_reported: u64,
    series: BTreeMap<Key, Series>,
    services: BTreeSet<ServiceName>,
    tenants: BTreeSet<TenantName>,
}

impl Task {
    async fn run(
        mut self,
        mut samples: mpsc::Receiver<Sample>,
        mut requests: mpsc::Receiver<HistogramsRequest>,
    ) {
        loop {
            tokio::select! {
                sample = samples.recv() => {
                    let Some(sample) = sample else { return };
                    self.record(sample);
                }
                Some(request) = requests.recv() => {
                    // Samples enqueued before the request must be in its response.
                    for _ in 0..samples.len() {
                        let Ok(sample) = samples.try_recv() else { break };
                        self.record(sample);
                    }
                    let _ = request.reply.send(self.histograms());
                }
            }
        }
    }

    fn record(&mut self, mut sample: Sample) {
        self.report_dropped();
        self.limit_cardinality(&mut sample);
        self.sink.request(&sample);
        let key = (sample.service, sample.tenant, sample.class);
        let series = self.series.entry(key).or_insert_with(Series::new);
        series.latency_ms.saturating_record(sample.latency_ms);
        series.errors += u64::from(sample.code != ANSWERED);
    }

    /// Limits the number of series, since callers choose the names of services and
    /// tenants: after the first names, all further ones are recorded as [`OTHER`].
    fn limit_cardinality(&mut self, sample: &mut Sample) {
        let unknown = [ErrorKind::UnknownService.code(), ErrorKind::NotReady.code()];
        let known = !unknown.contains(&sample.code)
            && admit(&mut self.services, &sample.service, MAX_SERVICES);
        if !known {
            sample.service = ServiceName::new(OTHER);
        }
        if let Some(tenant) = &sample.tenant
            && !(known && admit(&mut self.tenants, tenant, MAX_TENANTS))
        {
            sample.tenant = Some(TenantName::new(OTHER));
        }
    }

    fn report_dropped(&mut self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.dropped_reported {
            self.sink.dropped(dropped - self.dropped_reported);
            self.dropped_reported = dropped;
        }
    }

    fn histograms(&self) -> Histograms {
        Histograms {
            histograms: self.series.iter().map(summary).collect(),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

fn admit<T: Clone + Ord>(seen: &mut BTreeSet<T>, name: &T, limit: usize) -> bool {
    if seen.contains(name) {
        return true;
    }
    seen.len() < limit && seen.insert(name.clone())
}

impl Series {
    fn new() -> Series {
        let latency_ms =
            Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("the constant bounds are valid");
        Series { latency_ms, errors: 0 }
    }
}

fn summary(((service, tenant, class), series): (&Key, &Series)) -> HistogramSummary {
    let latency_ms = &series.latency_ms;
    HistogramSummary {
        service: service.clone(),
        tenant: tenant.clone(),
        class: *class,
        count: latency_ms.len(),
        errors: series.errors,
        p50_ms: latency_ms.value_at_quantile(0.5),
        p99_ms: latency_ms.value_at_quantile(0.99),
        p999_ms: latency_ms.value_at_quantile(0.999),
        max_ms: latency_ms.max(),
    }
}
