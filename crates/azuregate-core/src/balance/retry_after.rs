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
    /// Clients hold all the memory of the instance that they may.
    NoMemory,
    /// The instance is stopping. Others have room.
    Stopping,
}

/// Returns the range in milliseconds from which the retry delay of a client is drawn that is refused
/// since all servers pause, the first of them for another `pause_ms`. It begins at the end of that
/// pause, and is wide enough that the clients of a long pause do not all return together.
pub fn retry_after_pause_ms(pause_ms: u64) -> RangeInclusive<u64> {
    pause_ms..=pause_ms + pause_ms / 4 + 100
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
            // By then, clients that stall have given way.
            RetryReason::NoMemory => 100..=500,
            RetryReason::Stopping => 0..=0,
        }
    }
}
