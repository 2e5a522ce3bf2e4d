/*!
The operators' remote procedure calls.

Every instance answers for the whole deployment: changes go through the platform,
are in force at once on the instance that made them, and spread from there.

# Design

* `edit` turns what an operator asked for into the next version of a policy.
* `store` keeps that version, its history and the operation, in one transaction.
* `execute` makes a change once at the most, whatever answers are lost.
* `validate` refuses names that nobody knows, `effect` tells what a change moves.
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
    stop::Stop,
};

/// How many versions a history holds unless the operator says otherwise.
const DEFAULT_HISTORY_LIMIT: u32 = 20;
/// How many versions a history holds at the most: each is a read.
const MAX_HISTORY_LIMIT: u32 = 100;

/// How long an answer waits for the change to be in force here.
const APPLY_TIMEOUT_MS: u64 = 1_000;

/// What the operators' service works with.
pub struct Dependencies {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// Takes in accepted policies.
    pub config: Config,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Keeps the policies.
    pub platform: SharedPlatform,
    /// The clock.
    pub clock: SharedClock,
    /// The histograms.
    pub recorder: Recorder,
    /// Whether the instance is stopping.
    pub stop: Stop,
}

/// Answers operators; cheap to clone.
#[derive(Clone)]
pub struct OperatorsService {
    deps: Arc<Dependencies>,
    store: PolicyStore,
    executor: ChangeExecutor,
}

impl OperatorsService {
    /// A service that works with `deps`.
    pub fn new(deps: Dependencies) -> OperatorsService {
        let store = PolicyStore::new(Arc::clone(&deps.platform));
        let executor = ChangeExecutor {
            store: store.clone(),
            clock: Arc::clone(&deps.clock),
            snapshots: deps.snapshots.clone(),
        };
        OperatorsService { deps: Arc::new(deps), store, executor }
    }

    /// Makes a change and brings it into force on this instance.
    async fn change(
        &self,
        request: ChangeRequest,
        dry_run: bool,
    ) -> Result<v1::ChangeResponse, Status> {
        convert::check_name("operation_id", &request.operation_id)
            .map_err(|e| failure::usage(e.to_string()))?;
        // An operator who goes away, or whose deadline passes, drops the call's
        // future. A task of its own goes on: otherwise a write might be left
        // unsettled, and be in force everywhere but here.
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

    /// Brings a policy into force here, before the operator has the answer: a
    /// script that reads what it set would else see the version before.
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
            // The differences are an extra; the conflict is told without them.
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
