//! Follows the store's tables: what operators decide, and who is there.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use azuregate_core::{balance::Member, names::BackendId};
use azuregate_platform::{
    backend,
    config::{self, OperatorRow},
    member,
    store::{Row, Rows, Store, StoreError, Table},
};
use tokio::{sync::Notify, task::spawn_local, time};

use super::state::{State, Versions};

/// The longest time for which the watch of members waits. Heartbeats tell of an
/// unknown member sooner.
const MEMBERS_WAIT_MS: u64 = 10_000;
/// The pause after a failed call, doubled up to the limit.
const FIRST_PAUSE_MS: u64 = 150;
/// The longest pause between calls to a store that does not answer.
const LONGEST_PAUSE_MS: u64 = 1_000;
/// The shortest time between two calls of a watch. Many rows change at once when
/// servers are replaced, and each call brings all that changed meanwhile.
const LEAST_INTERVAL_MS: u64 = 300;

/// Starts a watch for each table, which run until the process ends.
pub(super) fn start(state: &Rc<State>) {
    spawn_local(Watch::new(Rc::clone(state), Table::Operator).serve());
    spawn_local(Watch::new(Rc::clone(state), Table::Backends).serve());
    spawn_local(register_and_watch(Rc::clone(state)));
}

/// Registers this instance and follows the members.
async fn register_and_watch(state: Rc<State>) {
    let mut store = Store::new(state.settings.store_addr);
    let mut pause = Pause::default();
    let own = own_member(&state);
    while let Err(e) = store.put(Table::Members, own.instance.as_str(), &member::encode(&own)).await
    {
        log::warn!(error:% = e; "cannot register");
        pause.wait().await;
    }
    log::info!(instance:% = own.instance, start:% = own.start; "registered");
    Watch::new(state, Table::Members).serve().await;
}

/// Ends the registration of this instance at a planned stop.
pub(super) async fn unregister(state: &State) {
    let mut store = Store::new(state.settings.store_addr);
    if let Err(e) = store.remove(Table::Members, state.settings.instance.as_str()).await {
        log::warn!(error:% = e; "cannot unregister");
    }
}

fn own_member(state: &State) -> Member {
    let settings = &state.settings;
    Member {
        instance: settings.instance.clone(),
        start: state.start,
        ip: settings.ip,
        traffic_addr: settings.traffic_addr,
        zone: settings.zone.clone(),
    }
}

/// Pauses that grow while calls fail, by chance a little longer or shorter so
/// that not all instances call again at the same moment.
#[derive(Default)]
struct Pause {
    failures: u32,
}

impl Pause {
    async fn wait(&mut self) {
        let longest_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(LONGEST_PAUSE_MS);
        self.failures += 1;
        let pause_ms = fastrand::u64(longest_ms / 2..=longest_ms);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Follows one table.
struct Watch {
    state: Rc<State>,
    store: Store,
    table: Table,
    pause: Pause,
    /// Where the next watch goes on; `None` before the table was read.
    version: Option<u64>,
    /// The store's newest version that was seen; an answer from before it comes
    /// from a copy that is behind.
    newest_version: u64,
    is_away: bool,
}

impl Watch {
    fn new(state: Rc<State>, table: Table) -> Watch {
        let store = Store::new(state.settings.store_addr);
        Watch {
            state,
            store,
            table,
            pause: Pause::default(),
            version: None,
            newest_version: 0,
            is_away: false,
        }
    }

    async fn serve(mut self) {
        loop {
            let next_at = time::Instant::now() + Duration::from_millis(LEAST_INTERVAL_MS);
            match self.step().await {
                Ok(()) => {
                    self.returned();
                    time::sleep_until(next_at).await;
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(table = self.table.as_str(); "history is gone, table is read anew");
                    self.version = None;
                }
                Err(e) => {
                    self.failed(&e);
                    self.pause.wait().await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        let Some(version) = self.version else { return self.read().await };
        let wait_ms = self.wait_ms();
        let state = Rc::clone(&self.state);
        let news = match self.table {
            Table::Members => &state.unknown_member,
            Table::Operator | Table::Backends => &state.behind,
        };
        let Some(rows) = watch_or_news(&mut self.store, self.table, version, wait_ms, news).await
        else {
            // Another instance has seen what this watch has not: the connection
            // is dead, or the store holds changes back from it.
            log::info!(table = self.table.as_str(); "behind others, table is read anew");
            self.store = Store::new(self.state.settings.store_addr);
            self.version = None;
            return Ok(());
        };
        let rows = rows?;
        self.returned();
        self.version = Some(rows.version.max(version));
        self.newest_version = self.newest_version.max(rows.version);
        for row in rows.rows {
            self.apply(&row);
        }
        self.cover(rows.version);
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let rows = self.store.read(self.table).await?;
        if rows.version < self.newest_version {
            let detail = format!("version {} after {}", rows.version, self.newest_version);
            return Err(StoreError::BadAnswer(detail));
        }
        self.returned();
        self.version = Some(rows.version);
        self.newest_version = rows.version;
        self.apply_all(&rows);
        self.cover(rows.version);
        Ok(())
    }

    /// A silent connection is noticed when the wait is over, so the wait is as
    /// short as the time in which an instance must be in contact again.
    fn wait_ms(&self) -> u64 {
        match self.table {
            Table::Members => MEMBERS_WAIT_MS,
            Table::Operator | Table::Backends => self.state.bounds().contact_ms,
        }
    }

    fn failed(&mut self, e: &StoreError) {
        if !self.is_away {
            log::warn!(table = self.table.as_str(), error:% = e; "store lost");
        }
        self.is_away = true;
        if self.table == Table::Backends {
            self.state.lapsed.borrow_mut().store_lost();
            self.state.has_store_since_ms.set(None);
        }
    }

    fn returned(&mut self) {
        self.pause = Pause::default();
        if self.is_away {
            self.is_away = false;
            log::info!(table = self.table.as_str(); "store regained");
        }
        if self.table == Table::Backends && self.state.has_store_since_ms.get().is_none() {
            let now_ms = self.state.now_ms();
            self.state.lapsed.borrow_mut().store_regained(now_ms);
            self.state.has_store_since_ms.set(Some(now_ms));
        }
    }

    fn apply_all(&mut self, rows: &Rows) {
        let keys: BTreeSet<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        for key in self.known_keys() {
            if !keys.contains(key.as_str()) {
                self.removed(&key);
            }
        }
        for row in &rows.rows {
            self.apply(row);
        }
        if self.table == Table::Backends {
            self.state.has_backends.set(true);
        }
    }

    fn known_keys(&self) -> Vec<String> {
        match self.table {
            Table::Operator => {
                let balancer = self.state.balancer.borrow();
                balancer.evacuated().map(config::evacuation_key).collect()
            }
            Table::Backends => {
                let ids = self.state.balancer.borrow().ids();
                ids.iter().map(|id| id.as_str().to_owned()).collect()
            }
            Table::Members => {
                let members = self.state.members.borrow();
                members.registered().map(|member| member.instance.as_str().to_owned()).collect()
            }
        }
    }

    fn apply(&mut self, row: &Row) {
        self.saw(row.version);
        if row.is_removed {
            return self.removed(&row.key);
        }
        if self.table == Table::Backends {
            self.state.lapsed.borrow_mut().is_back(&row.key);
        }
        let value = row.value.as_deref().unwrap_or_default();
        match self.table {
            Table::Operator => self.operator_row(&row.key, value),
            Table::Backends => self.backend_row(&row.key, value),
            Table::Members => self.member_row(&row.key, value),
        }
    }

    fn saw(&self, version: u64) {
        raise(&self.state.changed, self.table, version);
    }

    /// Notes that all rows up to `version` have been taken in.
    fn cover(&self, version: u64) {
        raise(&self.state.covered, self.table, version);
        if self.table == Table::Members {
            self.members_changed();
        }
    }

    fn operator_row(&self, key: &str, value: &[u8]) {
        match config::operator_row(key) {
            OperatorRow::Config => match config::decode(value) {
                Ok(config) => self.state.set_config(config),
                Err(e) => log::warn!(key = key, error:% = e; "configuration ignored"),
            },
            OperatorRow::Evacuate(zone) => {
                let now_ms = self.state.now_ms();
                if self.state.balancer.borrow_mut().set_evacuated(&zone, true, now_ms) {
                    log::info!(zone:% = zone; "zone evacuated");
                }
            }
            OperatorRow::Other => log::warn!(key = key; "unknown row of the operator ignored"),
        }
    }

    fn backend_row(&self, key: &str, value: &[u8]) {
        let backend = match backend::decode(key, value) {
            Ok(backend) => backend,
            Err(e) => {
                log::warn!(backend = key, error:% = e; "backend server's row ignored");
                return;
            }
        };
        let now_ms = self.state.now_ms();
        let (draining, cold_left_ms) = (backend.is_draining, backend.cold_left_ms);
        let members = self.state.members.borrow();
        let is_new = self.state.balancer.borrow_mut().put(backend, &members, now_ms);
        log::info!(backend = key, new = is_new, draining = draining, cold_left_ms = cold_left_ms; "backend server");
    }

    fn member_row(&self, key: &str, value: &[u8]) {
        match member::decode(key, value) {
            Ok(member) => self.state.members.borrow_mut().put(member),
            Err(e) => log::warn!(instance = key, error:% = e; "instance's row ignored"),
        }
    }

    fn members_changed(&self) {
        let members = self.state.members.borrow();
        self.state.balancer.borrow_mut().set_cold_limits(&members);
    }

    fn removed(&mut self, key: &str) {
        match self.table {
            Table::Operator => {
                let OperatorRow::Evacuate(zone) = config::operator_row(key) else { return };
                let now_ms = self.state.now_ms();
                if self.state.balancer.borrow_mut().set_evacuated(&zone, false, now_ms) {
                    log::info!(zone:% = zone; "zone taken back");
                }
            }
            Table::Backends => self.backend_removed(key),
            Table::Members => self.state.members.borrow_mut().remove(key),
        }
    }

    fn backend_removed(&self, key: &str) {
        let now_ms = self.state.now_ms();
        if !self.state.lapsed.borrow_mut().is_gone(&BackendId::new(key), now_ms) {
            log::info!(backend = key; "backend server's row ran out while the store was away");
        } else if self.state.balancer.borrow_mut().remove(key) {
            log::info!(backend = key; "backend server gone");
        }
    }
}

fn raise(versions: &Cell<Versions>, table: Table, version: u64) {
    let mut raised = versions.get();
    match table {
        Table::Operator => raised.operator = raised.operator.max(version),
        Table::Backends => raised.backends = raised.backends.max(version),
        Table::Members => {}
    }
    versions.set(raised);
}

/// Waits for rows; `None` when there is news elsewhere that the watch should
/// have brought.
async fn watch_or_news(
    store: &mut Store,
    table: Table,
    version: u64,
    wait_ms: u64,
    news: &Notify,
) -> Option<Result<Rows, StoreError>> {
    tokio::select! {
        rows = store.watch(table, version, wait_ms) => Some(rows),
        () = news.notified() => None,
    }
}
