/*!
Makes a change once at the most, and finds out whether it was made.

An answer of the platform can be lost after the write took effect, and another
operator can change the same policy at any moment, also in between. Each attempt
therefore first reads whether the operation has been applied, then writes under
the condition that nothing has changed since. A second write of the same change
is safe: the operation's row can be inserted only once.
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

/// How often a change is tried, or asked after, at the most.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before the second attempt, in milliseconds; it doubles each time.
const BACKOFF_BASE_MS: u64 = 20;

/// What became of a change.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// The platform holds it.
    Accepted {
        /// The policy before; `None` if there was none.
        before: Option<Policy>,
        policy: Policy,
    },
    /// The platform was found to hold it already.
    AlreadyApplied {
        policy: Policy,
        /// Whether an earlier call made the change, and not this one.
        repeated: bool,
    },
    /// Another change came first; `None` if the policy is not there at all.
    Conflict(Option<Policy>),
    /// It was only tried out.
    DryRun { before: Option<Policy>, policy: Policy },
}

/// Makes changes.
#[derive(Clone)]
pub(crate) struct ChangeExecutor {
    pub(crate) store: PolicyStore,
    pub(crate) clock: SharedClock,
    /// Tells which zones and backend servers there are.
    pub(crate) snapshots: Snapshots,
}

/// A write that may have taken effect, or may still do so.
struct UnconfirmedWrite {
    /// The version that the row had; 0 if it was absent.
    row_version: u64,
    error: PlatformError,
}

/// How one attempt ended; `None` to try again.
type AttemptResult = Option<Result<ChangeOutcome, Status>>;

/// One change in the making.
struct Execution<'a> {
    executor: &'a ChangeExecutor,
    request: &'a ChangeRequest,
    dry_run: bool,
    based_on_version: Option<u64>,
    unconfirmed: Option<UnconfirmedWrite>,
}

impl ChangeExecutor {
    /// Makes a change, or only tries it out.
    ///
    /// # Errors
    ///
    /// When it is refused, when the platform does not serve, or when it stays
    /// unknown whether the change was made. The status says which.
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
            return Err(failure::refused("other changes kept coming first; nothing was changed"));
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
        // A write under the condition of an older row can no longer take effect.
        self.unconfirmed.take_if(|unconfirmed| unconfirmed.row_version != row_version);
        let version = stored.as_ref().map_or(0, |stored| stored.policy.version);
        if self.based_on_version.is_some_and(|based_on| based_on != version) {
            return Some(Ok(ChangeOutcome::Conflict(stored.map(|stored| stored.policy))));
        }
        if !self.request.edit.commutes() {
            // Whatever comes after the first look, the operator cannot have seen.
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

    /// The policy that the change leads to.
    ///
    /// Names are checked here, and not when the call comes in: what a change that
    /// was made before names may be gone since, and a refusal would tell that
    /// nothing was changed.
    fn next_policy(&self, stored: Option<&StoredPolicy>) -> Result<Policy, Status> {
        validate::check_names(self.request, &self.executor.snapshots.current())?;
        let policy = stored.map(|stored| &stored.policy);
        let now_ms = self.executor.clock.epoch();
        let next = self.request.edit.apply(&self.request.service, policy, now_ms)?;
        Ok(Policy { operation_id: self.request.operation_id.clone(), ..next })
    }

    async fn read_state(&self) -> Result<(Option<Operation>, Option<StoredPolicy>), ReadError> {
        // In this order: a policy that is read last could be of this very
        // operation, taking effect in between, and look like a rival's.
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
            // The next look tells whether a rival or an own write came first.
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
                "the operation id {id:?} named another change before; nothing was changed"
            )));
        }
        let version = operation.version;
        match self.executor.store.version(&self.request.service, version).await {
            Ok(Some(policy)) => {
                let repeated = self.unconfirmed.is_none();
                Ok(ChangeOutcome::AlreadyApplied { policy, repeated })
            }
            Ok(None) => {
                Err(failure::failed(format!("the change led to version {version}, which is gone")))
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
    let detail = format!(
        "it is not known whether the change was made; repeat it with the same operation id: {e}"
    );
    failure::status(FailureClass::Unknown, detail)
}
