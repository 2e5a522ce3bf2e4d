//! Counters and latency histograms in the Prometheus text format.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::Write,
};

use azuregate_core::client_memory::{Limits, Usage};
use hdrhistogram::Histogram;

use super::client_memory::EvictionCounters;

/// Longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 60_000;
/// Bounds memory, since each route that was ever configured adds series.
const MAX_SERIES: usize = 256;

/// The metrics of one instance.
#[derive(Default)]
pub(super) struct Metrics {
    pub(super) changes: ChangeCounters,
    /// Crashes of backend servers that this instance saw.
    pub(super) backend_crashes: Cell<u64>,
    /// New connections to backend servers.
    pub(super) connects: Cell<u64>,
    /// New connections to backend servers that failed.
    pub(super) failed_connects: Cell<u64>,
    /// Responses in which a backend server asked for a pause.
    pub(super) pushbacks: Cell<u64>,
    /// Requests that were not sent, since the backend server had asked for a pause or announced its
    /// leaving after it was chosen.
    pub(super) withheld: Cell<u64>,
    /// Responses that this instance did not read to the end, after a part had been forwarded.
    pub(super) responses_cut: Cell<u64>,
    /// Responses of backend servers that name another request than the one that was sent, or none.
    pub(super) unmatched_responses: Cell<u64>,
    /// Refusals of writes by backend servers that did not say that these were not executed.
    pub(super) unproven_refusals: Cell<u64>,
    /// Requests sent to other instances, since no backend server was reachable.
    pub(super) forwarded: Cell<u64>,
    /// Requests that other instances sent on the account of this one's parts of rate limits.
    pub(super) grants: Cell<u64>,
    series: RefCell<BTreeMap<Labels, Histogram<u64>>>,
    /// Retries by service.
    retries: RefCell<BTreeMap<String, RetryCounters>>,
}

/// Retries of requests for one service.
#[derive(Clone, Copy, Debug, Default)]
struct RetryCounters {
    allowed: u64,
    /// Refused for lack of budget.
    denied: u64,
}

/// Counters of the replication of table changes between instances.
#[derive(Debug, Default)]
pub(super) struct ChangeCounters {
    /// Bytes of encoded changes sent to followers.
    pub(super) sent_bytes: Cell<u64>,
    /// Lost connections to sources.
    pub(super) sources_lost: Cell<u64>,
    /// Lost connections of followers.
    pub(super) followers_lost: Cell<u64>,
    /// Full reads of a table from the store.
    pub(super) tables_read: Cell<u64>,
}

pub(super) fn inc_by(counter: &Cell<u64>, amount: u64) {
    counter.set(counter.get().saturating_add(amount));
}

/// Values sampled when the metrics are rendered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gauges {
    /// Whether the instance is ready to serve requests.
    pub(super) is_ready: bool,
    /// Open client connections.
    pub(super) connections: usize,
    /// What clients hold.
    pub(super) client_usage: Usage,
    /// What clients may hold.
    pub(super) client_limits: Limits,
    /// Registered instances.
    pub(super) instances: usize,
    /// Instances that follow this one.
    pub(super) followers: usize,
    /// Whether the instance watches the store itself.
    pub(super) is_watching: bool,
    /// Quarantined requests.
    pub(super) quarantined_requests: usize,
    /// Backend servers that limit their rate.
    pub(super) limited_servers: usize,
    /// Backend servers that have asked for a pause.
    pub(super) paused_servers: usize,
    /// Backend servers that have told this instance that they are leaving.
    pub(super) leaving_servers: usize,
    /// Services of which no backend server is reachable.
    pub(super) unreachable_services: usize,
    /// The version of the current configuration.
    pub(super) config_version: Option<u64>,
    /// The time since the tables were last confirmed current.
    pub(super) age_ms: Option<u64>,
}

/// The labels of a latency histogram.
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
    /// Records the outcome and latency of one request.
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

    /// Counts a retry that the budget of `service` allowed or denied.
    pub(super) fn record_retry(&self, service: &str, is_allowed: bool) {
        let mut retries = self.retries.borrow_mut();
        if retries.len() >= MAX_SERIES && !retries.contains_key(service) {
            return;
        }
        let counters = retries.entry(service.to_owned()).or_default();
        counters.allowed += u64::from(is_allowed);
        counters.denied += u64::from(!is_allowed);
    }

    /// Renders all metrics as text, one per line.
    pub(super) fn render(&self, gauges: Gauges, evictions: &EvictionCounters) -> String {
        let mut text = String::new();
        let mut line = |line: std::fmt::Arguments<'_>| {
            let _ = text.write_fmt(line);
            text.push('\n');
        };
        line(format_args!("azuregate_ready {}", u8::from(gauges.is_ready)));
        line(format_args!("azuregate_connections {}", gauges.connections));
        let Gauges { client_usage: usage, client_limits: limits, .. } = gauges;
        line(format_args!("azuregate_client_memory_bytes {}", usage.bytes));
        line(format_args!("azuregate_client_memory_limit_bytes {}", limits.total_bytes));
        line(format_args!("azuregate_held_connections {}", usage.connections));
        line(format_args!("azuregate_held_connections_limit {}", limits.connections));
        for (name, counter) in evictions.with_names() {
            line(format_args!("azuregate_{name}_total {}", counter.get()));
        }
        line(format_args!("azuregate_instances {}", gauges.instances));
        line(format_args!("azuregate_followers {}", gauges.followers));
        line(format_args!("azuregate_watching {}", u8::from(gauges.is_watching)));
        line(format_args!("azuregate_quarantined_requests {}", gauges.quarantined_requests));
        line(format_args!("azuregate_limited_backends {}", gauges.limited_servers));
        line(format_args!("azuregate_paused_backends {}", gauges.paused_servers));
        line(format_args!("azuregate_leaving_backends {}", gauges.leaving_servers));
        let unreachable = gauges.unreachable_services;
        line(format_args!("azuregate_unreachable_services {unreachable}"));
        line(format_args!("azuregate_forwarded_requests_total {}", self.forwarded.get()));
        line(format_args!("azuregate_backend_crashes_total {}", self.backend_crashes.get()));
        for (result, count) in [("ok", &self.connects), ("failed", &self.failed_connects)] {
            let labels = format!("result=\"{result}\"");
            line(format_args!("azuregate_backend_connects_total{{{labels}}} {}", count.get()));
        }
        line(format_args!("azuregate_backend_pushbacks_total {}", self.pushbacks.get()));
        line(format_args!("azuregate_withheld_requests_total {}", self.withheld.get()));
        line(format_args!("azuregate_responses_cut_total {}", self.responses_cut.get()));
        line(format_args!(
            "azuregate_unmatched_responses_total {}",
            self.unmatched_responses.get()
        ));
        line(format_args!("azuregate_unproven_refusals_total {}", self.unproven_refusals.get()));
        line(format_args!("azuregate_rate_limit_grants_total {}", self.grants.get()));
        if let Some(version) = gauges.config_version {
            line(format_args!("azuregate_config_version {version}"));
        }
        if let Some(age_ms) = gauges.age_ms {
            line(format_args!("azuregate_knowledge_age_ms {age_ms}"));
        }
        for (name, counter) in self.changes.with_names() {
            line(format_args!("azuregate_{name}_total {}", counter.get()));
        }
        for (service, RetryCounters { allowed, denied }) in self.retries.borrow().iter() {
            for (result, count) in [("allowed", allowed), ("denied", denied)] {
                let labels = format!("service=\"{service}\",result=\"{result}\"");
                line(format_args!("azuregate_retries_total{{{labels}}} {count}"));
            }
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
