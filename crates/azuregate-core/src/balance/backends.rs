//! The state of all backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{
    Baseline, Candidate, ColdStartBudget, Config, Health, InFlightCount, LoadBalancingPolicy,
    Members, ObjectAffinity, Outcome, remote_load::RemoteLoad,
    shared_objects::SharedObjectDetector,
};
use crate::{
    names::{BackendId, InstanceId, RegionName, ServiceName, ZoneName},
    route::hash::score,
    topology::Distance,
};

/// How often the servers of a service are compared with each other.
const OUTLIER_DETECTION_INTERVAL_MS: u64 = 100;

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
pub(super) struct BackendState {
    pub(super) handle: BackendHandle,
    pub(super) backend: Arc<Backend>,
    pub(super) seed: u64,
    pub(super) distance: Distance,
    pub(super) is_evacuated: bool,
    pub(super) cold_until_ms: u64,
    pub(super) cold_limit: u32,
    pub(super) cold_start_budget: ColdStartBudget,
    pub(super) in_flight: u32,
    /// Requests that other instances have at the server.
    pub(super) remote_in_flight: u32,
    pub(super) health: Health,
    /// Whether it does much worse than the other servers of its service.
    pub(super) is_outlier: bool,
    was_unreachable: bool,
}

impl BackendState {
    /// Requests that all instances together have at the server.
    pub(super) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.remote_in_flight
    }

    fn id_hash(&self) -> u32 {
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
    fn start_cold_period(&mut self, config: Option<&Config>, now_ms: u64) {
        let service = config.and_then(|config| config.service(&self.backend.service));
        self.set_cold(service.map_or(0, |service| service.cold_ms), now_ms);
    }
}

/// The backend servers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePool {
    pub(super) backends: Vec<BackendState>,
    outliers_valid_until_ms: u64,
}

impl ServicePool {
    /// Works out now and then which servers do much worse than the others. A choice
    /// only reads it: to compare all servers for each choice makes that half as long
    /// again.
    pub(super) fn detect_outliers(&mut self, now_ms: u64) {
        if now_ms < self.outliers_valid_until_ms {
            return;
        }
        self.outliers_valid_until_ms = now_ms + OUTLIER_DETECTION_INTERVAL_MS;
        let baseline = Baseline::of(self.backends.iter().map(|state| &state.health), now_ms);
        for state in &mut self.backends {
            state.is_outlier = baseline.is_outlier(&state.health, now_ms);
        }
    }
}

/// Holds the state of all backend servers and chooses among them.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) policy: Box<dyn LoadBalancingPolicy>,
    config: Option<Arc<Config>>,
    evacuated: BTreeSet<ZoneName>,
    pub(super) services: BTreeMap<ServiceName, ServicePool>,
    remote_load: RemoteLoad,
    pub(super) shared_objects: SharedObjectDetector,
    next_handle: u64,
    /// Kept, so that a choice allocates nothing.
    pub(super) candidates: Vec<Candidate>,
}

impl Balancer {
    /// A balancer that knows no backend server yet and chooses [`ObjectAffinity`].
    pub fn new(settings: Settings) -> Balancer {
        Balancer::with_policy(settings, Box::new(ObjectAffinity))
    }

    /// A balancer that knows no backend server yet and chooses by `policy`.
    pub fn with_policy(settings: Settings, policy: Box<dyn LoadBalancingPolicy>) -> Balancer {
        Balancer {
            settings,
            policy,
            config: None,
            evacuated: BTreeSet::new(),
            services: BTreeMap::new(),
            remote_load: RemoteLoad::default(),
            shared_objects: SharedObjectDetector::default(),
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
        if let Some(state) = self.find_same_start(&backend) {
            state.set_cold(backend.cold_left_ms, now_ms);
            state.backend = Arc::new(backend);
            return false;
        }
        self.remove(backend.id.as_str());
        self.next_handle += 1;
        let state = BackendState {
            handle: BackendHandle(self.next_handle),
            seed: score(&[backend.id.as_str()]),
            distance: self.settings.distance(&backend.zone),
            is_evacuated: self.evacuated.contains(&backend.zone),
            cold_until_ms: now_ms + backend.cold_left_ms,
            cold_limit: self.cold_limit(&backend, members),
            cold_start_budget: ColdStartBudget::default(),
            in_flight: 0,
            remote_in_flight: 0,
            health: Health::default(),
            is_outlier: false,
            was_unreachable: false,
            backend: Arc::new(backend),
        };
        let pool = self.services.entry(state.backend.service.clone()).or_default();
        pool.backends.push(state);
        true
    }

    /// Forgets a backend server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let mut was_known = false;
        for pool in self.services.values_mut() {
            let count = pool.backends.len();
            pool.backends.retain(|state| state.backend.id.as_str() != id);
            was_known |= pool.backends.len() < count;
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
        let backends = services.values_mut().flat_map(|pool| &mut pool.backends);
        for state in backends.filter(|state| state.backend.zone == *zone) {
            state.is_evacuated = is_evacuated;
            if !is_evacuated {
                state.start_cold_period(config.as_deref(), now_ms);
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
        for state in services.values_mut().flat_map(|pool| &mut pool.backends) {
            state.cold_limit = self.cold_limit(&state.backend, members);
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
        ColdStartBudget::instance_limit(
            backend.id.as_str(),
            self.settings.instance.as_str(),
            names,
            rate,
        )
    }

    /// The backend server behind a handle, while it is registered.
    pub fn backend(&self, handle: BackendHandle) -> Option<Arc<Backend>> {
        self.backends().find(|state| state.handle == handle).map(|state| Arc::clone(&state.backend))
    }

    /// The requests that this instance has at each server where it has any.
    pub fn in_flight(&self) -> Vec<InFlightCount> {
        let busy = self.backends().filter(|state| state.in_flight > 0);
        busy.map(|state| InFlightCount { backend: state.id_hash(), count: state.in_flight })
            .collect()
    }

    /// Takes in what another instance has at each server.
    pub fn record_load_report(
        &mut self,
        instance: &InstanceId,
        in_flight: Vec<InFlightCount>,
        now_ms: u64,
    ) {
        self.remote_load.record(instance, in_flight, now_ms);
        self.update_remote_in_flight();
    }

    /// Forgets what instances said that have been silent for too long.
    pub fn expire_load_reports(&mut self, now_ms: u64) {
        self.remote_load.expire(now_ms);
        self.update_remote_in_flight();
    }

    /// Takes in that a client requested an object, by its hash.
    pub fn record_request(&mut self, object: u64, now_ms: u64) {
        self.shared_objects.record_local(short_hash(object), now_ms);
    }

    /// Some objects that were requested here since the last call, for instances of
    /// other regions.
    pub fn take_request_sample(&mut self) -> Vec<u32> {
        self.shared_objects.take_sample()
    }

    /// Takes in objects that were requested in another region; returns whether the
    /// servers of the own region are preferred from now on, if that has changed.
    pub fn record_remote_requests(&mut self, objects: &[u32], now_ms: u64) -> Option<bool> {
        let has_changed = self.shared_objects.record_remote(objects, now_ms);
        has_changed.then(|| !self.shared_objects.is_shared())
    }

    pub(super) fn oldest_report_ms(&self, now_ms: u64) -> u64 {
        self.remote_load.oldest_report_ms(now_ms)
    }

    fn update_remote_in_flight(&mut self) {
        let counts = self.remote_load.counts();
        for state in self.backends_mut() {
            state.remote_in_flight = counts.get(&state.id_hash()).copied().unwrap_or_default();
        }
    }

    /// Takes in that a server says that it is cold.
    pub fn set_cold(&mut self, handle: BackendHandle, cold_left_ms: u64, now_ms: u64) {
        if let Some(state) = self.backend_state_mut(handle) {
            state.set_cold(cold_left_ms, now_ms);
        }
    }

    /// Stops sending to a server that said itself that it is leaving, or is
    /// another one by now.
    pub fn set_leaving(&mut self, handle: BackendHandle) {
        if let Some(state) = self.backend_state_mut(handle) {
            Arc::make_mut(&mut state.backend).is_draining = true;
        }
    }

    /// Ends a request that [`Balancer::choose`] sent to a server.
    ///
    /// A server that answers after it could not be reached may have started anew
    /// under the same name before its row says so, and counts as cold.
    pub fn complete(&mut self, handle: BackendHandle, outcome: Outcome, now_ms: u64) {
        let Balancer { config, services, .. } = self;
        let mut backends = services.values_mut().flat_map(|pool| &mut pool.backends);
        let Some(state) = backends.find(|state| state.handle == handle) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.health.record(outcome, now_ms);
        if state.health.was_unreachable() {
            state.was_unreachable = true;
        } else if state.was_unreachable {
            state.was_unreachable = false;
            state.start_cold_period(config.as_deref(), now_ms);
        }
    }

    fn backends(&self) -> impl Iterator<Item = &BackendState> {
        self.services.values().flat_map(|pool| &pool.backends)
    }

    pub(super) fn pool_backend_mut(
        &mut self,
        service: &ServiceName,
        handle: BackendHandle,
    ) -> Option<&mut BackendState> {
        self.services.get_mut(service)?.backends.iter_mut().find(|state| state.handle == handle)
    }

    fn backend_state_mut(&mut self, handle: BackendHandle) -> Option<&mut BackendState> {
        self.backends_mut().find(|state| state.handle == handle)
    }

    fn backends_mut(&mut self) -> impl Iterator<Item = &mut BackendState> {
        self.services.values_mut().flat_map(|pool| &mut pool.backends)
    }

    fn find_same_start(&mut self, backend: &Backend) -> Option<&mut BackendState> {
        let pool = self.services.get_mut(&backend.service)?;
        pool.backends.iter_mut().find(|state| {
            let known = &state.backend;
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
