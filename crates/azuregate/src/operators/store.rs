/*!
Storage of policies in the platform's tables.

One transaction writes three rows: the policy, its version in the history, and the
operation. The operation's row must not exist yet. This guarantees that an operation
is applied at most once, whichever instances it is sent to.
*/

use azuregate_core::{names::ServiceName, policy::Policy};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::edit::ChangeRequest;
use crate::platform::{
    self, Commit, Effect, Expect, PlatformError, Row, SharedPlatform, Table, Write,
};

/// Reads and writes the rows of policies. Cheap to clone.
#[derive(Clone)]
pub(crate) struct PolicyStore {
    platform: SharedPlatform,
}

/// A policy with the version of its row, for conditional writes.
#[derive(Clone, Debug)]
pub(crate) struct StoredPolicy {
    pub(crate) row_version: u64,
    pub(crate) policy: Policy,
}

/// The record of an applied operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operation {
    /// The version of the policy that it created.
    pub(crate) version: u64,
    /// See [`ChangeRequest::fingerprint`].
    pub(crate) fingerprint: String,
}

/// An error reading a row.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The platform call failed.
    Platform(PlatformError),
    /// The row's content cannot be deserialized.
    Malformed(String),
}

impl PolicyStore {
    pub(crate) fn new(platform: SharedPlatform) -> PolicyStore {
        PolicyStore { platform }
    }

    /// Reads the current policy of a service.
    pub(crate) async fn policy(
        &self,
        service: &ServiceName,
    ) -> Result<Option<StoredPolicy>, ReadError> {
        let Some(row) = self.read_row(Table::Policy, service.as_str()).await? else {
            return Ok(None);
        };
        let row_version = row.version;
        Ok(Some(StoredPolicy { row_version, policy: parse(row)? }))
    }

    /// Reads an accepted version of a policy from its history.
    pub(crate) async fn version(
        &self,
        service: &ServiceName,
        version: u64,
    ) -> Result<Option<Policy>, ReadError> {
        let row = self.read_row(Table::PolicyHistory, &version_key(service, version)).await?;
        row.map(parse).transpose()
    }

    /// Reads the record of a request's operation, if it was applied.
    pub(crate) async fn operation(
        &self,
        request: &ChangeRequest,
    ) -> Result<Option<Operation>, ReadError> {
        let row = self.read_row(Table::PolicyHistory, &operation_key(request)).await?;
        row.map(parse).transpose()
    }

    /// Writes the next version of a policy, on condition that the policy's row is
    /// unchanged and the operation has not been applied.
    pub(crate) async fn commit(
        &self,
        request: &ChangeRequest,
        stored: Option<&StoredPolicy>,
        next: &Policy,
    ) -> platform::Result<Commit> {
        let operation = Operation { version: next.version, fingerprint: request.fingerprint() };
        let policy = Write {
            table: Table::Policy,
            key: request.service.to_string(),
            expect: stored.map_or(Expect::Absent, |stored| Expect::Version(stored.row_version)),
            value: Some(to_value(next)?),
        };
        let history = |key: String, value: serde_json::Value| Write {
            table: Table::PolicyHistory,
            key,
            expect: Expect::Absent,
            value: Some(value),
        };
        let writes = [
            policy,
            history(version_key(&request.service, next.version), to_value(next)?),
            history(operation_key(request), to_value(&operation)?),
        ];
        self.platform.transact(&writes).await
    }

    async fn read_row(&self, table: Table, key: &str) -> Result<Option<Row>, ReadError> {
        self.platform.read(table, key).await.map_err(ReadError::Platform)
    }
}

fn version_key(service: &ServiceName, version: u64) -> String {
    format!("{service}/{version}")
}

fn operation_key(request: &ChangeRequest) -> String {
    format!("{}/operation/{}", request.service, request.operation_id)
}

fn to_value(content: &impl Serialize) -> platform::Result<serde_json::Value> {
    serde_json::to_value(content).map_err(|e| PlatformError::new(Effect::None, e.to_string()))
}

fn parse<T: DeserializeOwned>(row: Row) -> Result<T, ReadError> {
    serde_json::from_value(row.value)
        .map_err(|e| ReadError::Malformed(format!("malformed row {:?}: {e}", row.key)))
}
