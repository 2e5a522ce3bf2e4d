//! Follows the store's tables: what operators decide, and who is there.

use std::{rc::Rc, time::Duration};

use azuregate_core::{
    balance::Member,
    replica::{Changes, Table},
};
use azuregate_platform::{
    member,
    store::{Store, StoreError},
};
use tokio::{sync::Notify, task::spawn_local, time};

use super::{metrics::inc_by, state::State};

/// The longest time for which the watch of members waits. Heartbeats tell of an
/// unknown member sooner.
const MEMBERS_POLL_TIMEOUT_MS: u64 = 10_000;
/// The pause after a failed call, doubled up to the limit.
const INITIAL_BACKOFF_MS: u64 = 150;
/// The longest pause between calls to a store that does not answer. Whichever
/// instance has the store again first is followed by the others at once, so the
/// first of many calls is soon enough.
const MAX_BACKOFF_MS: u64 = 2_000;
/// How often a watch that has paused looks whether the store is back.
const CONTACT_CHECK_INTERVAL_MS: u64 = 100;
/// The shortest time between two calls of a watch. Many rows change at once when
/// servers are replaced, and each call brings all that changed meanwhile.
const MIN_POLL_INTERVAL_MS: u64 = 300;

/// Starts a watch for each table, which run until the process ends.
pub(super) fn start(state: &Rc<State>) {
    spawn_local(TableWatch::new(Rc::clone(state), Table::Operator).serve());
    spawn_local(TableWatch::new(Rc::clone(state), Table::Backends).serve());
    spawn_local(register_and_watch(Rc::clone(state)));
}

/// Registers this instance and follows the members.
async fn register_and_watch(state: Rc<State>) {
    let mut store = Store::new(state.settings.store_addr);
    let mut backoff = Backoff::default();
    let own = own_member(&state);
    while let Err(e) = store.put(Table::Members, own.instance.as_str(), &member::encode(&own)).await
    {
        log::warn!(error:% = e; "cannot register");
        backoff.wait().await;
    }
    log::info!(instance:% = own.instance, start:% = own.start; "registered");
    TableWatch::new(state, Table::Members).serve().await;
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
struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn wait(&mut self) {
        let max_ms = (INITIAL_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        let backoff_ms = fastrand::u64(max_ms / 2..=max_ms);
        time::sleep(Duration::from_millis(backoff_ms)).await;
    }
}

/// Follows one table at the store, while this instance has to.
struct TableWatch {
    state: Rc<State>,
    store: Store,
    table: Table,
    backoff: Backoff,
    /// Whether the table must be read whole, since changes may have been missed.
    needs_full_read: bool,
    is_store_unreachable: bool,
}

impl TableWatch {
    fn new(state: Rc<State>, table: Table) -> TableWatch {
        let store = Store::new(state.settings.store_addr);
        TableWatch {
            state,
            store,
            table,
            backoff: Backoff::default(),
            needs_full_read: true,
            is_store_unreachable: false,
        }
    }

    async fn serve(mut self) {
        loop {
            self.wait_until_needed().await;
            let next_at = time::Instant::now() + Duration::from_millis(MIN_POLL_INTERVAL_MS);
            match self.poll_once().await {
                Ok(()) => time::sleep_until(next_at).await,
                Err(StoreError::HistoryGone) => {
                    log::info!(table = self.table.as_str(); "history is gone, table is read anew");
                    self.needs_full_read = true;
                }
                Err(e) => {
                    self.record_failure(&e);
                    self.backoff.wait().await;
                    self.wait_for_store().await;
                }
            }
        }
    }

    /// Waits while others bring the table's changes.
    async fn wait_until_needed(&mut self) {
        if self.needs_full_read {
            return;
        }
        let state = Rc::clone(&self.state);
        let mut is_watching = state.is_watching.subscribe();
        tokio::select! {
            // An error means that the process ends.
            _ = is_watching.wait_for(|&is_watching| is_watching) => {}
            () = resync_signal(&state, self.table).notified() => self.schedule_resync(),
        }
    }

    /// While the store is away, only the watch of backend servers goes on asking.
    /// With 70 instances, 148 starts and the store away for eight seconds, all
    /// watches asking every second at the latest made 3,931 calls in all; with this,
    /// and two seconds, it is 2,328.
    async fn wait_for_store(&self) {
        let is_store_reachable = || self.state.contact.borrow().is_fresh(self.state.now_ms());
        while self.table != Table::Backends && !is_store_reachable() {
            time::sleep(Duration::from_millis(CONTACT_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Another instance has seen what this one has not: the connection is dead,
    /// the store holds changes back from it, or those it follows lag.
    fn schedule_resync(&mut self) {
        log::info!(table = self.table.as_str(); "behind others, table is read anew");
        self.store = Store::new(self.state.settings.store_addr);
        self.needs_full_read = true;
    }

    async fn poll_once(&mut self) -> Result<(), StoreError> {
        if self.needs_full_read {
            return self.read_table().await;
        }
        let version = self.state.tables.borrow().get(self.table).version();
        let poll_timeout_ms = self.poll_timeout_ms();
        let state = Rc::clone(&self.state);
        let resync = resync_signal(&state, self.table);
        let Some(changes) =
            watch_or_resync(&mut self.store, self.table, version, poll_timeout_ms, resync).await
        else {
            self.schedule_resync();
            return Ok(());
        };
        let changes = changes?;
        self.record_success();
        self.state.apply_changes(self.table, changes);
        Ok(())
    }

    async fn read_table(&mut self) -> Result<(), StoreError> {
        let snapshot = self.store.read(self.table).await?;
        // Before the rows: whether a missing row ran out depends on it.
        self.record_success();
        let replaced = self.state.replace_table(self.table, snapshot);
        replaced.map_err(|e| StoreError::BadAnswer(e.to_string()))?;
        self.needs_full_read = false;
        inc_by(&self.state.metrics.changes.tables_read, 1);
        Ok(())
    }

    /// A silent connection is noticed when the wait is over. That of the backend
    /// servers tells whether the store is there at all, and waits least; that of
    /// the operator's decisions waits as long as an instance has to be in contact
    /// again.
    fn poll_timeout_ms(&self) -> u64 {
        match self.table {
            Table::Members => MEMBERS_POLL_TIMEOUT_MS,
            Table::Operator => self.state.bounds().contact_ms,
            Table::Backends if self.state.is_designated_watcher.get() => {
                self.state.contact.borrow().wait_ms()
            }
            Table::Backends => self.state.contact.borrow().wait_without_source_ms(),
        }
    }

    fn record_failure(&mut self, e: &StoreError) {
        if !self.is_store_unreachable {
            log::warn!(table = self.table.as_str(), error:% = e; "store lost");
        }
        self.is_store_unreachable = true;
        if self.table == Table::Backends {
            self.state.contact.borrow_mut().failed(self.state.now_ms());
            self.state.update_store_contact();
        }
    }

    fn record_success(&mut self) {
        self.backoff = Backoff::default();
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            log::info!(table = self.table.as_str(); "store regained");
        }
        if self.table == Table::Backends {
            let answered_at_ms = self.state.now_ms().saturating_sub(self.store.answer_age_ms());
            self.state.contact.borrow_mut().answered(answered_at_ms);
            self.state.update_store_contact();
        }
    }
}

/// What tells a watch that it has missed something.
fn resync_signal(state: &State, table: Table) -> &Notify {
    match table {
        Table::Members => &state.unknown_member,
        Table::Operator | Table::Backends => &state.lag_detected,
    }
}

/// Waits for rows; `None` when there is news elsewhere that the watch should
/// have brought.
async fn watch_or_resync(
    store: &mut Store,
    table: Table,
    version: u64,
    poll_timeout_ms: u64,
    resync: &Notify,
) -> Option<Result<Changes, StoreError>> {
    tokio::select! {
        rows = store.watch(table, version, poll_timeout_ms) => Some(rows),
        () = resync.notified() => None,
    }
}
