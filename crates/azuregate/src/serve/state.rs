//! The state shared by all tasks of an entry instance.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use azuregate_core::{
    balance::{
        self, Admission, BackendHandle, Balancer, Config, Fingerprint, Members, MissingBackends,
        Quarantine, Reachability, RequestTimes, RetryBudgets, RetryLimits, WeightedRoundRobin,
    },
    client_memory::Limits,
    names::{ServiceName, StartNumber},
    replica::{FreshnessTracker, Table},
};
use azuregate_platform::settings::{Bounds, Settings};
use tokio::{
    sync::{Notify, watch},
    time,
};

use super::{
    broken_requests::BrokenRequests,
    client_memory::ClientMemory,
    connector::{Connector, TcpConnector},
    encoding::EncodedChangesCache,
    grants::Questions,
    metrics::Metrics,
    pool::ConnectionPool,
    shutdown_phase::ShutdownPhase,
    tables::Tables,
};
use crate::{stop::StopSignal, timer::Timer};

/// An instance without a heartbeat for this long is removed from lookups. Four heartbeats
/// are rarely all lost in the network.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_000;

/// The state of an entry instance.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) start: StartNumber,
    pub(super) stop: StopSignal,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
    pub(super) timer: Timer,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) members: RefCell<Members>,
    pub(super) pool: ConnectionPool<BackendHandle>,
    /// Connections on which requests are forwarded to other instances.
    pub(super) instance_pool: ConnectionPool<SocketAddr>,
    pub(super) reachability: RefCell<Reachability>,
    /// Notified when [`State::reachability`] changes.
    pub(super) reachability_changed: Notify,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) broken_requests: BrokenRequests,
    pub(super) request_times: RefCell<RequestTimes>,
    pub(super) grant_questions: Questions,
    pub(super) metrics: Metrics,
    pub(super) tables: RefCell<Tables>,
    pub(super) encoded_cache: RefCell<EncodedChangesCache>,
    /// Notified after each change of the tables or of their freshness.
    pub(super) tables_changed: watch::Sender<()>,
    /// The freshness of the tables, from this instance's own watch and from its sources.
    pub(super) contact: RefCell<FreshnessTracker>,
    /// Whether this instance watches the store itself.
    pub(super) is_watching: watch::Sender<bool>,
    /// Whether it does so on behalf of other instances.
    pub(super) is_designated_watcher: Cell<bool>,
    /// The number of instances that follow this one.
    pub(super) followers: Cell<usize>,
    /// Backend servers whose rows expired during a store outage and may return.
    pub(super) missing_backends: RefCell<MissingBackends>,
    /// When contact with the store was last established, directly or through other
    /// instances; `None` while there is no contact.
    pub(super) store_reachable_since_ms: Cell<Option<u64>>,
    /// Notified when another instance has newer table versions.
    pub(super) lag_detected: Notify,
    /// Notified when heartbeats of an unregistered instance are received.
    pub(super) unknown_member: Notify,
    /// What clients hold.
    pub(super) client_memory: Rc<ClientMemory>,
    /// The number of open client connections.
    pub(super) connections: Cell<usize>,
    /// The number of requests in progress that other instances forwarded.
    pub(super) forwarded_in_progress: Cell<usize>,
    /// Whether the planned stop has ended, with requests in progress or without.
    pub(super) has_ended: Cell<bool>,
    config: RefCell<Option<Arc<Config>>>,
    bounds: RefCell<Bounds>,
    retry_budgets: RefCell<RetryBudgets>,
    traffic_splits: RefCell<HashMap<String, WeightedRoundRobin>>,
    started_at: Instant,
}

impl State {
    pub(super) fn new(
        settings: Settings,
        stop: StopSignal,
        phase: watch::Receiver<ShutdownPhase>,
        grant_questions: Questions,
        connector: Box<dyn Connector>,
    ) -> State {
        let balancer = Balancer::new(balance::Settings {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            cold_rate_factor: settings.bounds.cold_rate_factor,
            cold_rate_slack: settings.bounds.cold_rate_slack,
        });
        let members =
            Members::new(settings.instance.clone(), settings.zones.clone(), HEARTBEAT_TIMEOUT_MS);
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        State {
            start: StartNumber(u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX)),
            stop,
            phase,
            timer: Timer::start(),
            balancer: RefCell::new(balancer),
            members: RefCell::new(members),
            pool: ConnectionPool::new(connector),
            instance_pool: ConnectionPool::new(Box::new(TcpConnector { ip: settings.ip })),
            reachability: RefCell::default(),
            reachability_changed: Notify::new(),
            quarantine: RefCell::default(),
            broken_requests: BrokenRequests::default(),
            request_times: RefCell::default(),
            grant_questions,
            metrics: Metrics::default(),
            tables: RefCell::default(),
            encoded_cache: RefCell::default(),
            tables_changed: watch::Sender::new(()),
            contact: RefCell::new(FreshnessTracker::new(settings.bounds.propagation_ms)),
            is_watching: watch::Sender::new(true),
            is_designated_watcher: Cell::new(false),
            followers: Cell::new(0),
            missing_backends: RefCell::default(),
            store_reachable_since_ms: Cell::new(None),
            lag_detected: Notify::new(),
            unknown_member: Notify::new(),
            client_memory: ClientMemory::new(Limits::of_machine(
                settings.memory_mb,
                settings.max_fds,
            )),
            connections: Cell::new(0),
            forwarded_in_progress: Cell::new(0),
            has_ended: Cell::new(false),
            config: RefCell::new(None),
            bounds: RefCell::new(settings.bounds.clone()),
            retry_budgets: RefCell::new(RetryBudgets::new(retry_limits(&settings.bounds))),
            traffic_splits: RefCell::default(),
            started_at: Instant::now(),
            settings,
        }
    }

    /// Returns the monotonic time since the start.
    pub(super) fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns how long before `at` a planned stop was requested, or `None` if it was not.
    pub(super) fn stopping_ms(&self, at: time::Instant) -> Option<u64> {
        let requested_at = self.stop.requested_at()?;
        let stopping = at.into_std().checked_duration_since(requested_at)?;
        Some(u64::try_from(stopping.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the current configuration, or `None` until the first one is loaded.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the bounds that apply to the whole deployment.
    pub(super) fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// Returns the time from the request for a planned stop until the process is killed.
    pub(super) fn grace_period_ms(&self) -> u64 {
        self.bounds.borrow().grace_period_ms
    }

    /// Replaces the bounds and returns whether they changed.
    pub(super) fn set_bounds(&self, mut bounds: Bounds) -> bool {
        if self.stop.is_stopping() {
            // It is not known whether a longer one applies to a stop that was requested before.
            bounds.grace_period_ms = bounds.grace_period_ms.min(self.grace_period_ms());
        }
        if *self.bounds.borrow() == bounds {
            return false;
        }
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_cold_rates(bounds.cold_rate_factor, bounds.cold_rate_slack);
        balancer.update_shares(&self.members.borrow(), self.now_ms());
        self.contact.borrow_mut().set_propagation_limit_ms(bounds.propagation_ms);
        let limits = retry_limits(&bounds);
        self.retry_budgets.borrow_mut().set_limits(limits, &self.members.borrow());
        *self.bounds.borrow_mut() = bounds;
        true
    }

    /// Recomputes this instance's shares of what all instances divide among them.
    pub(super) fn update_shares(&self) {
        let members = self.members.borrow();
        self.balancer.borrow_mut().update_shares(&members, self.now_ms());
        self.retry_budgets.borrow_mut().update_burst_part(&members);
    }

    /// Returns whether the table of backend servers has been loaded.
    pub(super) fn has_backends(&self) -> bool {
        self.tables.borrow().get(Table::Backends).is_loaded()
    }

    /// Records whether contact with the store was lost or re-established.
    pub(super) fn update_store_contact(&self) {
        let now_ms = self.now_ms();
        let is_fresh = self.contact.borrow().is_fresh(now_ms);
        match (self.store_reachable_since_ms.get(), is_fresh) {
            (None, true) => {
                self.missing_backends.borrow_mut().mark_store_reachable(now_ms);
                self.store_reachable_since_ms.set(Some(now_ms));
                log::info!("store contact established");
            }
            (Some(since_ms), false) => {
                self.missing_backends.borrow_mut().mark_store_unreachable();
                self.store_reachable_since_ms.set(None);
                log::warn!(had_ms = now_ms.saturating_sub(since_ms); "store contact lost");
            }
            (None, false) | (Some(_), true) => {}
        }
        let can_watch = self.contact.borrow().can_watch(now_ms);
        self.members.borrow_mut().set_local_can_watch(can_watch);
    }

    /// Returns whether the instance can serve requests.
    pub(super) fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.has_backends() && !self.stop.is_stopping()
    }

    /// Applies a configuration, unless the current one is the same version or newer: a
    /// lagging replica of the store may return an outdated configuration.
    pub(super) fn set_config(&self, config: Config) {
        let version = config.version();
        let previous = self.config.borrow().as_ref().map(|config| config.version());
        if previous.is_some_and(|previous| previous >= version) {
            return;
        }
        let config = Arc::new(config);
        self.request_times.borrow_mut().retain_routes(&config);
        self.client_memory.set_largest_body(config.limits().body_bytes);
        *self.config.borrow_mut() = Some(Arc::clone(&config));
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_config(config);
        balancer.update_shares(&self.members.borrow(), self.now_ms());
        log::info!(version = version, previous:? = previous; "configuration applied");
    }

    /// Removes backend servers whose expired rows did not return.
    pub(super) fn remove_expired_backends(&self, another_had_store: bool) {
        let expired =
            self.missing_backends.borrow_mut().take_expired(another_had_store, self.now_ms());
        for id in expired {
            if self.balancer.borrow_mut().remove(id.as_str()) {
                log::info!(backend:% = id, another_had_store = another_had_store; "backend server removed after store outage");
            }
        }
    }

    /// Selects the service for the next request on a route, by the route's traffic split.
    pub(super) fn next_service(&self, route: &balance::Route) -> ServiceName {
        let destinations = &route.destinations;
        if let [only] = destinations.as_slice() {
            return only.service.clone();
        }
        let mut traffic_splits = self.traffic_splits.borrow_mut();
        let split = traffic_splits.entry(route.name.clone()).or_default();
        destinations[split.next(destinations)].service.clone()
    }

    /// Records a client request in the retry budget of `service`.
    pub(super) fn record_request(&self, service: &ServiceName) {
        self.retry_budgets.borrow_mut().record_request(service, self.now_ms());
    }

    /// Takes a retry from the budget of `service` and returns whether one was available.
    pub(super) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let is_allowed = self.retry_budgets.borrow_mut().try_acquire(service, self.now_ms());
        self.metrics.record_retry(service.as_str(), is_allowed);
        is_allowed
    }

    /// Returns the number of retries that are left in the budget of `service`.
    pub(super) fn available_retries(&self, service: &ServiceName) -> usize {
        self.retry_budgets.borrow_mut().available(service, self.now_ms())
    }

    /// Returns whether a request may be sent to backend servers. `fingerprint` is called only
    /// if any request is quarantined.
    pub(super) fn admit(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Admission {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.quarantined_requests() == 0 {
            return Admission::Allowed;
        }
        let now_ms = self.now_ms();
        let fingerprint = fingerprint();
        quarantine.admit(fingerprint, || self.rank(fingerprint) == 0, now_ms)
    }

    /// Returns the rank of this instance for a quarantined request. The first one retries it,
    /// and the first ones keep its row in the store.
    pub(super) fn rank(&self, request: Fingerprint) -> usize {
        self.members.borrow().rank(&request.to_string(), self.now_ms())
    }

    /// Records that a backend server responded to a request.
    pub(super) fn record_response(&self, request: Fingerprint) {
        if self.quarantine.borrow_mut().record_response(request, self.now_ms()) {
            log::info!(fingerprint:% = request; "request cleared of crashes");
        }
    }

    /// Returns the region of an availability zone.
    pub(super) fn region_of(&self, zone: &str) -> Option<&str> {
        let zones: &BTreeMap<_, _> = &self.settings.zones;
        zones.get(zone).map(|region| region.as_str())
    }
}

fn retry_limits(bounds: &Bounds) -> RetryLimits {
    RetryLimits {
        ratio: bounds.retry_budget_ratio,
        window_ms: bounds.retry_window_ms,
        burst: bounds.retry_burst,
    }
}
