//! The reasons to refuse a request.

use crate::{error::ErrorKind, route::dispatch::Refusal};

impl Refusal {
    pub(super) fn no_backend() -> Refusal {
        let reason = "no permitted backend server is available";
        Refusal { kind: ErrorKind::NoBackend, reason, retry_after_ms: 1_000 }
    }

    /// Returns the refusal of a request that would exceed the policy's cap on
    /// traffic movement.
    pub fn cap_reached() -> Refusal {
        let reason = "the policy's cap on traffic movement is reached";
        Refusal { kind: ErrorKind::CapReached, reason, retry_after_ms: 1_000 }
    }

    pub(super) fn link_full() -> Refusal {
        let reason = "the links to regions with free slots have no bandwidth left";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms: 1_000 }
    }

    pub(super) fn queue_full(retry_after_ms: u64) -> Refusal {
        let reason = "the queue is full";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms }
    }

    pub(super) fn too_late(retry_after_ms: u64) -> Refusal {
        let reason = "no slot is expected to be free in time";
        Refusal { kind: ErrorKind::TooLate, reason, retry_after_ms }
    }
}
