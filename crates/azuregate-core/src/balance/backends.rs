//! State of all backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{
    BackendRun, Baseline, Candidate, ColdStartBudget, Config, Health, InFlightCount,
    LoadBalancingPolicy, Members, ObjectAffinity, Outcome,
    leaving::PendingReports,
    rate_limit::{self, RateLimit},
    remote_load::RemoteLoad,
    shared_objects::SharedObjectDetector,
    unregistered::{Announcements, UnregisteredServers},
};
use crate::{
    names::{BackendId, InstanceId, RegionName, ServiceName, ZoneName},
    route::hash::stable_hash,
    topology::Distance,
};

const OUTLIER_DETECTION_INTERVAL_MS: u64 = 100;

/// The registration of a backend server.
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
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub is_draining: bool,
    /// Remaining time of its warm-up when this was read.
    pub cold_left_ms: u64,
    /// Its start time by its own clock; identifies the run.
    pub start_epoch_ms: u64,
}

/// Identifies a backend server while it is registered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BackendHandle(pub(super) u64);

/// Settings of a [`Balancer`]: the local instance and the deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The local instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The regions of all availability zones.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Factor on the configured rate of requests to a cold backend server.
    pub cold_rate_factor: f64,
    /// Requests per second added to that rate.
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
            (Some(region), Some(local)) if region == local => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// State of one backend server.
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
    /// Requests in flight there from other instances.
    pub(super) remote_in_flight: u32,
    pub(super) health: Health,
    /// Result of the last outlier detection.
    pub(super) is_outlier: bool,
    was_unreachable: bool,
    pub(super) run: BackendRun,
    pub(super) rate_limit: RateLimit,
    pub(super) announcements: Announcements,
}

impl BackendState {
    /// Returns the requests in flight there from all instances.
    pub(super) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.remote_in_flight
    }

    fn id_hash(&self) -> u32 {
        (self.seed >> 32) as u32
    }

    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Marks the server as cold for at least `cold_ms` from now on.
    fn set_cold(&mut self, cold_ms: u64, now_ms: u64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + cold_ms);
    }

    /// Marks the server as cold for the service's configured warm-up.
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
    /// Detects outliers at most once per interval. Comparing all servers for each choice would make
    /// the choice half as long again.
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

/// Tracks all backend servers and chooses one for each request.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) policy: Box<dyn LoadBalancingPolicy>,
    config: Option<Arc<Config>>,
    evacuated: BTreeSet<ZoneName>,
    pub(super) pools: BTreeMap<ServiceName, ServicePool>,
    pub(super) unregistered: UnregisteredServers,
    pub(super) leaving_reports: PendingReports,
    remote_load: RemoteLoad,
    pub(super) shared_objects: SharedObjectDetector,
    next_handle: u64,
    /// Reused, so that a choice does not allocate.
    pub(super) candidates: Vec<Candidate>,
    /// The server with which the next report of rate limits begins.
    pub(super) next_reported: BackendRun,
}

impl Balancer {
    /// Creates a balancer without backend servers that uses [`ObjectAffinity`].
    pub fn new(settings: Settings) -> Balancer {
        Balancer::with_policy(settings, Box::new(ObjectAffinity))
    }

    /// Creates a balancer without backend servers that uses `policy`.
    pub fn with_policy(settings: Settings, policy: Box<dyn LoadBalancingPolicy>) -> Balancer {
        Balancer {
            settings,
            policy,
            config: None,
            evacuated: BTreeSet::new(),
            pools: BTreeMap::new(),
            unregistered: UnregisteredServers::default(),
            leaving_reports: PendingReports::default(),
            remote_load: RemoteLoad::default(),
            shared_objects: SharedObjectDetector::default(),
            next_handle: 0,
            candidates: Vec::new(),
            next_reported: BackendRun::default(),
        }
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Arc<Config>) {
        self.config = Some(config);
    }

    /// Adds or updates a backend server; returns whether it is new or has restarted.
    pub fn put(&mut self, backend: Backend, members: &Members, now_ms: u64) -> bool {
        if let Some(state) = self.find_same_start(&backend) {
            state.set_cold(backend.cold_left_ms, now_ms);
            state.backend = Arc::new(backend);
            return false;
        }
        self.remove(backend.id.as_str());
        self.next_handle += 1;
        let run = BackendRun::of(&backend);
        let instance = self.settings.instance.as_str();
        let state = BackendState {
            handle: BackendHandle(self.next_handle),
            seed: stable_hash(&[backend.id.as_str()]),
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
            run,
            rate_limit: RateLimit::new(stable_hash(&[instance, &run.0.to_string()])),
            announcements: self.unregistered.take(run),
            backend: Arc::new(backend),
        };
        let pool = self.pools.entry(state.backend.service.clone()).or_default();
        pool.backends.push(state);
        true
    }

    /// Removes a backend server; returns whether it was registered.
    pub fn remove(&mut self, id: &str) -> bool {
        let mut was_known = false;
        for pool in self.pools.values_mut() {
            for state in pool.backends.extract_if(.., |state| state.backend.id.as_str() == id) {
                self.unregistered.add(state.run, state.announcements);
                was_known = true;
            }
        }
        was_known
    }

    /// Evacuates a zone or ends its evacuation; returns whether that is a change.
    ///
    /// The backend servers of an evacuated zone get no requests. After an evacuation they count
    /// as cold, since their caches have expired meanwhile.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool, now_ms: u64) -> bool {
        let has_changed = match is_evacuated {
            true => self.evacuated.insert(zone.clone()),
            false => self.evacuated.remove(zone),
        };
        if !has_changed {
            return false;
        }
        let Balancer { config, pools, .. } = self;
        let backends = pools.values_mut().flat_map(|pool| &mut pool.backends);
        for state in backends.filter(|state| state.backend.zone == *zone) {
            state.is_evacuated = is_evacuated;
            if !is_evacuated {
                state.start_cold_period(config.as_deref(), now_ms);
            }
        }
        true
    }

    /// Sets the factor and the addend of the rate of requests to cold servers.
    pub fn set_cold_rates(&mut self, factor: f64, slack: f64) {
        self.settings.cold_rate_factor = factor;
        self.settings.cold_rate_slack = slack;
    }

    /// Recomputes this instance's shares of the limits of cold servers and of servers that limit
    /// their rate; to be called when the members or the configuration have changed.
    pub fn update_shares(&mut self, members: &Members, now_ms: u64) {
        // Moved out, because `cold_limit` borrows `self`.
        let mut pools = std::mem::take(&mut self.pools);
        for state in pools.values_mut().flat_map(|pool| &mut pool.backends) {
            state.cold_limit = self.cold_limit(&state.backend, members);
            rate_limit::divide_limit(state, &self.settings.instance, members, now_ms);
        }
        self.pools = pools;
    }

    /// Returns the requests per second that this instance may send to a cold server, 0 without
    /// a configuration.
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

    /// Returns the backend server with a handle while it is registered.
    pub fn backend(&self, handle: BackendHandle) -> Option<Arc<Backend>> {
        self.backends().find(|state| state.handle == handle).map(|state| Arc::clone(&state.backend))
    }

    /// Iterates over the services that have backend servers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let pools = self.pools.iter().filter(|(_, pool)| !pool.backends.is_empty());
        pools.map(|(service, _)| service)
    }

    /// Returns the number of backend servers of a service.
    pub fn servers(&self, service: &ServiceName) -> usize {
        self.pools.get(service).map_or(0, |pool| pool.backends.len())
    }

    /// Returns up to `count` servers of a service, other ones for another `random` number.
    pub fn sample_servers(
        &self,
        service: &ServiceName,
        count: usize,
        random: u64,
        now_ms: u64,
    ) -> Vec<(BackendHandle, SocketAddr)> {
        let states = self.pools.get(service).into_iter().flat_map(|pool| &pool.backends);
        let usable = states.filter(|state| {
            let is_leaving = state.backend.is_draining || state.announcements.leaving.is_announced;
            !is_leaving && !state.is_evacuated
        });
        let mut sample: Vec<&BackendState> = usable.collect();
        // A new connection may take a slot, so paused servers come last.
        let is_paused =
            |state: &BackendState| state.announcements.pushback.remaining_ms(now_ms).is_some();
        sample.sort_by_key(|state| (is_paused(state), state.hash(random)));
        sample.iter().take(count).map(|state| (state.handle, state.backend.addr)).collect()
    }

    /// Forgets failures of all servers of a service, since the links to them were down.
    pub fn forget_failures(&mut self, service: &ServiceName) {
        let states = self.pools.get_mut(service).into_iter().flat_map(|pool| &mut pool.backends);
        for state in states {
            state.health = Health::default();
            state.was_unreachable = false;
        }
    }

    /// Returns the requests in flight from this instance, for each server that has any.
    pub fn in_flight(&self) -> Vec<InFlightCount> {
        let busy = self.backends().filter(|state| state.in_flight > 0);
        busy.map(|state| InFlightCount { backend: state.id_hash(), count: state.in_flight })
            .collect()
    }

    /// Records the load report of another instance.
    pub fn record_load_report(
        &mut self,
        instance: &InstanceId,
        in_flight: Vec<InFlightCount>,
        now_ms: u64,
    ) {
        self.remote_load.record(instance, in_flight, now_ms);
        self.update_remote_in_flight();
    }

    /// Discards load reports that are too old.
    pub fn expire_load_reports(&mut self, now_ms: u64) {
        self.remote_load.expire(now_ms);
        self.update_remote_in_flight();
    }

    /// Records that a client requested an object, given by its hash.
    pub fn record_request(&mut self, object: u64, now_ms: u64) {
        self.shared_objects.record_local(upper_half(object), now_ms);
    }

    /// Takes a sample of the objects requested since the last call, for instances of other
    /// regions.
    pub fn take_request_sample(&mut self) -> Vec<u32> {
        self.shared_objects.take_sample()
    }

    /// Records objects requested in another region. If the preference for servers of the local
    /// region changes, returns whether they are preferred now.
    pub fn record_remote_requests(&mut self, objects: &[u32], now_ms: u64) -> Option<bool> {
        let has_changed = self.shared_objects.record_remote(objects, now_ms);
        has_changed.then(|| !self.shared_objects.is_shared())
    }

    pub(super) fn oldest_report_age_ms(&self, now_ms: u64) -> u64 {
        self.remote_load.oldest_report_age_ms(now_ms)
    }

    fn update_remote_in_flight(&mut self) {
        let counts = self.remote_load.in_flight_by_backend();
        for state in self.backends_mut() {
            state.remote_in_flight = counts.get(&state.id_hash()).copied().unwrap_or_default();
        }
    }

    /// Records that a server reported to be cold for `cold_left_ms`.
    pub fn set_cold(&mut self, handle: BackendHandle, cold_left_ms: u64, now_ms: u64) {
        if let Some(state) = self.backend_state_mut(handle) {
            state.set_cold(cold_left_ms, now_ms);
        }
    }

    /// Marks a server as draining because it said so or another server has its address by now.
    pub fn set_draining(&mut self, handle: BackendHandle) {
        if let Some(state) = self.backend_state_mut(handle) {
            Arc::make_mut(&mut state.backend).is_draining = true;
        }
    }

    /// Records that a run of a server has asked this instance for a pause of `pause_ms`. Until its end
    /// the server is not chosen, and then by one request at first.
    pub fn record_pushback(&mut self, run: BackendRun, pause_ms: u64, now_ms: u64) {
        let record = |announcements: &mut Announcements| {
            announcements.pushback.record(pause_ms, now_ms);
        };
        if let Some(state) = self.backends_mut().find(|state| state.run == run) {
            return record(&mut state.announcements);
        }
        self.unregistered.update(run, record);
    }

    /// Returns whether a server wants no requests from this instance any more that were assigned to it
    /// before: it has asked for a pause, or has announced that it is leaving.
    pub fn is_withheld(&self, handle: BackendHandle, now_ms: u64) -> bool {
        let state = self.backends().find(|state| state.handle == handle);
        state.is_some_and(|state| {
            let Announcements { pushback, leaving } = &state.announcements;
            leaving.is_announced || pushback.remaining_ms(now_ms).is_some()
        })
    }

    /// Returns the number of servers that have asked this instance for a pause.
    pub fn paused_servers(&self, now_ms: u64) -> usize {
        self.backends()
            .filter(|state| state.announcements.pushback.remaining_ms(now_ms).is_some())
            .count()
    }

    /// Completes a request that [`Balancer::choose`] assigned to a server.
    ///
    /// A server that responds after it was unreachable counts as cold, since it may have
    /// restarted before its registration says so.
    pub fn complete(&mut self, handle: BackendHandle, outcome: Outcome, now_ms: u64) {
        let Balancer { config, pools, .. } = self;
        let mut backends = pools.values_mut().flat_map(|pool| &mut pool.backends);
        let Some(state) = backends.find(|state| state.handle == handle) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.health.record(outcome, now_ms);
        state.announcements.pushback.record_outcome(outcome);
        if state.health.was_unreachable() {
            state.was_unreachable = true;
        } else if state.was_unreachable {
            state.was_unreachable = false;
            state.start_cold_period(config.as_deref(), now_ms);
        }
    }

    pub(super) fn backends(&self) -> impl Iterator<Item = &BackendState> {
        self.pools.values().flat_map(|pool| &pool.backends)
    }

    pub(super) fn pool_backend_mut(
        &mut self,
        service: &ServiceName,
        handle: BackendHandle,
    ) -> Option<&mut BackendState> {
        self.pools.get_mut(service)?.backends.iter_mut().find(|state| state.handle == handle)
    }

    pub(super) fn backend_state_mut(&mut self, handle: BackendHandle) -> Option<&mut BackendState> {
        self.backends_mut().find(|state| state.handle == handle)
    }

    pub(super) fn backends_mut(&mut self) -> impl Iterator<Item = &mut BackendState> {
        self.pools.values_mut().flat_map(|pool| &mut pool.backends)
    }

    fn find_same_start(&mut self, backend: &Backend) -> Option<&mut BackendState> {
        let pool = self.pools.get_mut(&backend.service)?;
        pool.backends.iter_mut().find(|state| {
            let known = &state.backend;
            known.id == backend.id
                && known.start_epoch_ms == backend.start_epoch_ms
                && known.addr == backend.addr
        })
    }
}

/// Returns the upper half of an object's hash.
fn upper_half(object: u64) -> u32 {
    (object >> 32) as u32
}
