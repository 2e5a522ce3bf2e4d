//! In-memory storage of tables, objects and the instance list.

use std::collections::BTreeMap;

use azuregate::platform::{Changes, Commit, Expect, Row, Write};
use bytes::Bytes;

use crate::platform::DelayedInstanceList;

/// The data of the simulated platform.
#[derive(Debug, Default)]
pub struct Store {
    tables: BTreeMap<String, Table>,
    objects: BTreeMap<String, Bytes>,
    /// The list of live and leaving instances.
    pub list: DelayedInstanceList,
}

#[derive(Debug, Default)]
struct Table {
    sequence: u64,
    rows: BTreeMap<String, StoredRow>,
}

#[derive(Debug)]
struct StoredRow {
    sequence: u64,
    row: Row,
}

impl Store {
    /// Returns the row of `table` with this key.
    pub fn read(&self, table: &str, key: &str) -> Option<Row> {
        Some(self.tables.get(table)?.rows.get(key)?.row.clone())
    }

    /// Returns the rows of `table` that changed after `since_sequence`, oldest
    /// change first.
    pub fn changes(&self, table: &str, since_sequence: u64) -> Changes {
        let Some(table) = self.tables.get(table) else {
            return Changes::default();
        };
        let mut stored: Vec<_> =
            table.rows.values().filter(|stored| stored.sequence > since_sequence).collect();
        stored.sort_by_key(|stored| stored.sequence);
        let rows = stored.into_iter().map(|stored| stored.row.clone()).collect();
        Changes { sequence: table.sequence, rows }
    }

    /// Commits all of `writes`, or none if the expectation of one is not met.
    pub fn transact(&mut self, writes: &[Write]) -> Commit {
        for (index, write) in writes.iter().enumerate() {
            let row = self.read(write.table.as_str(), &write.key);
            let met = match write.expect {
                Expect::Absent => row.is_none(),
                Expect::Version(version) => row.as_ref().is_some_and(|r| r.version == version),
            };
            if !met {
                return Commit::Conflict { index, row };
            }
        }
        Commit::Done(writes.iter().map(|write| self.write(write)).collect())
    }

    fn write(&mut self, write: &Write) -> u64 {
        let table = self.tables.entry(write.table.as_str().to_owned()).or_default();
        table.sequence += 1;
        let Some(value) = write.value.clone() else {
            table.rows.remove(&write.key);
            return 0;
        };
        let version = table.rows.get(&write.key).map_or(1, |stored| stored.row.version + 1);
        let row = Row { key: write.key.clone(), version, value };
        table.rows.insert(write.key.clone(), StoredRow { sequence: table.sequence, row });
        version
    }

    /// Stores an object, replacing any of the same name.
    pub fn put_object(&mut self, name: &str, bytes: Bytes) {
        self.objects.insert(name.to_owned(), bytes);
    }

    /// Returns the object with this name.
    pub fn get_object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }
}
