//! Statuses of failed calls, with a failure class for scripts in the metadata.

use azuregate_core::policy::{ChangeError, ChangeErrorKind};
use tonic::{Code, Status, metadata::MetadataValue};

use crate::platform::PlatformError;

/// The metadata key of the failure class.
pub(crate) const CLASS_METADATA_KEY: &str = "azuregate-class";

/// The class of a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureClass {
    /// The request is malformed; nothing was changed.
    Usage,
    /// The request is valid, but not allowed in the current state; nothing was changed.
    Refused,
    /// The platform is unavailable; nothing was changed.
    Unreachable,
    /// The change may have been applied, or may still be applied.
    Unknown,
    /// An internal error or a malformed row; nothing was changed.
    Failed,
}

impl FailureClass {
    /// Returns the class's name in the metadata.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureClass::Usage => "usage",
            FailureClass::Refused => "refused",
            FailureClass::Unreachable => "unreachable",
            FailureClass::Unknown => "unknown",
            FailureClass::Failed => "failed",
        }
    }

    /// Returns the failure class in a status's metadata.
    ///
    /// `None` if the status was not created by an instance, for example by a broken
    /// connection. The effect of the call is then unknown.
    pub fn from_status(status: &Status) -> Option<FailureClass> {
        let all = [
            FailureClass::Usage,
            FailureClass::Refused,
            FailureClass::Unreachable,
            FailureClass::Unknown,
            FailureClass::Failed,
        ];
        let name = status.metadata().get(CLASS_METADATA_KEY)?.to_str().ok()?;
        all.into_iter().find(|class| class.as_str() == name)
    }

    fn code(self) -> Code {
        match self {
            FailureClass::Usage => Code::InvalidArgument,
            FailureClass::Refused => Code::FailedPrecondition,
            FailureClass::Unreachable => Code::Unavailable,
            FailureClass::Unknown => Code::Unknown,
            FailureClass::Failed => Code::Internal,
        }
    }
}

/// Creates the status of a failed call.
pub(super) fn status(class: FailureClass, detail: impl Into<String>) -> Status {
    let mut status = Status::new(class.code(), detail);
    status.metadata_mut().insert(CLASS_METADATA_KEY, MetadataValue::from_static(class.as_str()));
    status
}

pub(super) fn usage(detail: impl Into<String>) -> Status {
    status(FailureClass::Usage, detail)
}

pub(super) fn refused(detail: impl Into<String>) -> Status {
    status(FailureClass::Refused, detail)
}

pub(super) fn failed(detail: impl Into<String>) -> Status {
    status(FailureClass::Failed, detail)
}

/// Creates the status of a call that failed before it could have changed anything.
pub(super) fn unreachable(e: &PlatformError) -> Status {
    status(FailureClass::Unreachable, format!("nothing was changed: {e}"))
}

pub(super) fn change_error(e: &ChangeError) -> Status {
    match e.kind() {
        ChangeErrorKind::InvalidShares
        | ChangeErrorKind::InvalidCap
        | ChangeErrorKind::InvalidTimeout => usage(e.to_string()),
        ChangeErrorKind::SharesUnchanged
        | ChangeErrorKind::SharesChangedWithoutShift
        | ChangeErrorKind::ShiftInProgress
        | ChangeErrorKind::NoShiftInProgress
        | ChangeErrorKind::AlreadyDrained
        | ChangeErrorKind::NotDrained => refused(e.to_string()),
    }
}
