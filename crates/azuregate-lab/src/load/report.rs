//! The report of a run.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{Audit, Class, RequestOutcome, RequestRecord};

/// Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latency of answered requests, measured from their intended start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of answered requests.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests that were due.
    pub offered: u64,
    /// Number of requests that got their complete answer.
    pub answered: u64,
    /// Answered requests per second.
    pub goodput_per_s: f64,
    /// Requests that azuregate or a backend server refused, by status and
    /// outcome.
    pub refused: BTreeMap<String, u64>,
    /// Requests that got no complete response, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Responses that belonged to another request.
    pub mixed_up: u64,
    /// Retries after a refusal.
    pub came_back: u64,
    /// Latency by class.
    pub latency: BTreeMap<Class, Latency>,
    /// The audit against the executions, if it was requested.
    pub audit: Option<Audit>,
}

impl Latency {
    /// Returns the latency of the answered requests among `records`.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a RequestRecord>) -> Latency {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)
            .expect("the bounds are valid constants");
        for request in records {
            if request.ending == RequestOutcome::Answered {
                histogram.saturating_record(request.latency_us);
            }
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Latency {
            count: histogram.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1_000.0,
        }
    }
}

impl Report {
    /// Returns the report of `records`, which were due within `duration_ms`.
    pub fn new(records: &[RequestRecord], duration_ms: u64, audit: Option<Audit>) -> Report {
        let mut report = Report {
            offered: records.len() as u64,
            answered: 0,
            goodput_per_s: 0.0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            mixed_up: 0,
            came_back: 0,
            latency: BTreeMap::new(),
            audit,
        };
        for request in records {
            report.came_back += u64::from(request.tries.saturating_sub(1));
            match &request.ending {
                RequestOutcome::Answered => report.answered += 1,
                RequestOutcome::MixedUp => report.mixed_up += 1,
                RequestOutcome::Refused { status, outcome } => {
                    *report.refused.entry(format!("{status} {outcome}")).or_default() += 1;
                }
                RequestOutcome::Failed(reason) => {
                    *report.failed.entry(reason.clone()).or_default() += 1;
                }
            }
        }
        report.goodput_per_s = report.answered as f64 * 1_000.0 / duration_ms.max(1) as f64;
        for class in [Class::Read, Class::Keyed, Class::Upload] {
            let latency = Latency::of(records.iter().filter(|request| request.class == class));
            if latency.count > 0 {
                report.latency.insert(class, latency);
            }
        }
        report
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the number of failed requests.
    pub fn failed_count(&self) -> u64 {
        self.failed.values().sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered {}  answered {}  goodput {:.1}/s",
            self.offered, self.answered, self.goodput_per_s
        )?;
        for (how, count) in &self.refused {
            writeln!(f, "refused {how}: {count}")?;
        }
        for (why, count) in &self.failed {
            writeln!(f, "failed {why}: {count}")?;
        }
        if self.mixed_up > 0 {
            writeln!(f, "MIXED UP {}", self.mixed_up)?;
        }
        if self.came_back > 0 {
            writeln!(f, "callers came back {} times", self.came_back)?;
        }
        for (class, l) in &self.latency {
            writeln!(
                f,
                "{:<7} p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms  max {:.1} ms",
                format!("{class:?}").to_lowercase(),
                l.p50_ms,
                l.p99_ms,
                l.p999_ms,
                l.max_ms
            )?;
        }
        let Some(audit) = &self.audit else {
            return Ok(());
        };
        writeln!(
            f,
            "duplicates {}  losses {}  ran though refused as not run {}",
            audit.duplicates.len(),
            audit.losses.len(),
            audit.false_not_run.len()
        )?;
        writeln!(
            f,
            "reads run again {}  runs without an answer {}",
            audit.extra_reads, audit.unanswered_runs
        )
    }
}
