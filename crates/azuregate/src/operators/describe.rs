//! What an instance knows and does, as operators see it.

use azuregate_core::{
    names::ServiceName,
    snapshot::{BackendServer, Instance, Liveness, Snapshot},
};
use azuregate_schema::v1;

use super::effect::closed_reasons;
use crate::metrics::{HistogramSummary, Histograms};

/// Whether an instance is ready, and why.
pub(super) fn readiness(snapshot: &Snapshot, stopping: bool) -> (bool, String) {
    if stopping {
        return (false, "a planned stop is in progress".to_owned());
    }
    (snapshot.ready, snapshot.readiness.to_string())
}

pub(super) fn instances(snapshot: &Snapshot) -> Vec<v1::Instance> {
    snapshot.instances.iter().map(|i| instance(snapshot, i)).collect()
}

fn instance(snapshot: &Snapshot, instance: &Instance) -> v1::Instance {
    let is_stopping = snapshot.stopping.iter().any(|(id, _)| *id == instance.id);
    let reason = if instance.liveness == Liveness::Live {
        ""
    } else if is_stopping {
        "it said that it stops"
    } else if snapshot.unavailable.contains(&instance.id) {
        "its peers do not hear of it"
    } else {
        "the platform lists it as leaving"
    };
    v1::Instance {
        reason: reason.to_owned(),
        id: instance.id.to_string(),
        zone: instance.zone.to_string(),
        traffic_addr: instance.traffic_addr().to_string(),
        live: instance.liveness == Liveness::Live,
    }
}

/// The backend servers of one service, or of all.
pub(super) fn backends(snapshot: &Snapshot, service: Option<&ServiceName>) -> Vec<v1::Backend> {
    let is_selected = |name: &ServiceName| service.is_none_or(|service| service == name);
    let services = snapshot.backends.iter().filter(|(name, _)| is_selected(name));
    services.flat_map(|(_, servers)| servers.iter()).map(|s| backend(snapshot, s)).collect()
}

fn backend(snapshot: &Snapshot, server: &BackendServer) -> v1::Backend {
    let policy = snapshot.policies.get(&server.service).map(|policy| &**policy);
    let reasons = closed_reasons(snapshot, server, policy);
    v1::Backend {
        id: server.id.to_string(),
        service: server.service.to_string(),
        zone: server.zone.to_string(),
        addr: server.addr.to_string(),
        slots: server.slots,
        open: reasons.is_empty(),
        reasons: reasons.into_iter().map(str::to_owned).collect(),
    }
}

/// The histograms of one service, or of all.
pub(super) fn histograms(
    histograms: Histograms,
    service: Option<&ServiceName>,
) -> Vec<v1::Histogram> {
    let is_selected =
        |summary: &HistogramSummary| service.is_none_or(|service| *service == summary.service);
    histograms.histograms.into_iter().filter(is_selected).map(histogram).collect()
}

fn histogram(summary: HistogramSummary) -> v1::Histogram {
    v1::Histogram {
        service: summary.service.to_string(),
        tenant: summary.tenant.map_or_else(String::new, |tenant| tenant.to_string()),
        class: summary.class.to_string(),
        count: summary.count,
        errors: summary.errors,
        p50_ms: summary.p50_ms,
        p99_ms: summary.p99_ms,
        p999_ms: summary.p999_ms,
        max_ms: summary.max_ms,
    }
}
