//! Watches the store's tables, and registers this instance in the store.

use std::{rc::Rc, time::Duration};

use azuregate_core::{
    balance::Member,
    replica::{Changes, Table},
};
use azuregate_platform::{
    member,
    store::{StoreClient, StoreError},
};
use tokio::{sync::Notify, task::spawn_local, time};

use super::{metrics::inc_by, state::State};

/// Heartbeats reveal unknown members sooner than this timeout.
const MEMBERS_POLL_TIMEOUT_MS: u64 = 10_000;
const INITIAL_BACKOFF_MS: u64 = 150;
/// The first instance that reaches the store again passes changes on to the others, so a
/// longer backoff of each instance does not delay recovery.
const MAX_BACKOFF_MS: u64 = 2_000;
const CONTACT_CHECK_INTERVAL_MS: u64 = 100;
/// The minimum interval between two calls of a watch, so that one call returns all of
/// the rows that change together when servers are replaced.
const MIN_POLL_INTERVAL_MS: u64 = 300;

/// Spawns a watch for each table. The watches run until the process ends.
pub(super) fn start(state: &Rc<State>) {
    spawn_local(TableWatch::new(Rc::clone(state), Table::Operator).serve());
    spawn_local(TableWatch::new(Rc::clone(state), Table::Backends).serve());
    spawn_local(register_and_watch(Rc::clone(state)));
}

/// Registers this instance, then watches the members table.
async fn register_and_watch(state: Rc<State>) {
    let mut store = StoreClient::new(state.settings.store_addr);
    let mut backoff = Backoff::default();
    let own = own_member(&state);
    while let Err(e) = store.put(Table::Members, own.instance.as_str(), &member::encode(&own)).await
    {
        log::warn!(error:% = e; "cannot register instance");
        backoff.wait().await;
    }
    log::info!(instance:% = own.instance, start:% = own.start; "registered");
    TableWatch::new(state, Table::Members).serve().await;
}

/// Removes the registration of this instance.
pub(super) async fn unregister(state: &State) {
    let mut store = StoreClient::new(state.settings.store_addr);
    if let Err(e) = store.remove(Table::Members, state.settings.instance.as_str()).await {
        log::warn!(error:% = e; "cannot unregister instance");
    }
}

fn own_member(state: &State) -> Member {
    let settings = &state.settings;
    Member {
        instance: settings.instance.clone(),
        start: state.start,
        ip: settings.ip,
        traffic_addr: settings.traffic_addr,
        forwarding_port: settings.forwarding_port(),
        zone: settings.zone.clone(),
    }
}

/// Exponential backoff with jitter.
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

/// Watches one table of the store, whenever this instance has to.
struct TableWatch {
    state: Rc<State>,
    store: StoreClient,
    table: Table,
    backoff: Backoff,
    /// Whether the table must be read completely, since changes may have been missed.
    needs_full_read: bool,
    is_store_unreachable: bool,
}

impl TableWatch {
    fn new(state: Rc<State>, table: Table) -> TableWatch {
        let store = StoreClient::new(state.settings.store_addr);
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
                Err(StoreError::HistoryExpired) => {
                    log::info!(table = self.table.as_str(); "change history lost, rereading table");
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

    /// Waits while other instances deliver the table's changes.
    async fn wait_until_needed(&mut self) {
        if self.needs_full_read {
            return;
        }
        let state = Rc::clone(&self.state);
        let mut is_watching = state.is_watching.subscribe();
        tokio::select! {
            // An error means that the process is exiting.
            _ = is_watching.wait_for(|&is_watching| is_watching) => {}
            () = resync_signal(&state, self.table).notified() => self.schedule_resync(),
        }
    }

    /// Waits until the store is reachable again, except for the watch of backend servers.
    ///
    /// One watch per instance is enough to detect that the store is back. Retries of all
    /// watches would multiply the load on a recovering store.
    async fn wait_for_store(&self) {
        let is_store_reachable = || self.state.contact.borrow().is_fresh(self.state.now_ms());
        while self.table != Table::Backends && !is_store_reachable() {
            time::sleep(Duration::from_millis(CONTACT_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Reconnects and rereads the table after another instance has reported a newer
    /// version: the connection is dead, or the store or the sources lag.
    fn schedule_resync(&mut self) {
        log::info!(table = self.table.as_str(); "table is behind other instances, rereading");
        self.store = StoreClient::new(self.state.settings.store_addr);
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
        // Must precede the changes: contact with the store determines whether a missing
        // row counts as expired or as removed.
        self.record_success();
        let replaced = self.state.replace_table(self.table, snapshot);
        replaced.map_err(|e| StoreError::InvalidResponse(e.to_string()))?;
        self.needs_full_read = false;
        inc_by(&self.state.metrics.changes.tables_read, 1);
        Ok(())
    }

    /// Returns the long-poll timeout of a watch.
    ///
    /// A dead connection is detected only when the poll times out. The backends watch has
    /// the shortest timeout, since it also determines whether the store is reachable.
    fn poll_timeout_ms(&self) -> u64 {
        match self.table {
            Table::Members => MEMBERS_POLL_TIMEOUT_MS,
            Table::Operator => self.state.bounds().instance_expiry_ms,
            Table::Backends if self.state.is_designated_watcher.get() => {
                self.state.contact.borrow().poll_wait_ms()
            }
            Table::Backends => self.state.contact.borrow().fallback_poll_wait_ms(),
        }
    }

    fn record_failure(&mut self, e: &StoreError) {
        if !self.is_store_unreachable {
            log::warn!(table = self.table.as_str(), error:% = e; "store call failed");
        }
        self.is_store_unreachable = true;
        if self.table == Table::Backends {
            self.state.contact.borrow_mut().record_failure(self.state.now_ms());
            self.state.update_store_contact();
        }
    }

    fn record_success(&mut self) {
        self.backoff = Backoff::default();
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            log::info!(table = self.table.as_str(); "store reachable again");
        }
        if self.table == Table::Backends {
            let answered_at_ms = self.state.now_ms().saturating_sub(self.store.response_age_ms());
            self.state.contact.borrow_mut().record_answer(answered_at_ms);
            self.state.update_store_contact();
        }
    }
}

/// Returns the signal that a watch has missed changes.
fn resync_signal(state: &State, table: Table) -> &Notify {
    match table {
        Table::Members => &state.unknown_member,
        Table::Operator | Table::Backends => &state.lag_detected,
    }
}

/// Waits for changed rows. Returns `None` if `resync` is notified first.
async fn watch_or_resync(
    store: &mut StoreClient,
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
