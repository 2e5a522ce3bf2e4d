/*!
The rows behind a policy.

One transaction writes three rows: the policy, the version in its history, and
the operation. The last must be absent before, so that the platform itself keeps
an operation from being applied twice, whichever instance it is sent to and
whatever happened to the policy since.
*/

use azuregate_core::{names::ServiceName, policy::Policy};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::edit::ChangeRequest;
use crate::platform::{
    self, Commit, Effect, Expect, PlatformError, Row, SharedPlatform, Table, Write,
};

/// A policy's rows in the platform; cheap to clone.
#[derive(Clone)]
pub(crate) struct PolicyStore {
    platform: SharedPlatform,
}

/// What the platform holds for a policy.
#[derive(Clone, Debug)]
pub(crate) struct StoredPolicy {
    pub(crate) row_version: u64,
    pub(crate) policy: Policy,
}

/// An operation that was applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Operation {
    /// The version that it led to.
    pub(crate) version: u64,
    /// See [`ChangeRequest::fingerprint`].
    pub(crate) fingerprint: String,
}

/// Why rows could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The platform did not serve.
    Platform(PlatformError),
    /// A row is not understood.
    Malformed(String),
}

impl PolicyStore {
    pub(crate) fn new(platform: SharedPlatform) -> PolicyStore {
        PolicyStore { platform }
    }

    /// The policy of a service.
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

    /// A version of a policy that was accepted.
    pub(crate) async fn version(
        &self,
        service: &ServiceName,
        version: u64,
    ) -> Result<Option<Policy>, ReadError> {
        let row = self.read_row(Table::PolicyHistory, &version_key(service, version)).await?;
        row.map(parse).transpose()
    }

    /// An operation that was applied.
    pub(crate) async fn operation(
        &self,
        request: &ChangeRequest,
    ) -> Result<Option<Operation>, ReadError> {
        let row = self.read_row(Table::PolicyHistory, &operation_key(request)).await?;
        row.map(parse).transpose()
    }

    /// Writes the next version of a policy, if nobody else did.
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
        .map_err(|e| ReadError::Malformed(format!("the row {:?} is not understood: {e}", row.key)))
}
