/*!
The interface to the platform: tables with transactions, objects, and the list of
live and leaving instances.

All durable state is in the platform, accessed through [`Platform`]; an instance
stores nothing itself.
*/

mod http;

use std::{fmt, sync::Arc};

use async_trait::async_trait;
use azuregate_core::snapshot::InstanceList;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use http::HttpPlatform;

/// A platform that is shared between tasks.
pub type SharedPlatform = Arc<dyn Platform>;

/// The tables that azuregate uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Table {
    /// One row for each idempotency key.
    Claim,
    /// One row for each policy.
    Policy,
    /// One row for each accepted change of a policy.
    PolicyHistory,
}

impl Table {
    /// Returns the table's name in the platform.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Claim => "claim",
            Table::Policy => "policy",
            Table::PolicyHistory => "policy-history",
        }
    }
}

/// A row of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The key, unique in the table.
    pub key: String,
    /// The number of writes to the row, starting at 1.
    pub version: u64,
    /// The content.
    pub value: serde_json::Value,
}

/// The precondition on a row for a transaction to commit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The table.
    pub table: Table,
    /// The key of the row.
    pub key: String,
    /// The precondition.
    pub expect: Expect,
    /// The new content, or `None` to delete the row.
    pub value: Option<serde_json::Value>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// All writes took effect; holds the new version of each row.
    Done(Vec<u64>),
    /// No write took effect.
    Conflict {
        /// The index of the first write whose precondition failed.
        index: usize,
        /// The row as it is, if it exists.
        row: Option<Row>,
    },
}

/// The rows that changed after a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The sequence number to continue from.
    pub sequence: u64,
    /// The rows, in the order of their changes.
    pub rows: Vec<Row>,
}

/// Whether a call that failed may have taken effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// It has not taken effect and will not.
    None,
    /// It may have taken effect, or may still take effect.
    Unknown,
}

/// A failed call to the platform.
#[derive(Clone, Debug)]
pub struct PlatformError {
    effect: Effect,
    detail: String,
}

impl PlatformError {
    /// Creates an error; `detail` tells which call failed and why.
    pub fn new(effect: Effect, detail: impl Into<String>) -> PlatformError {
        PlatformError { effect, detail: detail.into() }
    }

    /// Returns whether the call may have taken effect.
    pub fn effect(&self) -> Effect {
        self.effect
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.effect {
            Effect::None => "without effect",
            Effect::Unknown => "with unknown effect",
        };
        write!(f, "platform call failed {effect}: {}", self.detail)
    }
}

impl std::error::Error for PlatformError {}

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// The calls of the platform.
///
/// # Errors
///
/// Every call fails with a [`PlatformError`], which tells whether a write may have
/// taken effect.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one row.
    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>>;

    /// Reads the rows that changed after `since_sequence`, or all rows if it is 0.
    async fn changes(&self, table: Table, since_sequence: u64) -> Result<Changes>;

    /// Reads at most `limit` of the rows that changed after `since_sequence`, in
    /// the order of their changes. The returned `sequence` may be past rows that the
    /// limit left out, so do not continue from it.
    async fn page(&self, table: Table, since_sequence: u64, limit: usize) -> Result<Changes> {
        let mut changes = self.changes(table, since_sequence).await?;
        changes.rows.truncate(limit);
        Ok(changes)
    }

    /// Commits all of `writes`, or none of them.
    async fn transact(&self, writes: &[Write]) -> Result<Commit>;

    /// Stores an object; idempotent for the same content.
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()>;

    /// Reads an object, if it exists.
    async fn get_object(&self, name: &str) -> Result<Option<Bytes>>;

    /// Reads the list of live and leaving instances, which may lag.
    async fn instances(&self) -> Result<InstanceList>;
}
