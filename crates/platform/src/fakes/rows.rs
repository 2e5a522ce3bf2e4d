//! The rows of the fake store and their history.

use std::collections::BTreeMap;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

#[derive(Clone)]
struct Row {
    value: Vec<u8>,
    version: u64,
}

struct Change {
    table: String,
    key: String,
    /// `None` if the row was removed.
    value: Option<Vec<u8>>,
    version: u64,
}

/// Rows by table and key.
#[derive(Default)]
pub(super) struct Rows {
    rows: BTreeMap<(String, String), Row>,
    changes: Vec<Change>,
    version: u64,
    /// Version up to which changes have been discarded.
    discarded_up_to: u64,
}

impl Rows {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn put(&mut self, table: &str, key: &str, value: Vec<u8>) {
        self.version += 1;
        let row = Row { value: value.clone(), version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed(table, key, Some(value));
    }

    pub(super) fn remove(&mut self, table: &str, key: &str) {
        if self.rows.remove(&(table.to_owned(), key.to_owned())).is_some() {
            self.version += 1;
            self.changed(table, key, None);
        }
    }

    pub(super) fn discard_history(&mut self) {
        self.version += 1;
        self.discarded_up_to = self.version;
        self.changes.clear();
    }

    pub(super) fn keys(&self, table: &str) -> Vec<String> {
        let keys = self.rows.keys().filter(|(of, _)| of == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    pub(super) fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        self.rows.get(&(table.to_owned(), key.to_owned())).map(|row| row.value.clone())
    }

    /// Returns at most `limit` rows, starting at the key `from`.
    pub(super) fn read(&self, table: &str, from: &str, limit: usize) -> Value {
        let matching: Vec<_> =
            self.rows.iter().filter(|((of, key), _)| of == table && key.as_str() >= from).collect();
        let rows: Vec<Value> = matching
            .iter()
            .take(limit)
            .map(|((_, key), row)| encoded(table, key, Some(&row.value), row.version))
            .collect();
        json!({ "rows": rows, "truncated": matching.len() > limit, "ver": self.version, "nowS": 1.0 })
    }

    /// Returns the changes after a version, or `None` if they have been discarded.
    pub(super) fn changes(&self, table: &str, after: u64) -> Option<Value> {
        if after < self.discarded_up_to {
            return None;
        }
        let changed = self.changes.iter().filter(|c| c.table == table && c.version > after);
        let rows: Vec<Value> =
            changed.map(|c| encoded(table, &c.key, c.value.as_deref(), c.version)).collect();
        Some(json!({ "rows": rows, "ver": self.version, "nowS": 1.0 }))
    }

    pub(super) fn has_changes(&self, table: &str, after: u64) -> bool {
        after < self.discarded_up_to
            || self.changes.iter().any(|c| c.table == table && c.version > after)
    }

    fn changed(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.changes.push(Change { table, key, value, version: self.version });
    }
}

fn encoded(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> Value {
    let mut row = json!({ "table": table, "part": "", "key": key, "ver": version });
    match value {
        Some(value) => row["value"] = json!(STANDARD.encode(value)),
        None => row["tombstone"] = json!(true),
    }
    row
}
