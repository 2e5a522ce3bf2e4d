//! How calls fail: the class that scripts branch on, beside gRPC's own code.

use azuregate_core::policy::{ChangeError, ChangeErrorKind};
use tonic::{Code, Status, metadata::MetadataValue};

use crate::platform::PlatformError;

/// The metadata that carries the class.
pub(crate) const CLASS_METADATA_KEY: &str = "azuregate-class";

/// How a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureClass {
    /// The request is malformed; nothing was changed.
    Usage,
    /// The request is sound, but not allowed now; nothing was changed.
    Refused,
    /// The platform did not serve; nothing was changed.
    Unreachable,
    /// The change may have been made, or may still be.
    Unknown,
    /// A defect, or a row that is not understood; nothing was changed.
    Failed,
}

impl FailureClass {
    /// The class's name in the metadata.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureClass::Usage => "usage",
            FailureClass::Refused => "refused",
            FailureClass::Unreachable => "unreachable",
            FailureClass::Unknown => "unknown",
            FailureClass::Failed => "failed",
        }
    }

    /// The class of a failed call.
    ///
    /// `None` when the failure did not come from an instance: the call was lost
    /// on its way, and nothing is known of its effect.
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

/// A failed call of `class`.
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

/// For calls that changed nothing so far.
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
