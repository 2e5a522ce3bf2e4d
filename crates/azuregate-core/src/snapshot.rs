//! The configuration in force and the list of live and leaving instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::Policy,
    route::{RouteServer, hash},
    topology::Topology,
};

/// Whether an instance or backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes what it has.
    Leaving,
}

/// An entry instance, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP number.
    pub ip: IpAddr,
    /// Where callers reach it.
    pub traffic_port: u16,
    /// Where the other instances reach it.
    pub peer_port: u16,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

impl Instance {
    /// The address for callers.
    pub fn traffic_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.traffic_port)
    }

    /// The address for other instances.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// A backend server, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Tells this start of the server from the next one.
    #[serde(default)]
    pub start: StartNumber,
    /// How many requests it takes at once.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

/// The platform's list: it lags behind what is true.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// The backend servers.
    pub backends: Vec<BackendServer>,
}

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
    /// Instances that told of their planned stop, with their start numbers.
    pub stopping: BTreeSet<(InstanceId, StartNumber)>,
    /// The backend servers of each service, ordered by name.
    pub backends: BTreeMap<ServiceName, Arc<[BackendServer]>>,
    /// Backend servers that are leaving by any sign but the list. Sticky: the
    /// same start of a server never takes new work again.
    pub leaving: BTreeSet<(BackendId, StartNumber)>,
    /// Backend servers that do not answer probes; they get work again when they
    /// answer.
    pub unreachable: BTreeSet<BackendId>,
    /// Whether the policies were confirmed by the platform or by peers.
    pub ready: bool,
    /// Why it is ready, or why not.
    pub readiness: Readiness,
}

/// Why an instance serves or does not.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It has started and knows of no configuration.
    #[default]
    Starting,
    /// It was paused and may have missed changes.
    Woken,
    /// It has what the platform holds.
    Platform,
    /// The platform is down; it has the highest versions of so many peers.
    Peers(usize),
}

impl Readiness {
    /// Whether an instance may serve.
    pub fn is_ready(self) -> bool {
        matches!(self, Readiness::Platform | Readiness::Peers(_))
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Readiness::Starting => f.write_str("no configuration in force yet"),
            Readiness::Woken => f.write_str("paused before, and not confirmed since"),
            Readiness::Platform => f.write_str("confirmed by the platform"),
            Readiness::Peers(count) => write!(f, "confirmed by {count} peers, platform down"),
        }
    }
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
            stopping: BTreeSet::new(),
            backends: BTreeMap::new(),
            leaving: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            ready: false,
            readiness: Readiness::Starting,
        }
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
        hash::score(&parts)
    }

    /// The server with this name, as the platform lists it.
    pub fn backend(&self, id: &BackendId) -> Option<&BackendServer> {
        self.backends.values().flat_map(|servers| servers.iter()).find(|server| server.id == *id)
    }

    /// Notes a sign that a server is leaving; returns whether it is news.
    ///
    /// Servers that are not listed, and starts before the listed one, are
    /// ignored: the set would grow without bound.
    pub fn add_leaving(&mut self, id: &BackendId, start: StartNumber) -> bool {
        let known = self.backend(id).is_some_and(|server| server.start <= start);
        known && self.leaving.insert((id.clone(), start))
    }

    fn forget_old_starts(&mut self) {
        let mut leaving = std::mem::take(&mut self.leaving);
        leaving.retain(|(id, start)| self.backend(id).is_some_and(|s| s.start <= *start));
        self.leaving = leaving;
        let listed = |id: &InstanceId| self.listed.iter().any(|instance| instance.id == *id);
        self.stopping.retain(|(id, _)| listed(id));
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
    }

    /// The backend servers of a service, each with whether it may get new work.
    pub fn route_servers(&self, service: &ServiceName) -> Vec<RouteServer> {
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
            .map(|server| RouteServer { server: server.clone(), open: is_open(server) })
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
