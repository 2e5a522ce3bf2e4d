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
    edit::Wanted,
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
const ATTEMPTS: u32 = 4;
/// Pause before the second attempt, in milliseconds; it doubles each time.
const PAUSE_MS: u64 = 20;

/// What became of a change.
#[derive(Clone, Debug)]
pub(crate) enum Settled {
    /// The platform holds it.
    Accepted {
        /// The policy before; `None` if there was none.
        before: Option<Policy>,
        policy: Policy,
    },
    /// The platform was found to hold it already.
    Applied {
        policy: Policy,
        /// Whether an earlier call made the change, and not this one.
        repeated: bool,
    },
    /// Another change came first; `None` if the policy is not there at all.
    Conflict(Option<Policy>),
    /// It was only tried out.
    Planned { before: Option<Policy>, policy: Policy },
}

/// Makes changes.
#[derive(Clone)]
pub(crate) struct Settler {
    pub(crate) store: PolicyStore,
    pub(crate) clock: SharedClock,
    /// Tells which zones and backend servers there are.
    pub(crate) snapshots: Snapshots,
}

/// A write that may have taken effect, or may still do so.
struct Pending {
    /// The version that the row had; 0 if it was absent.
    row_version: u64,
    error: PlatformError,
}

/// How one attempt ended; `None` to try again.
type Step = Option<Result<Settled, Status>>;

/// One change in the making.
struct Run<'a> {
    settler: &'a Settler,
    wanted: &'a Wanted,
    dry_run: bool,
    based_on_version: Option<u64>,
    pending: Option<Pending>,
}

impl Settler {
    /// Makes a change, or only tries it out.
    ///
    /// # Errors
    ///
    /// When it is refused, when the platform does not serve, or when it stays
    /// unknown whether the change was made. The status says which.
    pub(crate) async fn settle(&self, wanted: &Wanted, dry_run: bool) -> Result<Settled, Status> {
        let based_on_version = wanted.based_on_version;
        let mut run = Run { settler: self, wanted, dry_run, based_on_version, pending: None };
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                time::sleep(Duration::from_millis(PAUSE_MS << attempt)).await;
            }
            if let Some(result) = run.step().await {
                return result;
            }
        }
        let Some(Pending { error, .. }) = run.pending else {
            return Err(failure::refused("other changes kept coming first; nothing was changed"));
        };
        Err(unknown(&error))
    }
}

impl Run<'_> {
    async fn step(&mut self) -> Step {
        let (operation, stored) = match self.look().await {
            Ok(seen) => seen,
            Err(e) => return read_failed(e, self.pending.as_ref()),
        };
        if let Some(operation) = operation {
            return Some(self.applied(&operation).await);
        }
        let row_version = stored.as_ref().map_or(0, |stored| stored.row_version);
        // A write under the condition of an older row can no longer take effect.
        self.pending.take_if(|pending| pending.row_version != row_version);
        let version = stored.as_ref().map_or(0, |stored| stored.policy.version);
        if self.based_on_version.is_some_and(|based_on| based_on != version) {
            return Some(Ok(Settled::Conflict(stored.map(|stored| stored.policy))));
        }
        if !self.wanted.edit.commutes() {
            // Whatever comes after the first look, the operator cannot have seen.
            self.based_on_version = Some(version);
        }
        let next = match self.next(stored.as_ref()) {
            Ok(next) => next,
            Err(_) if self.pending.is_some() => return None,
            Err(status) => return Some(Err(status)),
        };
        if self.dry_run {
            let before = stored.map(|stored| stored.policy);
            return Some(Ok(Settled::Planned { before, policy: next }));
        }
        self.commit(stored, next).await
    }

    /// The policy that the change leads to.
    ///
    /// Names are checked here, and not when the call comes in: what a change that
    /// was made before names may be gone since, and a refusal would tell that
    /// nothing was changed.
    fn next(&self, stored: Option<&StoredPolicy>) -> Result<Policy, Status> {
        validate::known_names(self.wanted, &self.settler.snapshots.current())?;
        let policy = stored.map(|stored| &stored.policy);
        let now_ms = self.settler.clock.epoch();
        let next = self.wanted.edit.apply(&self.wanted.service, policy, now_ms)?;
        Ok(Policy { operation_id: self.wanted.operation_id.clone(), ..next })
    }

    async fn look(&self) -> Result<(Option<Operation>, Option<StoredPolicy>), ReadError> {
        // In this order: a policy that is read last could be of this very
        // operation, taking effect in between, and look like a rival's.
        let stored = self.settler.store.policy(&self.wanted.service).await?;
        let operation = self.settler.store.operation(self.wanted).await?;
        Ok((operation, stored))
    }

    async fn commit(&mut self, stored: Option<StoredPolicy>, next: Policy) -> Step {
        match self.settler.store.commit(self.wanted, stored.as_ref(), &next).await {
            Ok(Commit::Done(_)) => {
                let before = stored.map(|stored| stored.policy);
                Some(Ok(Settled::Accepted { before, policy: next }))
            }
            // The next look tells whether a rival or an own write came first.
            Ok(Commit::Conflict { .. }) => None,
            Err(error) if error.effect() == Effect::Unknown => {
                let row_version = stored.map_or(0, |stored| stored.row_version);
                self.pending = Some(Pending { row_version, error });
                None
            }
            Err(_) if self.pending.is_some() => None,
            Err(error) => Some(Err(failure::unreachable(&error))),
        }
    }

    async fn applied(&self, operation: &Operation) -> Result<Settled, Status> {
        if operation.fingerprint != self.wanted.fingerprint() {
            let id = &self.wanted.operation_id;
            return Err(failure::refused(format!(
                "the operation id {id:?} named another change before; nothing was changed"
            )));
        }
        let version = operation.version;
        match self.settler.store.version(&self.wanted.service, version).await {
            Ok(Some(policy)) => {
                let repeated = self.pending.is_none();
                Ok(Settled::Applied { policy, repeated })
            }
            Ok(None) => {
                Err(failure::failed(format!("the change led to version {version}, which is gone")))
            }
            Err(ReadError::Malformed(detail)) => Err(failure::failed(detail)),
            Err(ReadError::Platform(e)) => Err(unknown(&e)),
        }
    }
}

fn read_failed(e: ReadError, pending: Option<&Pending>) -> Step {
    match (e, pending) {
        (_, Some(_)) => None,
        (ReadError::Platform(e), None) => Some(Err(failure::unreachable(&e))),
        (ReadError::Malformed(detail), None) => Some(Err(failure::failed(detail))),
    }
}

fn unknown(e: &PlatformError) -> Status {
    let detail = format!(
        "it is not known whether the change was made; repeat it with the same operation id: {e}"
    );
    failure::status(FailureClass::Unknown, detail)
}
