//! Load reports from other instances.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::names::InstanceId;

/// Age after which a load report is discarded. Instances with requests in flight report
/// several times a second.
const REPORT_TTL_MS: u64 = 1_500;

/// Number of requests that an instance has in flight at one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightCount {
    /// Hash of the server's name, the same on all instances. Servers whose hashes collide
    /// are charged each other's requests.
    pub backend: u32,
    /// Number of requests.
    pub count: u32,
}

/// Latest load report of each other instance.
#[derive(Clone, Debug, Default)]
pub(super) struct RemoteLoad {
    reports: BTreeMap<InstanceId, LoadReport>,
}

#[derive(Clone, Debug)]
struct LoadReport {
    in_flight: Vec<InFlightCount>,
    received_at_ms: u64,
}

impl RemoteLoad {
    pub(super) fn record(
        &mut self,
        instance: &InstanceId,
        in_flight: Vec<InFlightCount>,
        now_ms: u64,
    ) {
        self.reports.insert(instance.clone(), LoadReport { in_flight, received_at_ms: now_ms });
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| now_ms.saturating_sub(report.received_at_ms) <= REPORT_TTL_MS);
    }

    /// Returns the age of the oldest report, 0 if there is none.
    pub(super) fn oldest_report_age_ms(&self, now_ms: u64) -> u64 {
        let ages = self.reports.values().map(|report| now_ms.saturating_sub(report.received_at_ms));
        ages.max().unwrap_or_default()
    }

    /// Sums the requests of all reports by the hash of the server's name.
    pub(super) fn in_flight_by_backend(&self) -> HashMap<u32, u32> {
        let mut in_flight_by_backend = HashMap::new();
        for at in self.reports.values().flat_map(|report| &report.in_flight) {
            *in_flight_by_backend.entry(at.backend).or_default() += at.count;
        }
        in_flight_by_backend
    }
}
