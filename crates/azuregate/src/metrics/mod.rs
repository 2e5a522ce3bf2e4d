/*!
Metrics: statsd counters, and latency histograms by service, tenant and class.

Requests only enqueue a [`Sample`]; the task of the [`Recorder`] aggregates samples
and sends them to a [`MetricSink`].
*/

mod recorder;
mod statsd;

use std::fmt;

use azuregate_core::names::{ServiceName, TenantName};
use serde::{Deserialize, Serialize};

pub use recorder::{HistogramSummary, Histograms, Recorder};
pub use statsd::StatsdSink;

/// The classes of requests that metrics distinguish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// A request with a safe method.
    Read,
    /// A request with any other method and without an idempotency key.
    Write,
    /// A request with an idempotency key.
    Keyed,
}

impl RequestClass {
    /// Returns the name of the class in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestClass::Read => "read",
            RequestClass::Write => "write",
            RequestClass::Keyed => "keyed",
        }
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The measurement of one completed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The service.
    pub service: ServiceName,
    /// The tenant of the request, if specified.
    pub tenant: Option<TenantName>,
    /// The class of the request.
    pub class: RequestClass,
    /// The error code of azuregate's response, or [`ANSWERED`].
    pub code: &'static str,
    /// Time from the head of the request to the head of the response.
    pub latency_ms: u64,
}

/// The code of a request that a backend server responded to.
pub const ANSWERED: &str = "answered";

/// A destination of metrics.
pub trait MetricSink: Send + Sync {
    /// Records one request.
    fn request(&self, sample: &Sample);

    /// Counts samples that were dropped because the queue of the recorder was full.
    fn dropped(&self, count: u64);
}

/// A sink that discards all metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl MetricSink for NullSink {
    fn request(&self, _sample: &Sample) {}

    fn dropped(&self, _count: u64) {}
}
