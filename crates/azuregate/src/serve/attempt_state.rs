//! What has become of a request so far.

use azuregate_core::balance::{BackendHandle, BackendRun};

use super::response::RequestError;

/// The state of a request's attempts.
#[derive(Default)]
pub(super) struct AttemptState {
    /// Whether another instance forwarded the request, because it reaches no server.
    pub(super) is_forwarded: bool,
    /// Whether the instance that forwarded the request forbids to execute it more than once.
    pub(super) is_at_most_once: bool,
    /// Whether the whole body of the request has been received.
    pub(super) has_received_body: bool,
    /// Servers excluded from further attempts.
    pub(super) tried: Vec<BackendHandle>,
    /// The number of attempts, including rejected ones.
    pub(super) sends: u32,
    /// The number of attempts that may have executed the request.
    pub(super) possible_executions: u32,
    /// The number of attempts that may have reached a server.
    pub(super) possible_arrivals: u32,
    /// Whether an attempt is in flight.
    pub(super) is_in_flight: bool,
    /// The last server that a forwarded request was sent to, if it has announced that it is leaving.
    pub(super) leaving: Option<BackendRun>,
}

impl AttemptState {
    /// Returns the state of a request that another instance forwarded, which may have been executed
    /// `executions` times before. `is_idempotent` is whether that one allows to execute it again.
    pub(super) fn forwarded(executions: u32, is_idempotent: bool) -> AttemptState {
        AttemptState {
            is_forwarded: true,
            is_at_most_once: !is_idempotent,
            possible_executions: executions,
            ..AttemptState::default()
        }
    }

    /// Returns how many times the request may have been executed.
    pub(super) fn possible_executions(&self) -> u32 {
        self.possible_executions + u32::from(self.is_in_flight)
    }

    pub(super) fn timeout_error(&self) -> RequestError {
        if self.possible_executions > 0 || self.is_in_flight {
            RequestError::TimedOut
        } else {
            RequestError::NoCapacity
        }
    }

    pub(super) fn attempts_exhausted(&self, not_executed: RequestError) -> RequestError {
        if self.possible_executions > 0 { RequestError::ResponseLost } else { not_executed }
    }
}
