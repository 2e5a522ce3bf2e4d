//! Counters and latency histograms, served as text.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write,
};

use hdrhistogram::Histogram;

/// The longest latency that is told apart.
const MAX_LATENCY_MS: u64 = 60_000;
/// Series that are kept at the most; routes come and go with the configuration.
const MAX_SERIES: usize = 256;

/// Counters and histograms of one instance.
#[derive(Default)]
pub(super) struct Metrics {
    pub(super) changes: ChangeCounters,
    series: RefCell<BTreeMap<Labels, Histogram<u64>>>,
}

/// What became of the store's changes on their way between instances.
#[derive(Debug, Default)]
pub(super) struct ChangeCounters {
    /// Bytes of changes sent to followers.
    pub(super) sent_bytes: Cell<u64>,
    /// Connections to sources that ended.
    pub(super) sources_lost: Cell<u64>,
    /// Connections of followers that ended.
    pub(super) followers_lost: Cell<u64>,
    /// Tables read whole from the store.
    pub(super) tables_read: Cell<u64>,
}

/// Adds to a counter.
pub(super) fn inc_by(counter: &Cell<u64>, amount: u64) {
    counter.set(counter.get().saturating_add(amount));
}

/// What is true of the instance at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gauges {
    /// Whether it takes requests.
    pub(super) is_ready: bool,
    /// Open connections of clients.
    pub(super) connections: usize,
    /// Registered instances.
    pub(super) instances: usize,
    /// Instances that follow this one.
    pub(super) followers: usize,
    /// Whether it watches the store.
    pub(super) is_watching: bool,
    /// The version of the configuration in force.
    pub(super) config_version: Option<u64>,
    /// How old its knowledge of the store is.
    pub(super) age_ms: Option<u64>,
}

/// What tells one histogram from another.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Labels {
    service: String,
    route: String,
    code: &'static str,
}

impl ChangeCounters {
    fn with_names(&self) -> [(&'static str, &Cell<u64>); 4] {
        [
            ("changes_sent_bytes", &self.sent_bytes),
            ("sources_lost", &self.sources_lost),
            ("followers_lost", &self.followers_lost),
            ("tables_read", &self.tables_read),
        ]
    }
}

impl Metrics {
    /// Takes in one request.
    pub(super) fn record_request(
        &self,
        service: &str,
        route: &str,
        code: &'static str,
        taken_ms: u64,
    ) {
        let mut series = self.series.borrow_mut();
        let key = Labels { service: service.to_owned(), route: route.to_owned(), code };
        if series.len() >= MAX_SERIES && !series.contains_key(&key) {
            return;
        }
        let histogram = series.entry(key).or_insert_with(|| {
            Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("the bounds are valid constants")
        });
        histogram.saturating_record(taken_ms);
    }

    /// All of them as text, a line each.
    pub(super) fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |line: std::fmt::Arguments<'_>| {
            let _ = text.write_fmt(line);
            text.push('\n');
        };
        line(format_args!("azuregate_ready {}", u8::from(gauges.is_ready)));
        line(format_args!("azuregate_connections {}", gauges.connections));
        line(format_args!("azuregate_instances {}", gauges.instances));
        line(format_args!("azuregate_followers {}", gauges.followers));
        line(format_args!("azuregate_watching {}", u8::from(gauges.is_watching)));
        if let Some(version) = gauges.config_version {
            line(format_args!("azuregate_config_version {version}"));
        }
        if let Some(age_ms) = gauges.age_ms {
            line(format_args!("azuregate_knowledge_age_ms {age_ms}"));
        }
        for (name, counter) in self.changes.with_names() {
            line(format_args!("azuregate_{name}_total {}", counter.get()));
        }
        for (Labels { service, route, code }, histogram) in self.series.borrow().iter() {
            let labels = format!("service=\"{service}\",route=\"{route}\",code=\"{code}\"");
            line(format_args!("azuregate_requests_total{{{labels}}} {}", histogram.len()));
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let value = histogram.value_at_quantile(quantile);
                line(format_args!(
                    "azuregate_latency_ms{{{labels},quantile=\"{quantile}\"}} {value}"
                ));
            }
        }
        text
    }
}
