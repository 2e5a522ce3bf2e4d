//! What an operator wants changed, and the policy that results.

use azuregate_core::{
    names::{BackendId, ServiceName},
    policy::{Cap, Policy, Shares},
    route::hash,
    time::Millis,
};
use serde::Serialize;
use tonic::Status;

use super::failure::{change_error, refused};

/// A change that an operator asked for.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRequest {
    pub(crate) service: ServiceName,
    /// Names the change in the platform.
    pub(crate) operation_id: String,
    /// The version that it is based on; `None` for whichever there is.
    pub(crate) based_on_version: Option<u64>,
    pub(crate) edit: Edit,
}

/// What is to be done to a policy.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Edit {
    /// Replace it as a whole.
    Set(Box<Policy>),
    /// Move traffic to other shares.
    StartShift { to_share_ppm: Shares, cap: Option<Cap> },
    /// Stop the movement.
    StopShift,
    /// Take backend servers out of service.
    Drain(Vec<BackendId>),
    /// Take backend servers back into service.
    Undrain(Vec<BackendId>),
}

impl ChangeRequest {
    /// Tells this change from any other that is sent under the same
    /// operation id by mistake.
    pub(crate) fn fingerprint(&self) -> String {
        let edit = serde_json::to_string(&self.edit).unwrap_or_default();
        let based_on = self.based_on_version.map_or_else(String::new, |v| v.to_string());
        format!("{:016x}", hash::stable_hash(&[self.service.as_str(), &based_on, &edit]))
    }
}

impl Edit {
    /// Whether the change means the same on whichever version it is made.
    pub(crate) fn commutes(&self) -> bool {
        matches!(self, Edit::Drain(_) | Edit::Undrain(_))
    }

    /// The policy that results.
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
        // Several backend servers are one change.
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
