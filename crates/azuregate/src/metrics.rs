//! Counters by statsd, and latency histograms for each service and class.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use azuregate_core::names::ServiceName;
use cadence::{Counted, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

/// The longest latency that the histograms tell apart, in milliseconds.
const LATENCY_LIMIT_MS: u64 = 3_600_000;

/// The kinds of request that are measured apart.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A safe method.
    Read,
    /// Any other method, without an idempotency key.
    Write,
    /// A request with an idempotency key.
    Keyed,
}

impl Class {
    /// The class's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Read => "read",
            Class::Write => "write",
            Class::Keyed => "keyed",
        }
    }
}

/// Takes in counters and times.
pub trait MetricSink: Send + Sync {
    /// Counts one request.
    fn request(&self, service: &str, class: &str, code: &str, taken_ms: u64);
}

/// Sends metrics by UDP in the statsd format.
pub struct StatsdSink {
    client: StatsdClient,
}

impl StatsdSink {
    /// A sink that sends to `addr`.
    ///
    /// # Errors
    ///
    /// When no local UDP port can be opened.
    pub fn new(addr: SocketAddr) -> Result<StatsdSink, Box<dyn std::error::Error + Send + Sync>> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
        Ok(StatsdSink { client: StatsdClient::from_sink("azuregate", sink) })
    }
}

impl MetricSink for StatsdSink {
    fn request(&self, service: &str, class: &str, code: &str, taken_ms: u64) {
        self.client
            .count_with_tags("request", 1)
            .with_tag("service", service)
            .with_tag("class", class)
            .with_tag("code", code)
            .send();
        self.client
            .time_with_tags("request_ms", taken_ms)
            .with_tag("service", service)
            .with_tag("class", class)
            .send();
    }
}

/// Drops all metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl MetricSink for NullSink {
    fn request(&self, _service: &str, _class: &str, _code: &str, _taken_ms: u64) {}
}

/// A handle to the task that owns the histograms; cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    sender: mpsc::UnboundedSender<Message>,
    sink: Arc<dyn MetricSink>,
}

enum Message {
    Record { service: ServiceName, class: Class, taken_ms: u64 },
    Read { reply: oneshot::Sender<Vec<Summary>> },
}

/// One histogram in short.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The service.
    pub service: ServiceName,
    /// The class of its requests.
    pub class: Class,
    /// How many requests were recorded.
    pub count: u64,
    /// Median latency.
    pub p50_ms: u64,
    /// 99th percentile of latency.
    pub p99_ms: u64,
    /// 99.9th percentile of latency.
    pub p999_ms: u64,
    /// Largest latency.
    pub max_ms: u64,
}

impl Recorder {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(sink: Arc<dyn MetricSink>) -> Recorder {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(serve(receiver));
        Recorder { sender, sink }
    }

    /// Takes in one request.
    pub fn request(&self, service: &ServiceName, class: Class, code: &str, taken_ms: u64) {
        self.sink.request(service.as_str(), class.as_str(), code, taken_ms);
        let _ = self.sender.send(Message::Record { service: service.clone(), class, taken_ms });
    }

    /// Reads all histograms, ordered by service and class.
    pub async fn summaries(&self) -> Vec<Summary> {
        let (reply, answer) = oneshot::channel();
        let _ = self.sender.send(Message::Read { reply });
        answer.await.unwrap_or_default()
    }
}

async fn serve(mut receiver: mpsc::UnboundedReceiver<Message>) {
    let mut histograms: BTreeMap<(ServiceName, Class), Histogram<u64>> = BTreeMap::new();
    while let Some(message) = receiver.recv().await {
        match message {
            Message::Record { service, class, taken_ms } => {
                let histogram = histograms.entry((service, class)).or_insert_with(histogram);
                histogram.saturating_record(taken_ms);
            }
            Message::Read { reply } => {
                let _ = reply.send(histograms.iter().map(summary).collect());
            }
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_LIMIT_MS, 2).expect("the bounds are valid constants")
}

fn summary(entry: (&(ServiceName, Class), &Histogram<u64>)) -> Summary {
    let ((service, class), histogram) = entry;
    Summary {
        service: service.clone(),
        class: *class,
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        p999_ms: histogram.value_at_quantile(0.999),
        max_ms: histogram.max(),
    }
}
