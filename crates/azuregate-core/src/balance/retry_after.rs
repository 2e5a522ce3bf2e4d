//! Retry delays for refused requests.

use std::ops::RangeInclusive;

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The instance has just started or has lost contact with the store.
    StaleState,
    /// No backend server has capacity, or all that were tried rejected the request.
    NoCapacity,
    /// All backend servers limit the rate of their requests, and their limits are used up.
    RateLimited,
}

impl RetryReason {
    /// Returns the range in milliseconds from which a client's retry delay is drawn. The
    /// delays vary so that refused clients do not retry in lockstep.
    ///
    /// Slots are freed within a fraction of a request's duration, so a short delay after
    /// [`NoCapacity`](RetryReason::NoCapacity) still leaves time to meet the latency target.
    pub fn retry_after_ms(self) -> RangeInclusive<u64> {
        match self {
            RetryReason::StaleState => 100..=400,
            RetryReason::NoCapacity => 30..=150,
            RetryReason::RateLimited => 100..=500,
        }
    }
}
