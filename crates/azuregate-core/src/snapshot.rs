//! The configuration in force and the list of live and leaving instances.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::Policy,
    route::RouteServer,
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
    /// The entry instances, ordered by name.
    pub instances: Arc<[Instance]>,
    /// The backend servers of each service, ordered by name.
    pub backends: BTreeMap<ServiceName, Arc<[BackendServer]>>,
    /// Backend servers that are leaving by any sign but the list. Sticky: the
    /// same start of a server never takes new work again.
    pub leaving: BTreeSet<(BackendId, StartNumber)>,
    /// Whether the policies were ever confirmed by the platform or by peers.
    pub ready: bool,
}

impl Snapshot {
    /// The snapshot of a process that knows nothing but its settings.
    pub fn empty(topology: Arc<Topology>) -> Snapshot {
        Snapshot {
            topology,
            policies: BTreeMap::new(),
            instances: Arc::from([]),
            backends: BTreeMap::new(),
            leaving: BTreeSet::new(),
            ready: false,
        }
    }

    /// Replaces the lists of instances and backend servers.
    ///
    /// Returns whether anything changed.
    pub fn set_list(&mut self, mut list: InstanceList) -> bool {
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
        if *self.instances == *list.instances && self.backends == backends {
            return false;
        }
        self.instances = Arc::from(list.instances);
        self.backends = backends;
        true
    }

    /// The backend servers of a service, each with whether it may get new work.
    pub fn route_servers(&self, service: &ServiceName) -> Vec<RouteServer> {
        let drains = self.policies.get(service).map(|policy| &policy.drains);
        let servers = self.backends.get(service).map_or(&[][..], |servers| servers);
        let is_open = |server: &BackendServer| {
            server.liveness == Liveness::Live
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
