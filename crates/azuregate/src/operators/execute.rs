/*!
At-most-once execution of changes, with detection of their outcome.

A response of the platform can be lost after the write took effect, and another
operator can change the same policy concurrently. Each attempt therefore first reads
whether the operation has been applied, and then writes on condition that the policy
is unchanged. Repeating the write is safe, because the operation's row can be
inserted only once.
*/

use std::time::Duration;

use azuregate_core::policy::Policy;
use tokio::time;
use tonic::Status;

use super::{
    edit::ChangeRequest,
    failure::{self, FailureClass},
    store::{Operation, PolicyStore, ReadError, StoredPolicy},
    validate,
};
use crate::{
    clock::SharedClock,
    config::Snapshots,
    platform::{Commit, Effect, PlatformError},
};

/// Maximum number of attempts to apply a change or to detect its outcome.
const MAX_ATTEMPTS: u32 = 4;
/// Base of the exponential backoff: retry `n` waits this time multiplied by `2^n`.
const BACKOFF_BASE_MS: u64 = 20;

/// The outcome of a change.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// The change was committed.
    Accepted {
        /// The previous policy; `None` if there was none.
        before: Option<Policy>,
        policy: Policy,
    },
    /// The change was found to have been committed before.
    AlreadyApplied {
        policy: Policy,
        /// Whether an earlier call committed the change, and not this one.
        repeated: bool,
    },
    /// The policy has another version than expected; `None` if there is no policy.
    Conflict(Option<Policy>),
    /// The request was a dry run; nothing was written.
    DryRun { before: Option<Policy>, policy: Policy },
}

/// Executes changes.
#[derive(Clone)]
pub(crate) struct ChangeExecutor {
    pub(crate) store: PolicyStore,
    pub(crate) clock: SharedClock,
    /// The known zones and backend servers.
    pub(crate) snapshots: Snapshots,
}

/// A write whose response was lost: it may have taken effect, or may still do so.
struct UnconfirmedWrite {
    /// The expected version of the policy's row; 0 if it was absent.
    row_version: u64,
    error: PlatformError,
}

/// The result of one attempt; `None` to retry.
type AttemptResult = Option<Result<ChangeOutcome, Status>>;

/// The state of one change across its attempts.
struct Execution<'a> {
    executor: &'a ChangeExecutor,
    request: &'a ChangeRequest,
    dry_run: bool,
    based_on_version: Option<u64>,
    unconfirmed: Option<UnconfirmedWrite>,
}

impl ChangeExecutor {
    /// Executes a change, or plans it if `dry_run` is set.
    ///
    /// # Errors
    ///
    /// When the change is refused, when the platform is unavailable, or when the
    /// outcome stays unknown. The status has the failure class.
    pub(crate) async fn execute(
        &self,
        request: &ChangeRequest,
        dry_run: bool,
    ) -> Result<ChangeOutcome, Status> {
        let based_on_version = request.based_on_version;
        let mut execution =
            Execution { executor: self, request, dry_run, based_on_version, unconfirmed: None };
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                time::sleep(Duration::from_millis(BACKOFF_BASE_MS << attempt)).await;
            }
            if let Some(result) = execution.attempt().await {
                return result;
            }
        }
        let Some(UnconfirmedWrite { error, .. }) = execution.unconfirmed else {
            return Err(failure::refused("too many concurrent changes; nothing was changed"));
        };
        Err(unknown_outcome(&error))
    }
}

impl Execution<'_> {
    async fn attempt(&mut self) -> AttemptResult {
        let (operation, stored) = match self.read_state().await {
            Ok(seen) => seen,
            Err(e) => return read_failed(e, self.unconfirmed.as_ref()),
        };
        if let Some(operation) = operation {
            return Some(self.already_applied(&operation).await);
        }
        let row_version = stored.as_ref().map_or(0, |stored| stored.row_version);
        // A write that expects an older version of the row can no longer take effect.
        self.unconfirmed.take_if(|unconfirmed| unconfirmed.row_version != row_version);
        let version = stored.as_ref().map_or(0, |stored| stored.policy.version);
        if self.based_on_version.is_some_and(|based_on| based_on != version) {
            return Some(Ok(ChangeOutcome::Conflict(stored.map(|stored| stored.policy))));
        }
        if !self.request.edit.commutes() {
            // The operator cannot have seen a version newer than that of the first
            // attempt, so retries must not apply the change to it.
            self.based_on_version = Some(version);
        }
        let next = match self.next_policy(stored.as_ref()) {
            Ok(next) => next,
            Err(_) if self.unconfirmed.is_some() => return None,
            Err(status) => return Some(Err(status)),
        };
        if self.dry_run {
            let before = stored.map(|stored| stored.policy);
            return Some(Ok(ChangeOutcome::DryRun { before, policy: next }));
        }
        self.commit(stored, next).await
    }

    /// Returns the policy that the change results in.
    ///
    /// Names are checked here and not on receipt of the request: the names in a
    /// change that was applied earlier may have been removed since, and a refusal
    /// would wrongly report that nothing was changed.
    fn next_policy(&self, stored: Option<&StoredPolicy>) -> Result<Policy, Status> {
        validate::check_names(self.request, &self.executor.snapshots.current())?;
        let policy = stored.map(|stored| &stored.policy);
        let now_ms = self.executor.clock.epoch();
        let next = self.request.edit.apply(&self.request.service, policy, now_ms)?;
        Ok(Policy { operation_id: self.request.operation_id.clone(), ..next })
    }

    async fn read_state(&self) -> Result<(Option<Operation>, Option<StoredPolicy>), ReadError> {
        // The policy must be read first. Otherwise this operation could take effect
        // between the reads, and its own version would look like a conflict.
        let stored = self.executor.store.policy(&self.request.service).await?;
        let operation = self.executor.store.operation(self.request).await?;
        Ok((operation, stored))
    }

    async fn commit(&mut self, stored: Option<StoredPolicy>, next: Policy) -> AttemptResult {
        match self.executor.store.commit(self.request, stored.as_ref(), &next).await {
            Ok(Commit::Done(_)) => {
                let before = stored.map(|stored| stored.policy);
                Some(Ok(ChangeOutcome::Accepted { before, policy: next }))
            }
            // The next attempt detects whether another change or an earlier write of
            // this one caused the conflict.
            Ok(Commit::Conflict { .. }) => None,
            Err(error) if error.effect() == Effect::Unknown => {
                let row_version = stored.map_or(0, |stored| stored.row_version);
                self.unconfirmed = Some(UnconfirmedWrite { row_version, error });
                None
            }
            Err(_) if self.unconfirmed.is_some() => None,
            Err(error) => Some(Err(failure::unreachable(&error))),
        }
    }

    async fn already_applied(&self, operation: &Operation) -> Result<ChangeOutcome, Status> {
        if operation.fingerprint != self.request.fingerprint() {
            let id = &self.request.operation_id;
            return Err(failure::refused(format!(
                "operation id {id:?} was already used for another change; nothing was changed"
            )));
        }
        let version = operation.version;
        match self.executor.store.version(&self.request.service, version).await {
            Ok(Some(policy)) => {
                let repeated = self.unconfirmed.is_none();
                Ok(ChangeOutcome::AlreadyApplied { policy, repeated })
            }
            Ok(None) => {
                Err(failure::failed(format!("version {version} is missing from the history")))
            }
            Err(ReadError::Malformed(detail)) => Err(failure::failed(detail)),
            Err(ReadError::Platform(e)) => Err(unknown_outcome(&e)),
        }
    }
}

fn read_failed(e: ReadError, unconfirmed: Option<&UnconfirmedWrite>) -> AttemptResult {
    match (e, unconfirmed) {
        (_, Some(_)) => None,
        (ReadError::Platform(e), None) => Some(Err(failure::unreachable(&e))),
        (ReadError::Malformed(detail), None) => Some(Err(failure::failed(detail))),
    }
}

fn unknown_outcome(e: &PlatformError) -> Status {
    let detail =
        format!("the outcome of the change is unknown; retry with the same operation id: {e}");
    failure::status(FailureClass::Unknown, detail)
}
