/*!
The gRPC service for operators.

Any instance can serve a call for the whole deployment. A change is committed to
the platform, applied on the serving instance before the call returns, and then
propagated to the other instances.

# Design

* `edit` applies a requested change to a policy and returns the next version.
* `store` writes that version, its history entry and the operation in one transaction.
* `execute` applies a change at most once, even if responses are lost.
* `validate` rejects unknown names.
* `effect` describes which traffic a change moves.
*/

pub mod convert;

mod describe;
mod difference;
mod edit;
mod effect;
mod execute;
mod failure;
mod service;
mod store;
mod validate;

use std::{sync::Arc, time::Duration};

use azuregate_core::{
    names::{InstanceId, ServiceName, StartNumber, ZoneName},
    policy::Policy,
};
use azuregate_schema::v1;
use futures_util::future;
use tokio::time;
use tonic::Status;

pub use failure::FailureClass;

use self::{
    edit::{ChangeRequest, Edit},
    effect::Comparison,
    execute::{ChangeExecutor, ChangeOutcome},
    store::{PolicyStore, ReadError},
};
use crate::{
    clock::SharedClock,
    config::{Change, Config, Snapshots, Source},
    metrics::Recorder,
    platform::SharedPlatform,
    stop::StopSignal,
};

/// Number of versions in a history when the request sets no limit.
const DEFAULT_HISTORY_LIMIT: u32 = 20;
/// Upper bound on the versions in a history, because each one is a separate read.
const MAX_HISTORY_LIMIT: u32 = 100;

/// How long a call waits for its change to take effect on this instance.
const APPLY_TIMEOUT_MS: u64 = 1_000;

/// Dependencies of the [`OperatorsService`].
pub struct Dependencies {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// Receives accepted policies.
    pub config: Config,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Stores the policies.
    pub platform: SharedPlatform,
    /// Source of the current time.
    pub clock: SharedClock,
    /// Holds the latency histograms.
    pub recorder: Recorder,
    /// Signals a planned stop.
    pub stop: StopSignal,
}

/// Implements the operators' gRPC service. Cheap to clone.
#[derive(Clone)]
pub struct OperatorsService {
    deps: Arc<Dependencies>,
    store: PolicyStore,
    executor: ChangeExecutor,
}

impl OperatorsService {
    /// Creates a service.
    pub fn new(deps: Dependencies) -> OperatorsService {
        let store = PolicyStore::new(Arc::clone(&deps.platform));
        let executor = ChangeExecutor {
            store: store.clone(),
            clock: Arc::clone(&deps.clock),
            snapshots: deps.snapshots.clone(),
        };
        OperatorsService { deps: Arc::new(deps), store, executor }
    }

    /// Commits a change and applies it on this instance.
    async fn change(
        &self,
        request: ChangeRequest,
        dry_run: bool,
    ) -> Result<v1::ChangeResponse, Status> {
        convert::check_name("operation_id", &request.operation_id)
            .map_err(|e| failure::usage(e.to_string()))?;
        // The call's future is dropped when the client disconnects or its deadline
        // passes. A separate task always completes: otherwise a committed change
        // might never be applied on this instance.
        let service = self.clone();
        let task = tokio::spawn(async move { service.execute_change(&request, dry_run).await });
        task.await.map_err(|e| failure::failed(e.to_string()))?
    }

    async fn execute_change(
        &self,
        request: &ChangeRequest,
        dry_run: bool,
    ) -> Result<v1::ChangeResponse, Status> {
        let outcome = self.executor.execute(request, dry_run).await.inspect_err(|e| {
            log::warn!(
                service:% = request.service, operation:% = request.operation_id,
                code = FailureClass::from_status(e).map_or("unknown", FailureClass::as_str),
                detail = e.message();
                "change failed"
            );
        })?;
        let response = match outcome {
            ChangeOutcome::Accepted { before, policy } => {
                self.apply_and_log(request, &policy).await;
                let response = self.describe_change(before.as_ref(), &policy);
                v1::ChangeResponse { accepted: true, ..response }
            }
            ChangeOutcome::AlreadyApplied { policy, repeated } => {
                self.apply_and_log(request, &policy).await;
                let policy = Some(convert::to_proto(&policy));
                v1::ChangeResponse { accepted: true, policy, repeated, ..Default::default() }
            }
            ChangeOutcome::DryRun { before, policy } => {
                self.describe_change(before.as_ref(), &policy)
            }
            ChangeOutcome::Conflict(winner) => self.conflict_response(request, winner).await,
        };
        Ok(response)
    }

    async fn apply_and_log(&self, request: &ChangeRequest, policy: &Policy) {
        self.apply_locally(policy).await;
        log::info!(
            service:% = request.service, operation:% = request.operation_id,
            version = policy.version;
            "change accepted"
        );
    }

    /// Applies a policy on this instance and waits up to [`APPLY_TIMEOUT_MS`] for it to
    /// be in force, so that a client reads its own write.
    async fn apply_locally(&self, policy: &Policy) {
        self.deps.config.change(Change::Policy(Box::new(policy.clone()), Source::Platform));
        let mut snapshots = self.deps.snapshots.watch();
        let in_force = snapshots.wait_for(|snapshot| {
            let version = snapshot.policies.get(&policy.service).map_or(0, |policy| policy.version);
            version >= policy.version
        });
        let _ = time::timeout(Duration::from_millis(APPLY_TIMEOUT_MS), in_force).await;
    }

    fn describe_change(&self, before: Option<&Policy>, after: &Policy) -> v1::ChangeResponse {
        let snapshot = self.deps.snapshots.current();
        let now_ms = self.deps.clock.epoch();
        let comparison = Comparison { before, after, snapshot: &snapshot, now_ms };
        v1::ChangeResponse {
            policy: Some(convert::to_proto(after)),
            differences: difference::between(before, after),
            effect: Some(comparison.effect()),
            ..Default::default()
        }
    }

    async fn conflict_response(
        &self,
        request: &ChangeRequest,
        winner: Option<Policy>,
    ) -> v1::ChangeResponse {
        log::info!(
            service:% = request.service, operation:% = request.operation_id,
            version = winner.as_ref().map_or(0, |winner| winner.version);
            "change lost to another"
        );
        let Some(winner) = winner else {
            return v1::ChangeResponse { conflict: true, ..Default::default() };
        };
        self.apply_locally(&winner).await;
        let base = match (&request.edit, request.based_on_version) {
            (Edit::Set(policy), _) => Some(Policy::clone(policy)),
            // The differences are optional: a failed read does not fail the call.
            (_, Some(version)) => {
                self.store.version(&request.service, version).await.ok().flatten()
            }
            (_, None) => None,
        };
        let differences =
            base.map_or_else(Vec::new, |base| difference::between(Some(&base), &winner));
        v1::ChangeResponse {
            policy: Some(convert::to_proto(&winner)),
            conflict: true,
            differences,
            ..Default::default()
        }
    }

    async fn history(&self, service: &ServiceName, limit: u32) -> Result<Vec<Policy>, Status> {
        let limit = if limit == 0 { DEFAULT_HISTORY_LIMIT } else { limit.min(MAX_HISTORY_LIMIT) };
        let stored = self.store.policy(service).await.map_err(|e| read_failure(&e))?;
        let Some(stored) = stored else {
            return Err(failure::refused(format!("no policy names {service}")));
        };
        let newest = stored.policy.version;
        let oldest = newest.saturating_sub(u64::from(limit) - 1).max(1);
        let reads = (oldest..newest).rev().map(|version| self.store.version(service, version));
        let older = future::try_join_all(reads).await.map_err(|e| read_failure(&e))?;
        let mut history = vec![stored.policy];
        history.extend(older.into_iter().flatten());
        Ok(history)
    }

    fn policy_in_force(&self, service: &str) -> Result<Arc<Policy>, Status> {
        let service = parse_service_name(service)?;
        let snapshot = self.deps.snapshots.current();
        let policy = snapshot.policies.get(&service).cloned();
        policy.ok_or_else(|| failure::refused(format!("no policy names {service}")))
    }
}

fn parse_service_name(text: &str) -> Result<ServiceName, Status> {
    convert::service_name(text).map_err(|e| failure::usage(e.to_string()))
}

fn parse_optional_service(text: &str) -> Result<Option<ServiceName>, Status> {
    if text.is_empty() {
        return Ok(None);
    }
    parse_service_name(text).map(Some)
}

fn read_failure(e: &ReadError) -> Status {
    match e {
        ReadError::Platform(e) => failure::unreachable(e),
        ReadError::Malformed(detail) => failure::failed(detail),
    }
}
