//! One table, and how it changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

/// Removals that are remembered for those who follow. One that has missed more
/// gets the whole table; a table of some hundred servers is removed once.
const MAX_REMOVED_ROWS: usize = 512;

/// The tables that instances read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// What operators decided.
    Operator,
    /// Backend servers.
    Backends,
    /// Entry instances.
    Members,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Operator, Table::Backends, Table::Members];

    /// The table's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Operator => "operator",
            Table::Backends => "backends",
            Table::Members => "members",
        }
    }
}

/// A row as it is now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its content, `None` if it was removed or is not text.
    pub value: Option<String>,
    /// Whether it was removed.
    pub is_removed: bool,
    /// The store's version at its last change.
    pub version: u64,
}

/// Changes of a table, or all of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Whether `rows` are all rows of the table, not only those that changed.
    pub is_whole: bool,
    /// The changed rows, by version.
    pub rows: Vec<Row>,
    /// The store's version up to which nothing is missing.
    pub version: u64,
}

/// A table that was read from a copy that is behind what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleRead {
    /// The version that was read.
    pub version: u64,
    /// The version that is known.
    pub known_version: u64,
}

impl fmt::Display for StaleRead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} after {}", self.version, self.known_version)
    }
}

impl std::error::Error for StaleRead {}

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    rows: BTreeMap<String, Row>,
    version: u64,
    /// Removals up to here are forgotten.
    compacted_version: u64,
    last_change_version: u64,
    is_loaded: bool,
}

impl Replica {
    /// The store's version up to which nothing is missing; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version of the last change that was seen.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    /// Whether the table was read once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// What one that has everything up to `version` lacks.
    pub fn changes_since(&self, version: u64) -> Changes {
        let is_whole = version < self.compacted_version || version == 0;
        let after = if is_whole { 0 } else { version };
        let lacks = |row: &&Row| row.version > after && !(is_whole && row.is_removed);
        let mut rows: Vec<Row> = self.rows.values().filter(lacks).cloned().collect();
        rows.sort_by_key(|row| row.version);
        Changes { is_whole, rows, version: self.version }
    }

    /// Takes in changes; returns the rows that changed.
    ///
    /// Changes that come by two ways are taken in once, and what is older than
    /// the copy is left out: a source that lags must not bring back a server that
    /// has left.
    pub fn apply(&mut self, changes: Changes) -> Vec<Row> {
        if changes.is_whole {
            return self.replace(changes.rows, changes.version).unwrap_or_default();
        }
        let version = self.version;
        let changed: Vec<Row> =
            changes.rows.into_iter().filter(|row| row.version > version).collect();
        self.insert(&changed);
        self.version = self.version.max(changes.version);
        changed
    }

    /// Takes in the whole table; returns the rows that changed, those that are
    /// missing from it as removed.
    ///
    /// # Errors
    ///
    /// When the copy is newer.
    pub fn replace(&mut self, rows: Vec<Row>, version: u64) -> Result<Vec<Row>, StaleRead> {
        if version < self.version {
            return Err(StaleRead { version, known_version: self.version });
        }
        let mut changed = self.removals_for_missing(&rows, version);
        let known = &self.rows;
        changed.extend(rows.into_iter().filter(|row| known.get(&row.key) != Some(row)));
        self.insert(&changed);
        self.version = version;
        self.is_loaded = true;
        Ok(changed)
    }

    fn removals_for_missing(&self, rows: &[Row], version: u64) -> Vec<Row> {
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let known = self.rows.values().filter(|row| !row.is_removed);
        let missing = known.filter(|row| !keys.contains(row.key.as_str()));
        let removed =
            |row: &Row| Row { key: row.key.clone(), value: None, is_removed: true, version };
        missing.map(removed).collect()
    }

    fn insert(&mut self, rows: &[Row]) {
        for row in rows {
            self.last_change_version = self.last_change_version.max(row.version);
            self.rows.insert(row.key.clone(), row.clone());
        }
        if rows.iter().any(|row| row.is_removed) {
            self.compact_removed_rows();
        }
    }

    fn compact_removed_rows(&mut self) {
        let removed = self.rows.values().filter(|row| row.is_removed);
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= MAX_REMOVED_ROWS {
            return;
        }
        // Half at once, so that this is not done for every row.
        let (_, &mut newest, _) = versions.select_nth_unstable(MAX_REMOVED_ROWS / 2);
        self.compacted_version = self.compacted_version.max(newest);
        self.rows.retain(|_, row| !row.is_removed || row.version > newest);
    }
}
