//! What other instances report that they have at the backend servers.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::names::InstanceId;

/// A report is believed for this long. Instances report several times a second
/// while they have requests.
const REPORT_TTL_MS: u64 = 1_500;

/// Requests that an instance has at one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightCount {
    /// A hash of the server's name, the same on all instances. Two servers with
    /// the same hash would look busier than they are.
    pub backend: u32,
    /// How many requests.
    pub count: u32,
}

/// The last report of each of the other instances.
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

    /// The age of the oldest report that is believed; 0 if there is none.
    pub(super) fn oldest_report_ms(&self, now_ms: u64) -> u64 {
        let ages = self.reports.values().map(|report| now_ms.saturating_sub(report.received_at_ms));
        ages.max().unwrap_or_default()
    }

    /// The requests of all of them at each server.
    pub(super) fn counts(&self) -> HashMap<u32, u32> {
        let mut counts = HashMap::new();
        for at in self.reports.values().flat_map(|report| &report.in_flight) {
            *counts.entry(at.backend).or_default() += at.count;
        }
        counts
    }
}
