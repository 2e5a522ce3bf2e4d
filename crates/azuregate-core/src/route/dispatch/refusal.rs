//! Why requests go nowhere.

use crate::{error::ErrorKind, route::dispatch::Refusal};

impl Refusal {
    /// No server of the groups in question takes new work.
    pub(super) fn no_backend() -> Refusal {
        let reason = "no backend server that may be used takes new work";
        Refusal { kind: ErrorKind::NoBackend, reason, retry_after_ms: 1_000 }
    }

    /// The cap of a movement leaves no room for the request.
    pub fn cap_reached() -> Refusal {
        let reason = "the cap of the policy leaves no room for this request";
        Refusal { kind: ErrorKind::CapReached, reason, retry_after_ms: 1_000 }
    }

    pub(super) fn link_full() -> Refusal {
        let reason = "the links to the regions with free slots have no room";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms: 1_000 }
    }

    pub(super) fn queue_full(retry_after_ms: u64) -> Refusal {
        let reason = "the queue holds as much as it may";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms }
    }

    pub(super) fn too_late(retry_after_ms: u64) -> Refusal {
        let reason = "no slot would be free in time";
        Refusal { kind: ErrorKind::TooLate, reason, retry_after_ms }
    }
}
