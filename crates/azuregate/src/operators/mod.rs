/*!
The operators' remote procedure calls.

Every instance answers for the whole deployment: changes go through the platform,
are in force at once on the instance that made them, and spread from there.

# Design

* `edit` turns what an operator asked for into the next version of a policy.
* `rows` keeps that version, its history and the operation, in one transaction.
* `settle` makes a change once at the most, whatever answers are lost.
* `validate` refuses names that nobody knows, `effect` tells what a change moves.
*/

pub mod convert;

mod answer;
mod describe;
mod difference;
mod edit;
mod effect;
mod rows;
mod service;
mod settle;
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

pub use answer::FailureClass;

use self::{
    edit::{Edit, Wanted},
    effect::Comparison,
    rows::{ReadError, Rows},
    settle::{Settled, Settler},
};
use crate::{
    clock::SharedClock,
    config::{Change, Config, Snapshots, Source},
    metrics::Recorder,
    platform::SharedPlatform,
    stop::StopSignal,
};

/// How many versions a history holds unless the operator says otherwise.
const HISTORY_DEFAULT: u32 = 20;
/// How many versions a history holds at the most: each is a read.
const HISTORY_LIMIT: u32 = 100;

/// How long an answer waits for the change to be in force here.
const APPLY_LIMIT_MS: u64 = 1_000;

/// What the operators' service works with.
pub struct Parts {
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
    pub stop: StopSignal,
}

/// Answers operators; cheap to clone.
#[derive(Clone)]
pub struct OperatorsService {
    parts: Arc<Parts>,
    rows: Rows,
    settler: Settler,
}

impl OperatorsService {
    /// A service that works with `parts`.
    pub fn new(parts: Parts) -> OperatorsService {
        let rows = Rows::new(Arc::clone(&parts.platform));
        let settler = Settler {
            rows: rows.clone(),
            clock: Arc::clone(&parts.clock),
            snapshots: parts.snapshots.clone(),
        };
        OperatorsService { parts: Arc::new(parts), rows, settler }
    }

    /// Makes a change and brings it into force on this instance.
    async fn change(&self, wanted: Wanted, dry_run: bool) -> Result<v1::ChangeResponse, Status> {
        convert::check_name("operation_id", &wanted.operation_id)
            .map_err(|e| answer::usage(e.to_string()))?;
        // An operator who goes away, or whose deadline passes, drops the call's
        // future. A task of its own goes on: otherwise a write might be left
        // unsettled, and be in force everywhere but here.
        let service = self.clone();
        let task = tokio::spawn(async move { service.change_to_end(&wanted, dry_run).await });
        task.await.map_err(|e| answer::failed(e.to_string()))?
    }

    async fn change_to_end(
        &self,
        wanted: &Wanted,
        dry_run: bool,
    ) -> Result<v1::ChangeResponse, Status> {
        let settled = self.settler.settle(wanted, dry_run).await.inspect_err(|e| {
            log::warn!(
                service:% = wanted.service, operation:% = wanted.operation_id,
                code = FailureClass::of(e).map_or("unknown", FailureClass::as_str),
                detail = e.message();
                "change failed"
            );
        })?;
        let response = match settled {
            Settled::Accepted { before, policy } => {
                self.accept(wanted, &policy).await;
                let response = self.compare(before.as_ref(), &policy);
                v1::ChangeResponse { accepted: true, ..response }
            }
            Settled::Applied { policy, repeated } => {
                self.accept(wanted, &policy).await;
                let policy = Some(convert::to_proto(&policy));
                v1::ChangeResponse { accepted: true, policy, repeated, ..Default::default() }
            }
            Settled::Planned { before, policy } => self.compare(before.as_ref(), &policy),
            Settled::Conflict(winner) => self.conflict(wanted, winner).await,
        };
        Ok(response)
    }

    async fn accept(&self, wanted: &Wanted, policy: &Policy) {
        self.apply(policy).await;
        log::info!(
            service:% = wanted.service, operation:% = wanted.operation_id,
            version = policy.version;
            "change accepted"
        );
    }

    /// Brings a policy into force here, before the operator has the answer: a
    /// script that reads what it set would else see the version before.
    async fn apply(&self, policy: &Policy) {
        self.parts.config.change(Change::Policy(Box::new(policy.clone()), Source::Platform));
        let mut snapshots = self.parts.snapshots.watch();
        let in_force = snapshots.wait_for(|snapshot| {
            let version = snapshot.policies.get(&policy.service).map_or(0, |policy| policy.version);
            version >= policy.version
        });
        let _ = time::timeout(Duration::from_millis(APPLY_LIMIT_MS), in_force).await;
    }

    fn compare(&self, before: Option<&Policy>, after: &Policy) -> v1::ChangeResponse {
        let snapshot = self.parts.snapshots.current();
        let now_ms = self.parts.clock.epoch();
        let comparison = Comparison { before, after, snapshot: &snapshot, now_ms };
        v1::ChangeResponse {
            policy: Some(convert::to_proto(after)),
            differences: difference::between(before, after),
            effect: Some(comparison.effect()),
            ..Default::default()
        }
    }

    async fn conflict(&self, wanted: &Wanted, winner: Option<Policy>) -> v1::ChangeResponse {
        log::info!(
            service:% = wanted.service, operation:% = wanted.operation_id,
            version = winner.as_ref().map_or(0, |winner| winner.version);
            "change lost to another"
        );
        let Some(winner) = winner else {
            return v1::ChangeResponse { conflict: true, ..Default::default() };
        };
        self.apply(&winner).await;
        let base = match (&wanted.edit, wanted.based_on_version) {
            (Edit::Set(policy), _) => Some(Policy::clone(policy)),
            // The differences are an extra; the conflict is told without them.
            (_, Some(version)) => self.rows.version(&wanted.service, version).await.ok().flatten(),
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
        let limit = if limit == 0 { HISTORY_DEFAULT } else { limit.min(HISTORY_LIMIT) };
        let held = self.rows.policy(service).await.map_err(|e| read_error(&e))?;
        let Some(held) = held else {
            return Err(answer::refused(format!("no policy names {service}")));
        };
        let newest = held.policy.version;
        let oldest = newest.saturating_sub(u64::from(limit) - 1).max(1);
        let reads = (oldest..newest).rev().map(|version| self.rows.version(service, version));
        let older = future::try_join_all(reads).await.map_err(|e| read_error(&e))?;
        let mut history = vec![held.policy];
        history.extend(older.into_iter().flatten());
        Ok(history)
    }

    fn policy_in_force(&self, service: &str) -> Result<Arc<Policy>, Status> {
        let service = service_name(service)?;
        let snapshot = self.parts.snapshots.current();
        let policy = snapshot.policies.get(&service).cloned();
        policy.ok_or_else(|| answer::refused(format!("no policy names {service}")))
    }
}

fn service_name(text: &str) -> Result<ServiceName, Status> {
    convert::service(text).map_err(|e| answer::usage(e.to_string()))
}

fn optional_service(text: &str) -> Result<Option<ServiceName>, Status> {
    if text.is_empty() {
        return Ok(None);
    }
    service_name(text).map(Some)
}

fn read_error(e: &ReadError) -> Status {
    match e {
        ReadError::Platform(e) => answer::unreachable(e),
        ReadError::Garbage(detail) => answer::failed(detail),
    }
}
