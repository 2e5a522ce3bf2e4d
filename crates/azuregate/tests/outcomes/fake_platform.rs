//! An in-memory platform with fault injection.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use azuregate::platform::{
    Changes, Commit, Effect, Expect, Platform, PlatformError, Result, Row, Table, Write,
};
use azuregate_core::snapshot::InstanceList;
use bytes::Bytes;
use tokio::time;

use crate::world::OffsetClock;

/// The fault injected into a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    Ok,
    /// Refused without effect.
    Refused,
    /// Takes effect, but the response is lost.
    AnswerLost,
    /// The request is lost, which the sender cannot tell from a lost response.
    RequestLost,
    /// Takes effect; the response is delayed by this many milliseconds.
    Slow(u64),
    /// Takes effect; the sender is then paused for this many milliseconds.
    Paused(u64),
}

#[derive(Clone, Default)]
pub(crate) struct FakePlatform(Arc<Mutex<State>>);

#[derive(Default)]
pub(crate) struct State {
    pub(crate) faults: VecDeque<Fault>,
    /// Refuses everything after `faults` is empty.
    pub(crate) down: bool,
    /// Refuses updates of rows, and objects, whose name contains this text.
    pub(crate) refuses_updates_of: Option<String>,
    /// Called once, between the next read and its response.
    pub(crate) in_read: Option<Box<dyn FnOnce() + Send>>,
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) objects: BTreeMap<String, Bytes>,
    pub(crate) writes: usize,
    pub(crate) clock: Option<Arc<OffsetClock>>,
}

impl FakePlatform {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn check_update(&self, name: &str) -> Result<()> {
        let state = self.state();
        let refused = state.refuses_updates_of.as_ref().is_some_and(|part| name.contains(part));
        if refused { Err(PlatformError::new(Effect::None, "refused")) } else { Ok(()) }
    }

    fn fault(&self) -> Fault {
        let mut state = self.state();
        let down = if state.down { Fault::Refused } else { Fault::Ok };
        state.faults.pop_front().unwrap_or(down)
    }

    async fn write<T>(&self, effect: impl FnOnce(&mut State) -> T + Send) -> Result<T> {
        let fault = self.fault();
        if fault == Fault::Refused {
            return Err(PlatformError::new(Effect::None, "down"));
        }
        let lost = PlatformError::new(Effect::Unknown, "no answer");
        if fault == Fault::RequestLost {
            return Err(lost);
        }
        let done = {
            let mut state = self.state();
            state.writes += 1;
            effect(&mut state)
        };
        match fault {
            Fault::AnswerLost => return Err(lost),
            Fault::Slow(ms) => time::sleep(Duration::from_millis(ms)).await,
            Fault::Paused(ms) => self.state().clock.as_ref().unwrap().advance(ms),
            _ => {}
        }
        Ok(done)
    }
}

impl State {
    fn commit(&mut self, writes: &[Write]) -> Commit {
        for (index, write) in writes.iter().enumerate() {
            let row = self.rows.get(&write.key).cloned();
            let met = match write.expect {
                Expect::Absent => row.is_none(),
                Expect::Version(version) => row.as_ref().is_some_and(|r| r.version == version),
            };
            if !met {
                return Commit::Conflict { index, row };
            }
        }
        Commit::Done(writes.iter().map(|write| self.apply(write)).collect())
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let Some(value) = write.value.clone() else {
            self.rows.remove(&write.key);
            return 0;
        };
        let version = self.rows.get(&write.key).map_or(1, |row| row.version + 1);
        self.rows.insert(write.key.clone(), Row { key: write.key.clone(), version, value });
        version
    }
}

#[async_trait]
impl Platform for FakePlatform {
    async fn read(&self, _table: Table, key: &str) -> Result<Option<Row>> {
        if self.state().down {
            return Err(PlatformError::new(Effect::None, "down"));
        }
        Ok(self.state().rows.get(key).cloned())
    }

    async fn changes(&self, _table: Table, _since_sequence: u64) -> Result<Changes> {
        let rows = self.state().rows.values().cloned().collect();
        let in_read = self.state().in_read.take();
        if let Some(in_read) = in_read {
            in_read();
        }
        Ok(Changes { sequence: 0, rows })
    }

    async fn transact(&self, writes: &[Write]) -> Result<Commit> {
        for write in writes.iter().filter(|write| write.expect != Expect::Absent) {
            self.check_update(&write.key)?;
        }
        let writes = writes.to_vec();
        self.write(move |state| state.commit(&writes)).await
    }

    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        self.check_update(name)?;
        let name = name.to_owned();
        self.write(move |state| drop(state.objects.insert(name, bytes))).await
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        Ok(self.state().objects.get(name).cloned())
    }

    async fn instances(&self) -> Result<InstanceList> {
        Ok(InstanceList::default())
    }
}
