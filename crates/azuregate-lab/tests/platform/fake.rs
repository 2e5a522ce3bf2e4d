//! An in-memory implementation of `Platform`.

use std::{collections::BTreeMap, sync::Mutex};

use async_trait::async_trait;
use azuregate::platform::{
    Changes, Commit, Effect, Expect, Platform, PlatformError, Result, Row, Table, Write,
};
use azuregate_core::snapshot::InstanceList;
use bytes::Bytes;

use crate::under_test::Fault;

#[derive(Default)]
pub(crate) struct FakePlatform {
    state: Mutex<State>,
    pub(crate) fault: Mutex<Fault>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(Table, String), (u64, Row)>,
    sequence: u64,
    objects: BTreeMap<String, Bytes>,
}

impl State {
    fn row(&self, table: Table, key: &str) -> Option<Row> {
        self.rows.get(&(table, key.to_owned())).map(|(_, row)| row.clone())
    }

    fn conflicts(&self, write: &Write) -> bool {
        let stored = self.row(write.table, &write.key).map(|row| row.version);
        match write.expect {
            Expect::Absent => stored.is_some(),
            Expect::Version(version) => stored != Some(version),
        }
    }

    fn apply(&mut self, write: &Write) -> u64 {
        let key = (write.table, write.key.clone());
        let Some(value) = write.value.clone() else {
            self.rows.remove(&key);
            return 0;
        };
        let version = self.row(write.table, &write.key).map_or(1, |row| row.version + 1);
        self.sequence += 1;
        let row = Row { key: write.key.clone(), version, value };
        self.rows.insert(key, (self.sequence, row));
        version
    }

    fn commit(&mut self, writes: &[Write]) -> Commit {
        if let Some(index) = writes.iter().position(|write| self.conflicts(write)) {
            let row = self.row(writes[index].table, &writes[index].key);
            return Commit::Conflict { index, row };
        }
        Commit::Done(writes.iter().map(|write| self.apply(write)).collect())
    }
}

impl FakePlatform {
    fn read_with<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T> {
        let error = |effect| Err(PlatformError::new(effect, "injected fault"));
        match *self.fault.lock().unwrap() {
            Fault::None | Fault::Slow | Fault::AnswerLost => Ok(read(&self.state.lock().unwrap())),
            Fault::Down | Fault::Unreachable => error(Effect::None),
            Fault::Silent | Fault::Cut | Fault::Garbage => error(Effect::Unknown),
        }
    }

    fn write_with<T>(&self, write: impl FnOnce(&mut State) -> T) -> Result<T> {
        let fault = *self.fault.lock().unwrap();
        self.read_with(|_| ())?;
        let done = write(&mut self.state.lock().unwrap());
        if fault == Fault::AnswerLost {
            return Err(PlatformError::new(Effect::Unknown, "response lost by an injected fault"));
        }
        Ok(done)
    }
}

#[async_trait]
impl Platform for FakePlatform {
    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>> {
        self.read_with(|state| state.row(table, key))
    }

    async fn changes(&self, table: Table, since_sequence: u64) -> Result<Changes> {
        self.read_with(|state| {
            let stored = state.rows.iter().filter(|((of, _), _)| *of == table);
            let mut rows: Vec<_> = stored.map(|(_, (at, row))| (*at, row.clone())).collect();
            rows.retain(|(at, _)| *at > since_sequence);
            rows.sort_by_key(|(at, _)| *at);
            let rows = rows.into_iter().map(|(_, row)| row).collect();
            Changes { sequence: state.sequence, rows }
        })
    }

    async fn transact(&self, writes: &[Write]) -> Result<Commit> {
        self.write_with(|state| state.commit(writes))
    }

    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        self.write_with(|state| drop(state.objects.insert(name.to_owned(), bytes)))
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        self.read_with(|state| state.objects.get(name).cloned())
    }

    async fn instances(&self) -> Result<InstanceList> {
        self.read_with(|_| InstanceList::default())
    }
}
