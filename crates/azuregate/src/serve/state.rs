//! What an entry instance believes, and what its tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use azuregate_core::{
    balance::{self, Balancer, Config, Members, MissingBackends, RetryBudget, WeightedRoundRobin},
    names::{ServiceName, StartNumber},
    replica::{FreshnessTracker, Table},
};
use azuregate_platform::settings::{Bounds, Settings};
use tokio::sync::{Notify, watch};

use super::{encoded::EncodedCache, metrics::Metrics, phase::Phase, pool::Pool, tables::Tables};
use crate::{stop::Stop, timer::Timer};

/// The share of the retry budget that is used. Backend servers count when a
/// request arrives and instances when it is sent, so the windows differ a little.
const RETRY_SHARE: f64 = 0.85;
/// Heartbeats of an instance that stay out for this long end its being named to
/// clients: four of them, which packet loss alone hardly takes.
const SILENCE_MS: u64 = 2_000;

/// What an entry instance believes.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) start: StartNumber,
    pub(super) stop: Stop,
    /// How far a planned stop has come.
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) timer: Timer,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) members: RefCell<Members>,
    pub(super) pool: Pool,
    pub(super) metrics: Metrics,
    /// Copies of the store's tables.
    pub(super) tables: RefCell<Tables>,
    /// Changes as they were passed on last.
    pub(super) encoded: RefCell<EncodedCache>,
    /// Wakes what passes changes on.
    pub(super) changed: watch::Sender<()>,
    /// How old the last sign of the store is, by the own watch and by sources.
    pub(super) contact: RefCell<FreshnessTracker>,
    /// Whether this instance watches the store itself.
    pub(super) is_watching: watch::Sender<bool>,
    /// Whether it does so because others need it.
    pub(super) watches_for_others: Cell<bool>,
    /// Instances that follow this one.
    pub(super) followers: Cell<usize>,
    /// Backend servers whose rows are missing, but may come back.
    pub(super) lapsed: RefCell<MissingBackends>,
    /// Since when the store has been there without a break, by any way; `None`
    /// while it is not.
    pub(super) has_store_since_ms: Cell<Option<u64>>,
    /// Wakes the watches when another instance has seen more.
    pub(super) behind: Notify,
    /// Wakes the watch of members when an unknown instance was heard.
    pub(super) unknown_member: Notify,
    /// Open connections of clients.
    pub(super) connections: Cell<usize>,
    config: RefCell<Option<Arc<Config>>>,
    bounds: RefCell<Bounds>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    splits: RefCell<HashMap<String, WeightedRoundRobin>>,
    origin: Instant,
}

impl State {
    pub(super) fn new(settings: Settings, stop: Stop, phase: watch::Receiver<Phase>) -> State {
        let balancer = Balancer::new(balance::Settings {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            cold_rate_factor: settings.bounds.cold_rate_factor,
            cold_rate_slack: settings.bounds.cold_rate_slack,
        });
        let members = Members::new(settings.instance.clone(), settings.zones.clone(), SILENCE_MS);
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        State {
            start: StartNumber(u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX)),
            stop,
            phase,
            timer: Timer::start(),
            balancer: RefCell::new(balancer),
            members: RefCell::new(members),
            pool: Pool::default(),
            metrics: Metrics::default(),
            tables: RefCell::default(),
            encoded: RefCell::default(),
            changed: watch::Sender::new(()),
            contact: RefCell::new(FreshnessTracker::new(settings.bounds.propagation_ms)),
            is_watching: watch::Sender::new(true),
            watches_for_others: Cell::new(false),
            followers: Cell::new(0),
            lapsed: RefCell::default(),
            has_store_since_ms: Cell::new(None),
            behind: Notify::new(),
            unknown_member: Notify::new(),
            connections: Cell::new(0),
            config: RefCell::new(None),
            bounds: RefCell::new(settings.bounds.clone()),
            retries: RefCell::default(),
            splits: RefCell::default(),
            origin: Instant::now(),
            settings,
        }
    }

    /// Monotonic time since the start.
    pub(super) fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The configuration in force, `None` before the first one.
    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// What the operator expects of the whole deployment.
    pub(super) fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// Takes in new bounds; returns whether they differ.
    pub(super) fn set_bounds(&self, bounds: Bounds) -> bool {
        if *self.bounds.borrow() == bounds {
            return false;
        }
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_cold_rates(bounds.cold_rate_factor, bounds.cold_rate_slack);
        balancer.set_cold_limits(&self.members.borrow());
        self.contact.borrow_mut().set_propagation_limit_ms(bounds.propagation_ms);
        *self.bounds.borrow_mut() = bounds;
        // They are made anew with the new share, and start empty, which allows less.
        self.retries.borrow_mut().clear();
        true
    }

    /// Whether the table of backend servers was read since the start.
    pub(super) fn has_backends(&self) -> bool {
        self.tables.borrow().get(Table::Backends).is_loaded()
    }

    /// Notes when the store is lost and when it is back.
    pub(super) fn check_contact(&self) {
        let now_ms = self.now_ms();
        let is_fresh = self.contact.borrow().is_fresh(now_ms);
        match (self.has_store_since_ms.get(), is_fresh) {
            (None, true) => {
                self.lapsed.borrow_mut().mark_store_reachable(now_ms);
                self.has_store_since_ms.set(Some(now_ms));
                log::info!("contact with the store");
            }
            (Some(since_ms), false) => {
                self.lapsed.borrow_mut().mark_store_unreachable();
                self.has_store_since_ms.set(None);
                log::warn!(had_ms = now_ms.saturating_sub(since_ms); "no contact with the store");
            }
            (None, false) | (Some(_), true) => {}
        }
        let can_watch = self.contact.borrow().can_watch(now_ms);
        self.members.borrow_mut().set_local_can_watch(can_watch);
    }

    /// Whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.has_backends() && !self.stop.is_stopping()
    }

    /// Takes in a configuration, unless a newer one is in force. The store may
    /// answer from a copy that is behind, and what was in force must not come
    /// back.
    pub(super) fn set_config(&self, config: Config) {
        let version = config.version();
        let previous = self.config.borrow().as_ref().map(|config| config.version());
        if previous.is_some_and(|previous| previous >= version) {
            return;
        }
        let config = Arc::new(config);
        *self.config.borrow_mut() = Some(Arc::clone(&config));
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_config(config);
        balancer.set_cold_limits(&self.members.borrow());
        log::info!(version = version, previous:? = previous; "configuration in force");
    }

    /// Forgets backend servers whose rows are gone for good.
    pub(super) fn remove_lapsed(&self, another_had_store: bool) {
        let gone = self.lapsed.borrow_mut().take_expired(another_had_store, self.now_ms());
        for id in gone {
            if self.balancer.borrow_mut().remove(id.as_str()) {
                log::info!(backend:% = id, another_had_store = another_had_store; "backend server gone since the store was away");
            }
        }
    }

    /// The service of the next request on a route, and its index.
    pub(super) fn next_service(&self, route: &balance::Route) -> ServiceName {
        let destinations = &route.destinations;
        if let [only] = destinations.as_slice() {
            return only.service.clone();
        }
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        destinations[split.next(destinations)].service.clone()
    }

    /// Counts a request of a client for `service`.
    pub(super) fn count_request(&self, service: &ServiceName) {
        let now_ms = self.now_ms();
        self.with_retries(service, |budget| budget.record_request(now_ms));
    }

    /// Takes a retry from the budget of `service`, if there is room.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let now_ms = self.now_ms();
        self.with_retries(service, |budget| budget.try_acquire(now_ms))
    }

    fn with_retries<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.bounds.borrow();
        let mut retries = self.retries.borrow_mut();
        if !retries.contains_key(service) {
            let budget =
                RetryBudget::new(bounds.retry_budget_ratio * RETRY_SHARE, bounds.retry_window_ms);
            retries.insert(service.clone(), budget);
        }
        f(retries.get_mut(service).expect("it was just added"))
    }

    /// Zones and their regions, by which lookups are answered.
    pub(super) fn region_of(&self, zone: &str) -> Option<&str> {
        let zones: &BTreeMap<_, _> = &self.settings.zones;
        zones.get(zone).map(|region| region.as_str())
    }
}
