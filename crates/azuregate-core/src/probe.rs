/*!
Detects backend servers that do not answer, from the probes of a few watchers.

An unreachable server is not leaving: it gets work again as soon as it answers, with the
same start number.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, InstanceId, StartNumber},
    neighbours,
    snapshot::{BackendServer, Liveness, Snapshot},
};

/// Number of instances that watch each backend server.
pub const WATCHERS_PER_SERVER: usize = 2;
/// Number of consecutive failed probes after which a server counts as failed, so that a
/// single lost packet has no effect.
const FAILURE_THRESHOLD: u32 = 2;
/// With fewer servers, a watcher cannot distinguish its own partition from failures of
/// the servers.
const MIN_SERVERS_FOR_ISOLATION_CHECK: usize = 3;

/// All failed servers of one watcher; a newer report replaces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReport {
    /// The watcher's start number.
    pub start: StartNumber,
    /// Sequence number of the report within that start.
    pub sequence: u64,
    /// The servers that did not answer.
    pub failed: BTreeSet<BackendId>,
}

impl ProbeReport {
    /// Returns whether `self` was made after `other`.
    pub fn is_newer(&self, other: &ProbeReport) -> bool {
        (self.start, self.sequence) > (other.start, other.sequence)
    }
}

/// Counts the consecutive failed probes of the servers of one watcher.
#[derive(Clone, Debug, Default)]
pub struct ProbeTracker {
    failures: BTreeMap<BackendId, u32>,
}

impl ProbeTracker {
    /// Sets the watched servers; the counts of those that remain are kept.
    pub fn set_servers(&mut self, servers: &BTreeSet<BackendId>) {
        self.failures.retain(|id, _| servers.contains(id));
        for id in servers {
            self.failures.entry(id.clone()).or_default();
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, id: &BackendId, answered: bool) {
        if let Some(failures) = self.failures.get_mut(id) {
            *failures = if answered { 0 } else { *failures + 1 };
        }
    }

    /// Returns the servers that failed several consecutive probes.
    ///
    /// Returns none if the watcher reaches hardly any server, since it is then
    /// partitioned itself.
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

/// Returns the servers that `self_id` watches.
pub fn watched_servers(self_id: &InstanceId, snapshot: &Snapshot) -> Vec<BackendServer> {
    let servers = snapshot.backends.values().flat_map(|servers| servers.iter());
    servers.filter(|server| watchers(snapshot, &server.id).contains(&self_id)).cloned().collect()
}

/// Returns the servers that all of their watchers report as failed.
pub fn unreachable_servers(snapshot: &Snapshot) -> BTreeSet<BackendId> {
    let suspects: BTreeSet<_> =
        snapshot.probes.values().flat_map(|report| &report.failed).collect();
    let is_unreachable = |id: &&BackendId| {
        let reports_failure = |watcher: &InstanceId| {
            snapshot.probes.get(watcher).is_some_and(|report| report.failed.contains(*id))
        };
        let watchers = watchers(snapshot, id);
        !watchers.is_empty() && watchers.into_iter().all(reports_failure)
    };
    suspects.into_iter().filter(is_unreachable).cloned().collect()
}

fn watchers<'a>(snapshot: &'a Snapshot, id: &BackendId) -> Vec<&'a InstanceId> {
    let live = snapshot.instances.iter().filter(|i| i.liveness == Liveness::Live);
    neighbours::watchers(id.as_str(), live.map(|instance| &instance.id), WATCHERS_PER_SERVER)
}
