//! The state of all backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{
    ByObject, Candidate, ColdBudget, Config, Health, InFlightAt, Members, Outcome, Placement,
    Usual, others::Others, regional::RegionalObjects,
};
use crate::{
    names::{BackendId, InstanceId, RegionName, ServiceName, ZoneName},
    route::hash::stable_hash,
    topology::Distance,
};

/// How often the servers of a service are compared with each other.
const COMPARE_EVERY_MS: u64 = 100;

/// A backend server as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How many requests it processes at the same time.
    pub slots: u32,
    /// Whether it is leaving and must get nothing new.
    pub is_draining: bool,
    /// How long it stays cold from when this was read.
    pub cold_left_ms: u64,
    /// When it started, by its own clock.
    pub start_epoch_ms: u64,
}

/// Names one backend server for as long as it is registered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BackendHandle(pub(super) u64);

/// What the balancer needs to know of its own instance and deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance that decides.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The regions of all availability zones.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Factor on the rate that a cold backend server tolerates.
    pub cold_rate_factor: f64,
    /// Requests a second that a cold backend server may get beyond that.
    pub cold_rate_slack: f64,
}

impl Settings {
    pub(super) fn is_allowed_region(&self, zone: &ZoneName, regions: &[RegionName]) -> bool {
        regions.is_empty() || self.zones.get(zone).is_some_and(|r| regions.contains(r))
    }

    fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::SameZone;
        }
        match (self.zones.get(zone), self.zones.get(&self.zone)) {
            (Some(region), Some(own)) if region == own => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// One backend server and what is known of it.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) handle: BackendHandle,
    pub(super) backend: Arc<Backend>,
    pub(super) seed: u64,
    pub(super) distance: Distance,
    pub(super) is_evacuated: bool,
    pub(super) cold_until_ms: u64,
    pub(super) cold_limit: u32,
    pub(super) cold: ColdBudget,
    pub(super) in_flight: u32,
    /// Requests that other instances have at the server.
    pub(super) others_in_flight: u32,
    pub(super) health: Health,
    /// Whether it does much worse than the other servers of its service.
    pub(super) is_outlier: bool,
    was_unreachable: bool,
}

impl Node {
    /// Requests that all instances together have at the server.
    pub(super) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    fn short_id(&self) -> u32 {
        (self.seed >> 32) as u32
    }

    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Takes in that the server is cold for `cold_ms` from now on, or for as long as
    /// was known before if that is longer.
    fn set_cold(&mut self, cold_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + cold_ms);
    }

    /// The same for as long as the operator says of a server that has just started.
    fn set_cold_as_started(&mut self, config: Option<&Config>, now_ms: u64) {
        let service = config.and_then(|config| config.service(&self.backend.service));
        self.set_cold(service.map_or(0, |service| service.cold_ms), now_ms);
    }
}

/// The backend servers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    pub(super) nodes: Vec<Node>,
    compared_until_ms: u64,
}

impl Group {
    /// Works out now and then which servers do much worse than the others. A choice
    /// only reads it: to compare all servers for each choice makes that half as long
    /// again.
    pub(super) fn compare(&mut self, now_ms: u64) {
        if now_ms < self.compared_until_ms {
            return;
        }
        self.compared_until_ms = now_ms + COMPARE_EVERY_MS;
        let usual = Usual::of(self.nodes.iter().map(|node| &node.health), now_ms);
        for node in &mut self.nodes {
            node.is_outlier = usual.is_outlier(&node.health, now_ms);
        }
    }
}

/// Holds the state of all backend servers and chooses among them.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) placement: Box<dyn Placement>,
    config: Option<Arc<Config>>,
    evacuated: BTreeSet<ZoneName>,
    pub(super) services: BTreeMap<ServiceName, Group>,
    others: Others,
    pub(super) regional: RegionalObjects,
    next_handle: u64,
    /// Kept, so that a choice allocates nothing.
    pub(super) candidates: Vec<Candidate>,
}

impl Balancer {
    /// A balancer that knows no backend server yet and chooses [`ByObject`].
    pub fn new(settings: Settings) -> Balancer {
        Balancer::with_placement(settings, Box::new(ByObject))
    }

    /// A balancer that knows no backend server yet and chooses by `placement`.
    pub fn with_placement(settings: Settings, placement: Box<dyn Placement>) -> Balancer {
        Balancer {
            settings,
            placement,
            config: None,
            evacuated: BTreeSet::new(),
            services: BTreeMap::new(),
            others: Others::default(),
            regional: RegionalObjects::default(),
            next_handle: 0,
            candidates: Vec::new(),
        }
    }

    /// Takes in a configuration.
    pub fn set_config(&mut self, config: Arc<Config>) {
        self.config = Some(config);
    }

    /// Takes in a backend server's row; returns whether the server is new or has
    /// started anew.
    pub fn put(&mut self, backend: Backend, members: &Members, now_ms: u64) -> bool {
        if let Some(node) = self.same_start(&backend) {
            node.set_cold(backend.cold_left_ms, now_ms);
            node.backend = Arc::new(backend);
            return false;
        }
        self.remove(backend.id.as_str());
        self.next_handle += 1;
        let node = Node {
            handle: BackendHandle(self.next_handle),
            seed: stable_hash(&[backend.id.as_str()]),
            distance: self.settings.distance(&backend.zone),
            is_evacuated: self.evacuated.contains(&backend.zone),
            cold_until_ms: now_ms + backend.cold_left_ms,
            cold_limit: self.cold_limit(&backend, members),
            cold: ColdBudget::default(),
            in_flight: 0,
            others_in_flight: 0,
            health: Health::default(),
            is_outlier: false,
            was_unreachable: false,
            backend: Arc::new(backend),
        };
        let group = self.services.entry(node.backend.service.clone()).or_default();
        group.nodes.push(node);
        true
    }

    /// Forgets a backend server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let mut was_known = false;
        for group in self.services.values_mut() {
            let count = group.nodes.len();
            group.nodes.retain(|node| node.backend.id.as_str() != id);
            was_known |= group.nodes.len() < count;
        }
        was_known
    }

    /// Sends nothing more to the backend servers of `zone`, or takes them back.
    ///
    /// Servers that got nothing for a while have forgotten their objects and may
    /// be cold, so those that are taken back count as cold.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool, now_ms: u64) -> bool {
        let has_changed = match is_evacuated {
            true => self.evacuated.insert(zone.clone()),
            false => self.evacuated.remove(zone),
        };
        if !has_changed {
            return false;
        }
        let Balancer { config, services, .. } = self;
        let nodes = services.values_mut().flat_map(|group| &mut group.nodes);
        for node in nodes.filter(|node| node.backend.zone == *zone) {
            node.is_evacuated = is_evacuated;
            if !is_evacuated {
                node.set_cold_as_started(config.as_deref(), now_ms);
            }
        }
        true
    }

    /// Changes how the rate that a cold server tolerates is stretched.
    pub fn set_cold_rates(&mut self, factor: f64, slack: f64) {
        self.settings.cold_rate_factor = factor;
        self.settings.cold_rate_slack = slack;
    }

    /// Works out again what this instance may send to each cold server, after
    /// the members or the configuration have changed.
    pub fn set_cold_limits(&mut self, members: &Members) {
        // Taken out, since the limits are worked out from the rest.
        let mut services = std::mem::take(&mut self.services);
        for node in services.values_mut().flat_map(|group| &mut group.nodes) {
            node.cold_limit = self.cold_limit(&node.backend, members);
        }
        self.services = services;
    }

    /// What this instance may send to a server in a second while that is cold;
    /// nothing before there is a configuration.
    fn cold_limit(&self, backend: &Backend, members: &Members) -> u32 {
        let Some(config) = &self.config else { return 0 };
        let rate = config.service(&backend.service).map_or(0.0, |s| s.cold_rate_per_s);
        if rate == 0.0 {
            return u32::MAX;
        }
        let rate = rate * self.settings.cold_rate_factor + self.settings.cold_rate_slack;
        let names = members.registered().map(|member| member.instance.as_str());
        ColdBudget::part(backend.id.as_str(), self.settings.instance.as_str(), names, rate)
    }

    /// The backend server behind a handle, while it is registered.
    pub fn backend(&self, handle: BackendHandle) -> Option<Arc<Backend>> {
        self.nodes().find(|node| node.handle == handle).map(|node| Arc::clone(&node.backend))
    }

    /// The requests that this instance has at each server where it has any.
    pub fn in_flight(&self) -> Vec<InFlightAt> {
        let busy = self.nodes().filter(|node| node.in_flight > 0);
        busy.map(|node| InFlightAt { backend: node.short_id(), count: node.in_flight }).collect()
    }

    /// Takes in what another instance has at each server.
    pub fn set_others(&mut self, instance: &InstanceId, in_flight: Vec<InFlightAt>, now_ms: u64) {
        self.others.put(instance, in_flight, now_ms);
        self.count_others();
    }

    /// Forgets what instances said that have been silent for too long.
    pub fn forget_silent(&mut self, now_ms: u64) {
        self.others.forget_silent(now_ms);
        self.count_others();
    }

    /// Takes in that a client requested an object, by its hash.
    pub fn requested(&mut self, object: u64, now_ms: u64) {
        self.regional.requested(short_hash(object), now_ms);
    }

    /// Some objects that were requested here since the last call, for instances of
    /// other regions.
    pub fn take_requested(&mut self) -> Vec<u32> {
        self.regional.take_told()
    }

    /// Takes in objects that were requested in another region; returns whether the
    /// servers of the own region are preferred from now on, if that has changed.
    pub fn set_requested_elsewhere(&mut self, objects: &[u32], now_ms: u64) -> Option<bool> {
        let has_changed = self.regional.heard(objects, now_ms);
        has_changed.then(|| !self.regional.are_shared())
    }

    pub(super) fn oldest_report_ms(&self, now_ms: u64) -> u64 {
        self.others.oldest_ms(now_ms)
    }

    fn count_others(&mut self) {
        let counts = self.others.counts();
        for node in self.nodes_mut() {
            node.others_in_flight = counts.get(&node.short_id()).copied().unwrap_or_default();
        }
    }

    /// Takes in that a server says that it is cold.
    pub fn set_cold(&mut self, handle: BackendHandle, cold_left_ms: u64, now_ms: u64) {
        if let Some(node) = self.any_node_mut(handle) {
            node.set_cold(cold_left_ms, now_ms);
        }
    }

    /// Stops sending to a server that said itself that it is leaving, or is
    /// another one by now.
    pub fn set_leaving(&mut self, handle: BackendHandle) {
        if let Some(node) = self.any_node_mut(handle) {
            Arc::make_mut(&mut node.backend).is_draining = true;
        }
    }

    /// Ends a request that [`Balancer::choose`] sent to a server.
    ///
    /// A server that answers after it could not be reached may have started anew
    /// under the same name before its row says so, and counts as cold.
    pub fn end(&mut self, handle: BackendHandle, outcome: Outcome, now_ms: u64) {
        let Balancer { config, services, .. } = self;
        let mut nodes = services.values_mut().flat_map(|group| &mut group.nodes);
        let Some(node) = nodes.find(|node| node.handle == handle) else { return };
        node.in_flight = node.in_flight.saturating_sub(1);
        node.health.record(outcome, now_ms);
        if node.health.was_unreachable() {
            node.was_unreachable = true;
        } else if node.was_unreachable {
            node.was_unreachable = false;
            node.set_cold_as_started(config.as_deref(), now_ms);
        }
    }

    fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.services.values().flat_map(|group| &group.nodes)
    }

    pub(super) fn node_mut(
        &mut self,
        service: &ServiceName,
        handle: BackendHandle,
    ) -> Option<&mut Node> {
        self.services.get_mut(service)?.nodes.iter_mut().find(|node| node.handle == handle)
    }

    fn any_node_mut(&mut self, handle: BackendHandle) -> Option<&mut Node> {
        self.nodes_mut().find(|node| node.handle == handle)
    }

    fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.services.values_mut().flat_map(|group| &mut group.nodes)
    }

    fn same_start(&mut self, backend: &Backend) -> Option<&mut Node> {
        let group = self.services.get_mut(&backend.service)?;
        group.nodes.iter_mut().find(|node| {
            let known = &node.backend;
            known.id == backend.id
                && known.start_epoch_ms == backend.start_epoch_ms
                && known.addr == backend.addr
        })
    }
}

/// The upper half of an object's hash; two with the same look alike.
fn short_hash(object: u64) -> u32 {
    (object >> 32) as u32
}
