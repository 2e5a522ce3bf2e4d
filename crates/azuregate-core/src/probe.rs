/*!
Which backend servers do not answer, from the probes of a few watchers.

A server that does not answer is not leaving: it gets work again as soon as it
answers, with the same start number.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, InstanceId, StartNumber},
    neighbours,
    snapshot::{BackendServer, Liveness, Snapshot},
};

/// How many instances watch each backend server.
pub const WATCHERS_PER_SERVER: usize = 2;
/// How many probes in a row must fail: one lost packet is no failure.
const FAILURE_THRESHOLD: u32 = 2;
/// With fewer watched servers than this, a watcher cannot tell its own cut from
/// theirs.
const MIN_SERVERS_FOR_ISOLATION_CHECK: usize = 3;

/// What one watcher says, as a whole; a newer one replaces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReport {
    /// The watcher's start number.
    pub start: StartNumber,
    /// Counts the reports of this start.
    pub sequence: u64,
    /// Servers that did not answer.
    pub failed: BTreeSet<BackendId>,
}

impl ProbeReport {
    /// Whether `self` was made after `other`.
    pub fn is_newer(&self, other: &ProbeReport) -> bool {
        (self.start, self.sequence) > (other.start, other.sequence)
    }
}

/// The probes of one watcher.
#[derive(Clone, Debug, Default)]
pub struct ProbeTracker {
    failures: BTreeMap<BackendId, u32>,
}

impl ProbeTracker {
    /// Sets the servers that are watched; counts of those that stay are kept.
    pub fn set_servers(&mut self, servers: &BTreeSet<BackendId>) {
        self.failures.retain(|id, _| servers.contains(id));
        for id in servers {
            self.failures.entry(id.clone()).or_default();
        }
    }

    /// Counts a probe.
    pub fn record_probe(&mut self, id: &BackendId, answered: bool) {
        if let Some(failures) = self.failures.get_mut(id) {
            *failures = if answered { 0 } else { *failures + 1 };
        }
    }

    /// The servers that failed several probes in a row.
    ///
    /// A watcher that reaches hardly any server is cut off itself, and says
    /// nothing.
    pub fn failed_servers(&self) -> BTreeSet<BackendId> {
        let failed = self.failures.iter().filter(|(_, failures)| **failures >= FAILURE_THRESHOLD);
        let failed: BTreeSet<_> = failed.map(|(id, _)| id.clone()).collect();
        let watched = self.failures.len();
        if watched >= MIN_SERVERS_FOR_ISOLATION_CHECK && failed.len() * 3 > watched * 2 {
            return BTreeSet::new();
        }
        failed
    }
}

/// The servers that `self_id` watches.
pub fn watched_servers(self_id: &InstanceId, snapshot: &Snapshot) -> Vec<BackendServer> {
    let servers = snapshot.backends.values().flat_map(|servers| servers.iter());
    servers.filter(|server| watchers(snapshot, &server.id).contains(&self_id)).cloned().collect()
}

/// The servers that every one of their watchers found not to answer.
pub fn unreachable_servers(snapshot: &Snapshot) -> BTreeSet<BackendId> {
    let suspects: BTreeSet<_> =
        snapshot.probes.values().flat_map(|report| &report.failed).collect();
    let agreed = |id: &&BackendId| {
        let says = |watcher: &InstanceId| {
            snapshot.probes.get(watcher).is_some_and(|report| report.failed.contains(*id))
        };
        let watchers = watchers(snapshot, id);
        !watchers.is_empty() && watchers.into_iter().all(says)
    };
    suspects.into_iter().filter(agreed).cloned().collect()
}

fn watchers<'a>(snapshot: &'a Snapshot, id: &BackendId) -> Vec<&'a InstanceId> {
    let live = snapshot.instances.iter().filter(|i| i.liveness == Liveness::Live);
    neighbours::watchers(id.as_str(), live.map(|instance| &instance.id), WATCHERS_PER_SERVER)
}
