/*!
The border to the platform: tables with transactions, objects, and the list of
live and leaving instances.

Whatever is kept or agreed goes through [`Platform`]; an instance keeps nothing.
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

/// The tables that azuregate keeps.
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
    /// The table's name in the platform.
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
    /// Its key.
    pub key: String,
    /// Counts the writes to the row, from 1.
    pub version: u64,
    /// Its content.
    pub value: serde_json::Value,
}

/// What a row must be for a transaction to commit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// There is no such row.
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
    /// What the row must be.
    pub expect: Expect,
    /// The new content, or `None` to delete the row.
    pub value: Option<serde_json::Value>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// All writes took effect; the new version of each row.
    Done(Vec<u64>),
    /// No write took effect.
    Conflict {
        /// The first write whose expectation was not met.
        index: usize,
        /// The row that is there instead.
        row: Option<Row>,
    },
}

/// Rows that changed after a point in the table's history.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Ask after this sequence next time.
    pub sequence: u64,
    /// The rows, in the order of their change.
    pub rows: Vec<Row>,
}

/// What is known about the effect of a call that failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// It had none and will have none.
    None,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// A failed call to the platform.
#[derive(Clone, Debug)]
pub struct PlatformError {
    effect: Effect,
    detail: String,
}

impl PlatformError {
    /// Makes an error; `detail` says which call failed and how.
    pub fn new(effect: Effect, detail: impl Into<String>) -> PlatformError {
        PlatformError { effect, detail: detail.into() }
    }

    /// What is known about the effect of the call.
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

/// The platform's services.
///
/// # Errors
///
/// Every call fails with a [`PlatformError`] that tells whether the call may
/// have taken effect; for reads that makes no difference.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one row.
    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>>;

    /// Reads the rows that changed after `since_sequence`, 0 for all.
    async fn changes(&self, table: Table, since_sequence: u64) -> Result<Changes>;

    /// Reads at most `limit` of the rows that changed after `since_sequence`, in
    /// the order of their change. Its `sequence` is of no use to go on from.
    async fn page(&self, table: Table, since_sequence: u64, limit: usize) -> Result<Changes> {
        let mut changes = self.changes(table, since_sequence).await?;
        changes.rows.truncate(limit);
        Ok(changes)
    }

    /// Commits all of `writes` or none.
    async fn transact(&self, writes: &[Write]) -> Result<Commit>;

    /// Keeps an object; writing the same object again changes nothing.
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()>;

    /// Reads an object.
    async fn get_object(&self, name: &str) -> Result<Option<Bytes>>;

    /// Reads the lagging list of live and leaving instances.
    async fn instances(&self) -> Result<InstanceList>;
}
