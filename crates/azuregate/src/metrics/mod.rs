/*!
Counters by statsd, and latency histograms for each service, tenant and class.

The request path sends one [`Sample`] to the [`Recorder`]'s task and goes on;
whatever costs more is done there.
*/

mod recorder;
mod statsd;

use std::fmt;

use azuregate_core::names::{ServiceName, TenantName};
use serde::{Deserialize, Serialize};

pub use recorder::{HistogramSummary, Histograms, Recorder};
pub use statsd::StatsdSink;

/// The kinds of request that are measured apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// A safe method.
    Read,
    /// Any other method, without an idempotency key.
    Write,
    /// A request with an idempotency key.
    Keyed,
}

impl RequestClass {
    /// The class's name in metrics.
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

/// One request that has been answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The service.
    pub service: ServiceName,
    /// The tenant that the request named, if any.
    pub tenant: Option<TenantName>,
    /// The class of the request.
    pub class: RequestClass,
    /// The code of the error that azuregate answered with, or [`ANSWERED`].
    pub code: &'static str,
    /// Time from the request's head to the answer's head.
    pub latency_ms: u64,
}

/// The code of a request that a backend server answered.
pub const ANSWERED: &str = "answered";

/// Takes in counters and times.
pub trait MetricSink: Send + Sync {
    /// Counts one request.
    fn request(&self, sample: &Sample);

    /// Counts samples that the recorder had no room for.
    fn dropped(&self, count: u64);
}

/// Drops all metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl MetricSink for NullSink {
    fn request(&self, _sample: &Sample) {}

    fn dropped(&self, _count: u64) {}
}
