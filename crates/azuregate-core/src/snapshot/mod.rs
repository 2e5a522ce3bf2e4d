//! The configuration in force and the list of live and leaving instances.

mod listing;
mod readiness;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    entries,
    names::{BackendId, InstanceId, ServiceName, StartNumber},
    policy::{DEFAULT_SHIFT_DELAY_MS, Policy},
    probe::{self, ProbeReport},
    route::{ServerStatus, hash},
    topology::Topology,
};

pub use listing::{BackendServer, Instance, InstanceList, Liveness};
pub use readiness::Readiness;

/// Lower limit of the confirmation timeout; below it, the delay of heartbeats and polls
/// would make healthy instances unavailable.
const MIN_CONFIRMATION_TIMEOUT_MS: u64 = 3_000;

/// Everything that the request path reads; immutable, and replaced as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Regions and availability zones, from the settings.
    pub topology: Arc<Topology>,
    /// The policy in force for each service.
    pub policies: BTreeMap<ServiceName, Arc<Policy>>,
    /// The entry instances, ordered by name. Unavailable instances are marked as
    /// leaving, whatever the platform lists.
    pub instances: Arc<[Instance]>,
    /// The entry instances as the platform lists them, ordered by name.
    pub listed: Arc<[Instance]>,
    /// Instances that get no new work for a reason other than the list.
    pub unavailable: BTreeSet<InstanceId>,
    /// The latest known start of each entry instance.
    pub starts: BTreeMap<InstanceId, StartNumber>,
    /// Instances that announced a planned stop, with their start numbers.
    pub stopping: BTreeSet<(InstanceId, StartNumber)>,
    /// The backend servers of each service, ordered by name.
    pub backends: BTreeMap<ServiceName, Arc<[BackendServer]>>,
    /// Backend servers that are leaving for a reason other than the list. The same
    /// start of a server never takes new work again.
    pub leaving: BTreeSet<(BackendId, StartNumber)>,
    /// The latest probe report of each watcher.
    pub probes: BTreeMap<InstanceId, ProbeReport>,
    /// Backend servers that do not answer probes; they get work again once they answer.
    pub unreachable: BTreeSet<BackendId>,
    /// Whether the policies were confirmed by the platform or by peers.
    pub ready: bool,
    /// The reason for `ready`.
    pub readiness: Readiness,
}

impl Snapshot {
    /// Returns the snapshot of a process that has only its settings.
    pub fn empty(topology: Arc<Topology>) -> Snapshot {
        Snapshot {
            topology,
            policies: BTreeMap::new(),
            instances: Arc::from([]),
            listed: Arc::from([]),
            unavailable: BTreeSet::new(),
            starts: BTreeMap::new(),
            stopping: BTreeSet::new(),
            backends: BTreeMap::new(),
            leaving: BTreeSet::new(),
            probes: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            ready: false,
            readiness: Readiness::Starting,
        }
    }

    /// Returns whether both snapshots share their lists of instances and backend
    /// servers by identity, so that results computed from one are valid for the other.
    pub fn shares_lists_with(&self, other: &Snapshot) -> bool {
        let is_same = |(a, b): (&Arc<[BackendServer]>, &Arc<[BackendServer]>)| Arc::ptr_eq(a, b);
        Arc::ptr_eq(&self.instances, &other.instances)
            && self.backends.len() == other.backends.len()
            && self.backends.values().zip(other.backends.values()).all(is_same)
    }

    /// Replaces the lists of instances and backend servers; returns whether anything
    /// changed.
    ///
    /// An empty list is ignored: a platform that lost its rows must not take every
    /// server out of service.
    pub fn set_list(&mut self, mut list: InstanceList) -> bool {
        let has_lost_rows = (list.instances.is_empty() && !self.listed.is_empty())
            || (list.backends.is_empty() && !self.backends.is_empty());
        if has_lost_rows {
            return false;
        }
        list.instances.sort_by(|a, b| a.id.cmp(&b.id));
        list.backends.sort_by(|a, b| a.id.cmp(&b.id));
        let mut by_service: BTreeMap<ServiceName, Vec<BackendServer>> = BTreeMap::new();
        for backend in list.backends {
            by_service.entry(backend.service.clone()).or_default().push(backend);
        }
        let backends: BTreeMap<_, Arc<[_]>> = by_service
            .into_iter()
            .map(|(service, servers)| (service, Arc::from(servers)))
            .collect();
        if *self.listed == *list.instances && self.backends == backends {
            return false;
        }
        self.listed = Arc::from(list.instances);
        self.backends = backends;
        self.prune_unlisted();
        self.merge_unavailable();
        true
    }

    /// Replaces the set of unavailable instances; returns whether anything changed.
    pub fn set_unavailable(&mut self, unavailable: BTreeSet<InstanceId>) -> bool {
        if self.unavailable == unavailable {
            return false;
        }
        self.unavailable = unavailable;
        self.merge_unavailable();
        true
    }

    /// Sets the readiness and its reason; returns whether anything changed.
    pub fn set_readiness(&mut self, readiness: Readiness) -> bool {
        self.ready = readiness.is_ready();
        std::mem::replace(&mut self.readiness, readiness) != readiness
    }

    /// Returns a hash of the versions in force, which is equal on all instances with
    /// the same versions.
    pub fn digest(&self) -> u64 {
        let versions = self
            .policies
            .values()
            .flat_map(|policy| [policy.service.to_string(), policy.version.to_string()]);
        let versions: Vec<String> = versions.collect();
        let parts: Vec<&str> = versions.iter().map(String::as_str).collect();
        hash::stable_hash(&parts)
    }

    /// Returns the server with this name, as the platform lists it.
    pub fn backend(&self, id: &BackendId) -> Option<&BackendServer> {
        self.backends.values().flat_map(|servers| servers.iter()).find(|server| server.id == *id)
    }

    /// Records a start of an entry instance; returns whether it is newer than the known
    /// one.
    pub fn record_start(&mut self, id: &InstanceId, start: StartNumber) -> bool {
        let is_newer = self.starts.get(id).is_none_or(|known| *known < start);
        if is_newer {
            self.starts.insert(id.clone(), start);
        }
        is_newer
    }

    /// Marks a start of a server as leaving; returns whether it was not marked before.
    ///
    /// Servers that are not listed, and starts before the listed one, are ignored, so
    /// that the set stays bounded.
    pub fn mark_leaving(&mut self, id: &BackendId, start: StartNumber) -> bool {
        let known = self.backend(id).is_some_and(|server| server.start <= start);
        known && self.leaving.insert((id.clone(), start))
    }

    /// Records the report of a watcher; returns whether it is newer than the known one.
    /// Reports of instances that are not listed are ignored.
    pub fn record_probe_report(&mut self, watcher: &InstanceId, report: ProbeReport) -> bool {
        let listed = self.listed.iter().any(|instance| instance.id == *watcher);
        let is_newer = self.probes.get(watcher).is_none_or(|known| report.is_newer(known));
        if !listed || !is_newer {
            return false;
        }
        self.probes.insert(watcher.clone(), report);
        self.unreachable = probe::unreachable_servers(self);
        true
    }

    /// Returns how long an instance without confirmation is still named to callers, in
    /// milliseconds.
    ///
    /// It leaves callers enough of the shift delay to stop using an instance that
    /// missed a shift before the shift starts, unless the delay is so short that the
    /// lower limit applies.
    pub fn confirmation_timeout_ms(&self) -> u64 {
        let delays = self.policies.values().map(|policy| policy.shift_delay_ms);
        let shortest = delays.min().unwrap_or(DEFAULT_SHIFT_DELAY_MS);
        shortest.saturating_sub(entries::MAX_AGE_S * 1_000 + 1_000).max(MIN_CONFIRMATION_TIMEOUT_MS)
    }

    fn prune_unlisted(&mut self) {
        let mut leaving = std::mem::take(&mut self.leaving);
        leaving.retain(|(id, start)| self.backend(id).is_some_and(|s| s.start <= *start));
        self.leaving = leaving;
        let listed = |id: &InstanceId| self.listed.iter().any(|instance| instance.id == *id);
        self.stopping.retain(|(id, _)| listed(id));
        self.starts.retain(|id, _| listed(id));
        let mut probes = std::mem::take(&mut self.probes);
        probes.retain(|id, _| self.listed.iter().any(|instance| instance.id == *id));
        self.probes = probes;
    }

    fn merge_unavailable(&mut self) {
        let mut instances = self.listed.to_vec();
        for instance in &mut instances {
            if self.unavailable.contains(&instance.id) {
                instance.liveness = Liveness::Leaving;
            }
        }
        let any_live = instances.iter().any(|instance| instance.liveness == Liveness::Live);
        // An instance that may be down is better for callers than none.
        self.instances = if any_live { Arc::from(instances) } else { Arc::clone(&self.listed) };
        self.unreachable = probe::unreachable_servers(self);
    }

    /// Returns the backend servers of a service, each with whether it may get new work.
    pub fn route_servers(&self, service: &ServiceName) -> Vec<ServerStatus> {
        let drains = self.policies.get(service).map(|policy| &policy.drains);
        let servers = self.backends.get(service).map_or(&[][..], |servers| servers);
        let is_open = |server: &BackendServer| {
            server.liveness == Liveness::Live
                && !self.unreachable.contains(&server.id)
                && !drains.is_some_and(|drains| drains.contains(&server.id))
                && !self.leaving.contains(&(server.id.clone(), server.start))
        };
        servers
            .iter()
            .map(|server| ServerStatus { server: server.clone(), available: is_open(server) })
            .collect()
    }

    /// Applies a policy if its version is higher than the one in force; returns whether
    /// it was applied.
    ///
    /// A delayed message or a stale read can carry an older version, which must not
    /// revert an accepted change.
    pub fn apply_policy(&mut self, policy: Policy) -> bool {
        let in_force = self.policies.get(&policy.service).map_or(0, |p| p.version);
        if policy.version <= in_force {
            return false;
        }
        self.policies.insert(policy.service.clone(), Arc::new(policy));
        true
    }
}
