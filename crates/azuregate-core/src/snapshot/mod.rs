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
    policy::{Policy, SHIFT_DELAY_MS},
    probe::{self, ProbeReport},
    route::{ServerStatus, hash},
    topology::Topology,
};

pub use listing::{BackendServer, Instance, InstanceList, Liveness};
pub use readiness::Readiness;

/// Heartbeats and polls take their time: a shorter limit would send healthy
/// instances away.
const CONFIRM_AT_LEAST_MS: u64 = 3_000;

/// Everything the request path reads; immutable, and replaced as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Regions and availability zones, from the settings.
    pub topology: Arc<Topology>,
    /// The policy in force for each service.
    pub policies: BTreeMap<ServiceName, Arc<Policy>>,
    /// The entry instances, ordered by name. One that is away counts as leaving,
    /// whatever the platform lists.
    pub instances: Arc<[Instance]>,
    /// The entry instances as the platform lists them, ordered by name.
    pub listed: Arc<[Instance]>,
    /// Instances that get no new work by any sign but the list.
    pub away: BTreeSet<InstanceId>,
    /// The latest start of each entry instance that a neighbour told of.
    pub starts: BTreeMap<InstanceId, StartNumber>,
    /// Instances that told of their planned stop, with their start numbers.
    pub stopping: BTreeSet<(InstanceId, StartNumber)>,
    /// The backend servers of each service, ordered by name.
    pub backends: BTreeMap<ServiceName, Arc<[BackendServer]>>,
    /// Backend servers that are leaving by any sign but the list. Sticky: the
    /// same start of a server never takes new work again.
    pub leaving: BTreeSet<(BackendId, StartNumber)>,
    /// What the watchers of backend servers say.
    pub probes: BTreeMap<InstanceId, ProbeReport>,
    /// Backend servers that do not answer probes; they get work again when they
    /// answer.
    pub unreachable: BTreeSet<BackendId>,
    /// Whether the policies were confirmed by the platform or by peers.
    pub ready: bool,
    /// Why it is ready, or why not.
    pub readiness: Readiness,
}

impl Snapshot {
    /// The snapshot of a process that knows nothing but its settings.
    pub fn empty(topology: Arc<Topology>) -> Snapshot {
        Snapshot {
            topology,
            policies: BTreeMap::new(),
            instances: Arc::from([]),
            listed: Arc::from([]),
            away: BTreeSet::new(),
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

    /// Whether both have the same lists of instances and backend servers, by
    /// identity: what was worked out from the one holds for the other.
    pub fn has_lists_of(&self, other: &Snapshot) -> bool {
        let same = |(a, b): (&Arc<[BackendServer]>, &Arc<[BackendServer]>)| Arc::ptr_eq(a, b);
        Arc::ptr_eq(&self.instances, &other.instances)
            && self.backends.len() == other.backends.len()
            && self.backends.values().zip(other.backends.values()).all(same)
    }

    /// Replaces the lists of instances and backend servers.
    ///
    /// Returns whether anything changed. An empty list is ignored: a platform
    /// that lost its rows would otherwise take every server out of service.
    pub fn set_list(&mut self, mut list: InstanceList) -> bool {
        let lost = (list.instances.is_empty() && !self.listed.is_empty())
            || (list.backends.is_empty() && !self.backends.is_empty());
        if lost {
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
        self.forget_old_starts();
        self.merge_away();
        true
    }

    /// Replaces the set of instances that get no new work; returns whether
    /// anything changed.
    pub fn set_away(&mut self, away: BTreeSet<InstanceId>) -> bool {
        if self.away == away {
            return false;
        }
        self.away = away;
        self.merge_away();
        true
    }

    /// Sets why it is ready, or why not; returns whether anything changed.
    pub fn set_readiness(&mut self, readiness: Readiness) -> bool {
        self.ready = readiness.is_ready();
        std::mem::replace(&mut self.readiness, readiness) != readiness
    }

    /// A hash of the versions in force, the same on every instance that has the
    /// same versions.
    pub fn digest(&self) -> u64 {
        let versions = self
            .policies
            .values()
            .flat_map(|policy| [policy.service.to_string(), policy.version.to_string()]);
        let versions: Vec<String> = versions.collect();
        let parts: Vec<&str> = versions.iter().map(String::as_str).collect();
        hash::stable_hash(&parts)
    }

    /// The server with this name, as the platform lists it.
    pub fn backend(&self, id: &BackendId) -> Option<&BackendServer> {
        self.backends.values().flat_map(|servers| servers.iter()).find(|server| server.id == *id)
    }

    /// Notes a start of an entry instance; returns whether it is news.
    pub fn add_start(&mut self, id: &InstanceId, start: StartNumber) -> bool {
        let is_news = self.starts.get(id).is_none_or(|known| *known < start);
        if is_news {
            self.starts.insert(id.clone(), start);
        }
        is_news
    }

    /// Notes a sign that a server is leaving; returns whether it is news.
    ///
    /// Servers that are not listed, and starts before the listed one, are
    /// ignored: the set would grow without bound.
    pub fn add_leaving(&mut self, id: &BackendId, start: StartNumber) -> bool {
        let known = self.backend(id).is_some_and(|server| server.start <= start);
        known && self.leaving.insert((id.clone(), start))
    }

    /// Notes what a watcher says; returns whether it is news.
    pub fn add_probes(&mut self, watcher: &InstanceId, report: ProbeReport) -> bool {
        let listed = self.listed.iter().any(|instance| instance.id == *watcher);
        let is_news = self.probes.get(watcher).is_none_or(|known| report.is_newer(known));
        if !listed || !is_news {
            return false;
        }
        self.probes.insert(watcher.clone(), report);
        self.unreachable = probe::unreachable(self);
        true
    }

    /// How long an instance may go without confirmation and still be named to
    /// callers, in milliseconds.
    ///
    /// A shift may start so long after its commit that callers have forgotten
    /// an instance that missed it.
    pub fn confirm_limit_ms(&self) -> u64 {
        let delays = self.policies.values().map(|policy| policy.shift_delay_ms);
        let shortest = delays.min().unwrap_or(SHIFT_DELAY_MS);
        shortest.saturating_sub(entries::MAX_AGE_S * 1_000 + 1_000).max(CONFIRM_AT_LEAST_MS)
    }

    fn forget_old_starts(&mut self) {
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

    fn merge_away(&mut self) {
        let mut instances = self.listed.to_vec();
        for instance in &mut instances {
            if self.away.contains(&instance.id) {
                instance.liveness = Liveness::Leaving;
            }
        }
        let any_live = instances.iter().any(|instance| instance.liveness == Liveness::Live);
        // Callers are better off with an instance that may be gone than with
        // none.
        self.instances = if any_live { Arc::from(instances) } else { Arc::clone(&self.listed) };
        self.unreachable = probe::unreachable(self);
    }

    /// The backend servers of a service, each with whether it may get new work.
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

    /// Applies a policy if its version is higher than the one in force.
    ///
    /// Returns whether it was applied. A delayed message or a lagging read can
    /// carry an older version; taking it would revert an accepted change.
    pub fn apply_policy(&mut self, policy: Policy) -> bool {
        let in_force = self.policies.get(&policy.service).map_or(0, |p| p.version);
        if policy.version <= in_force {
            return false;
        }
        self.policies.insert(policy.service.clone(), Arc::new(policy));
        true
    }
}
