//! A replica of one table.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};

/// Number of removed rows that are kept for followers; one that has missed more gets the
/// whole table. All rows of a table of some hundred servers can be removed once.
const MAX_REMOVED_ROWS: usize = 512;

/// A replicated table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// Configuration set by operators.
    Operator,
    /// Backend servers.
    Backends,
    /// Entry instances.
    Members,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 3] = [Table::Operator, Table::Backends, Table::Members];

    /// Returns the table's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Operator => "operator",
            Table::Backends => "backends",
            Table::Members => "members",
        }
    }
}

/// The current state of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value, or `None` if it was removed or is not valid UTF-8.
    pub value: Option<String>,
    /// Whether it was removed.
    pub is_removed: bool,
    /// The version of the store at the row's last change.
    pub version: u64,
}

/// Changes of a table, or the whole table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Whether `rows` holds the whole table rather than changes only.
    pub is_whole: bool,
    /// The rows, ordered by version.
    pub rows: Vec<Row>,
    /// The version of the store up to which the changes are complete.
    pub version: u64,
}

/// A read of a table that returned an older version than the replica has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleRead {
    /// The version that was read.
    pub version: u64,
    /// The version of the replica.
    pub known_version: u64,
}

impl fmt::Display for StaleRead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stale read: got version {}, already at version {}",
            self.version, self.known_version
        )
    }
}

impl std::error::Error for StaleRead {}

/// A replica of one table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    rows: BTreeMap<String, Row>,
    version: u64,
    /// Removed rows up to this version were dropped.
    compacted_version: u64,
    last_change_version: u64,
    is_loaded: bool,
}

impl Replica {
    /// Returns the version up to which the replica is complete, or 0 before the first
    /// read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the newest change that was applied.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    /// Returns whether the whole table was read at least once.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns what a replica at `version` lacks.
    pub fn changes_since(&self, version: u64) -> Changes {
        let is_whole = version < self.compacted_version || version == 0;
        let after = if is_whole { 0 } else { version };
        let is_missing = |row: &&Row| row.version > after && !(is_whole && row.is_removed);
        let mut rows: Vec<Row> = self.rows.values().filter(is_missing).cloned().collect();
        rows.sort_by_key(|row| row.version);
        Changes { is_whole, rows, version: self.version }
    }

    /// Applies changes and returns the rows that changed.
    ///
    /// Changes that arrive from two sources are applied once, and rows that are older
    /// than the replica are ignored: a lagging source must not restore a server that
    /// was removed.
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

    /// Replaces the whole table and returns the rows that changed, with a removal for
    /// each row that is missing from `rows`.
    ///
    /// # Errors
    ///
    /// When the replica is newer than `version`.
    pub fn replace(&mut self, rows: Vec<Row>, version: u64) -> Result<Vec<Row>, StaleRead> {
        if version < self.version {
            return Err(StaleRead { version, known_version: self.version });
        }
        let mut changed = self.removals_for_missing(&rows, version);
        let current = &self.rows;
        changed.extend(rows.into_iter().filter(|row| current.get(&row.key) != Some(row)));
        self.insert(&changed);
        self.version = version;
        self.is_loaded = true;
        Ok(changed)
    }

    fn removals_for_missing(&self, rows: &[Row], version: u64) -> Vec<Row> {
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let live = self.rows.values().filter(|row| !row.is_removed);
        let missing = live.filter(|row| !keys.contains(row.key.as_str()));
        let removal =
            |row: &Row| Row { key: row.key.clone(), value: None, is_removed: true, version };
        missing.map(removal).collect()
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
        // Drops half at once to amortize the scan.
        let (_, &mut newest, _) = versions.select_nth_unstable(MAX_REMOVED_ROWS / 2);
        self.compacted_version = self.compacted_version.max(newest);
        self.rows.retain(|_, row| !row.is_removed || row.version > newest);
    }
}
