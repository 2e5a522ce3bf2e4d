//! Requested changes and their application to a policy.

use azuregate_core::{
    names::{BackendId, ServiceName},
    policy::{Cap, Policy, Shares},
    route::hash,
    time::Millis,
};
use serde::Serialize;
use tonic::Status;

use super::failure::{change_error, refused};

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRequest {
    pub(crate) service: ServiceName,
    /// Identifies the change, so that a retry is not applied twice.
    pub(crate) operation_id: String,
    /// The expected current version; `None` accepts any.
    pub(crate) based_on_version: Option<u64>,
    pub(crate) edit: Edit,
}

/// A modification of a policy.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Edit {
    /// Replaces the whole policy.
    Set(Box<Policy>),
    /// Starts to shift traffic to other zone shares.
    StartShift { to_share_ppm: Shares, cap: Option<Cap> },
    /// Stops the shift in progress.
    StopShift,
    /// Drains backend servers.
    Drain(Vec<BackendId>),
    /// Returns drained backend servers to service.
    Undrain(Vec<BackendId>),
}

impl ChangeRequest {
    /// Returns a hash of the change. It detects an operation id that is reused for
    /// a different change.
    pub(crate) fn fingerprint(&self) -> String {
        let edit = serde_json::to_string(&self.edit).unwrap_or_default();
        let based_on = self.based_on_version.map_or_else(String::new, |v| v.to_string());
        format!("{:016x}", hash::stable_hash(&[self.service.as_str(), &based_on, &edit]))
    }
}

impl Edit {
    /// Returns whether the change commutes with concurrent changes, and so can be
    /// applied to any version.
    pub(crate) fn commutes(&self) -> bool {
        matches!(self, Edit::Drain(_) | Edit::Undrain(_))
    }

    /// Applies the change and returns the next version of the policy.
    ///
    /// # Errors
    ///
    /// When the change is not allowed; the status says why.
    pub(crate) fn apply(
        &self,
        service: &ServiceName,
        stored: Option<&Policy>,
        now_ms: Millis,
    ) -> Result<Policy, Status> {
        let Some(stored) = stored else {
            return self.create(service);
        };
        let next = match self {
            Edit::Set(replacement) => stored
                .check_replace(replacement, now_ms)
                .map(|()| Policy { version: stored.version + 1, ..Policy::clone(replacement) }),
            Edit::StartShift { to_share_ppm, cap } => {
                stored.start_shift(to_share_ppm, *cap, now_ms)
            }
            Edit::StopShift => stored.stop_shift(now_ms),
            Edit::Drain(backends) => {
                backends.iter().try_fold(stored.clone(), |policy, id| policy.drain(id))
            }
            Edit::Undrain(backends) => {
                backends.iter().try_fold(stored.clone(), |policy, id| policy.undrain(id))
            }
        };
        let next = next.map_err(|e| change_error(&e))?;
        // Draining several backend servers increments the version only once.
        Ok(Policy { version: stored.version + 1, ..next })
    }

    fn create(&self, service: &ServiceName) -> Result<Policy, Status> {
        let Edit::Set(replacement) = self else {
            return Err(refused(format!("no policy names {service}")));
        };
        replacement.check().map_err(|e| change_error(&e))?;
        Ok(Policy { version: 1, ..Policy::clone(replacement) })
    }
}
