//! Follows the store's tables: what operators decide, and who is there.

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

use super::{metrics::count, state::State};

/// The longest time for which the watch of members waits. Heartbeats tell of an
/// unknown member sooner.
const MEMBERS_WAIT_MS: u64 = 10_000;
/// The pause after a failed call, doubled up to the limit.
const FIRST_PAUSE_MS: u64 = 150;
/// The longest pause between calls to a store that does not answer. Whichever
/// instance has the store again first is followed by the others at once, so the
/// first of many calls is soon enough.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// How often a watch that has paused looks whether the store is back.
const LOOK_EVERY_MS: u64 = 100;
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
    let mut store = StoreClient::new(state.settings.store_addr);
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
    let mut store = StoreClient::new(state.settings.store_addr);
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

/// Follows one table at the store, while this instance has to.
struct Watch {
    state: Rc<State>,
    store: StoreClient,
    table: Table,
    pause: Pause,
    /// Whether the table must be read whole, since changes may have been missed.
    must_read: bool,
    is_away: bool,
}

impl Watch {
    fn new(state: Rc<State>, table: Table) -> Watch {
        let store = StoreClient::new(state.settings.store_addr);
        Watch { state, store, table, pause: Pause::default(), must_read: true, is_away: false }
    }

    async fn serve(mut self) {
        loop {
            self.until_needed().await;
            let next_at = time::Instant::now() + Duration::from_millis(LEAST_INTERVAL_MS);
            match self.step().await {
                Ok(()) => time::sleep_until(next_at).await,
                Err(StoreError::HistoryExpired) => {
                    log::info!(table = self.table.as_str(); "history is gone, table is read anew");
                    self.must_read = true;
                }
                Err(e) => {
                    self.failed(&e);
                    self.pause.wait().await;
                    self.until_store_is_back().await;
                }
            }
        }
    }

    /// Waits while others bring the table's changes.
    async fn until_needed(&mut self) {
        if self.must_read {
            return;
        }
        let state = Rc::clone(&self.state);
        let mut is_watching = state.is_watching.subscribe();
        tokio::select! {
            // An error means that the process ends.
            _ = is_watching.wait_for(|&is_watching| is_watching) => {}
            () = news(&state, self.table).notified() => self.is_behind(),
        }
    }

    /// While the store is away, only the watch of backend servers goes on asking.
    /// With 70 instances, 148 starts and the store away for eight seconds, all
    /// watches asking every second at the latest made 3,931 calls in all; with this,
    /// and two seconds, it is 2,328.
    async fn until_store_is_back(&self) {
        let is_back = || self.state.contact.borrow().is_fresh(self.state.now_ms());
        while self.table != Table::Backends && !is_back() {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    /// Another instance has seen what this one has not: the connection is dead,
    /// the store holds changes back from it, or those it follows lag.
    fn is_behind(&mut self) {
        log::info!(table = self.table.as_str(); "behind others, table is read anew");
        self.store = StoreClient::new(self.state.settings.store_addr);
        self.must_read = true;
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        if self.must_read {
            return self.read().await;
        }
        let version = self.state.tables.borrow().get(self.table).version();
        let wait_ms = self.wait_ms();
        let state = Rc::clone(&self.state);
        let news = news(&state, self.table);
        let Some(changes) =
            watch_or_news(&mut self.store, self.table, version, wait_ms, news).await
        else {
            self.is_behind();
            return Ok(());
        };
        let changes = changes?;
        self.returned();
        self.state.take(self.table, changes);
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let whole = self.store.read(self.table).await?;
        // Before the rows: whether a missing row ran out depends on it.
        self.returned();
        let replaced = self.state.replace(self.table, whole);
        replaced.map_err(|e| StoreError::InvalidResponse(e.to_string()))?;
        self.must_read = false;
        count(&self.state.metrics.changes.tables_read, 1);
        Ok(())
    }

    /// A silent connection is noticed when the wait is over. That of the backend
    /// servers tells whether the store is there at all, and waits least; that of
    /// the operator's decisions waits as long as an instance has to be in contact
    /// again.
    fn wait_ms(&self) -> u64 {
        match self.table {
            Table::Members => MEMBERS_WAIT_MS,
            Table::Operator => self.state.bounds().instance_expiry_ms,
            Table::Backends if self.state.watches_for_others.get() => {
                self.state.contact.borrow().poll_wait_ms()
            }
            Table::Backends => self.state.contact.borrow().fallback_poll_wait_ms(),
        }
    }

    fn failed(&mut self, e: &StoreError) {
        if !self.is_away {
            log::warn!(table = self.table.as_str(), error:% = e; "store lost");
        }
        self.is_away = true;
        if self.table == Table::Backends {
            self.state.contact.borrow_mut().record_failure(self.state.now_ms());
            self.state.check_contact();
        }
    }

    fn returned(&mut self) {
        self.pause = Pause::default();
        if self.is_away {
            self.is_away = false;
            log::info!(table = self.table.as_str(); "store regained");
        }
        if self.table == Table::Backends {
            let answered_at_ms = self.state.now_ms().saturating_sub(self.store.response_age_ms());
            self.state.contact.borrow_mut().record_answer(answered_at_ms);
            self.state.check_contact();
        }
    }
}

/// What tells a watch that it has missed something.
fn news(state: &State, table: Table) -> &Notify {
    match table {
        Table::Members => &state.unknown_member,
        Table::Operator | Table::Backends => &state.behind,
    }
}

/// Waits for rows; `None` when there is news elsewhere that the watch should
/// have brought.
async fn watch_or_news(
    store: &mut StoreClient,
    table: Table,
    version: u64,
    wait_ms: u64,
    news: &Notify,
) -> Option<Result<Changes, StoreError>> {
    tokio::select! {
        rows = store.watch(table, version, wait_ms) => Some(rows),
        () = news.notified() => None,
    }
}
