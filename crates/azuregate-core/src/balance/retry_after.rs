//! When clients come back whose request was refused.

use std::ops::RangeInclusive;

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The instance knows too little: it has just started, or lost contact.
    StaleState,
    /// No server has a place, or each that was asked rejected the request.
    NoCapacity,
}

impl RetryReason {
    /// The times after which clients come back, in milliseconds; one is drawn for
    /// each, so that they do not come at the same moment.
    ///
    /// The load: a server's queue is full for a moment, or servers reject a part of
    /// their requests. Places are free again several times within the time that one
    /// request takes, and a client that comes back by then still gets its answer
    /// within the objective. One that waits longer is late although it is served.
    pub fn retry_after_ms(self) -> RangeInclusive<u64> {
        match self {
            RetryReason::StaleState => 100..=400,
            RetryReason::NoCapacity => 30..=150,
        }
    }
}
