//! What instances tell each other about rate limits.

use serde::{Deserialize, Serialize};

use super::RateLimitObservation;
use crate::balance::BackendRun;

/// Servers per datagram, so that it fits in one packet.
pub(super) const MAX_SERVERS_PER_DATAGRAM: usize = 40;

/// The run of a server, the limit that it named in requests per second, and the times since the
/// request was sent and since the response was received, in milliseconds.
pub type ReportedRateLimit = (BackendRun, Option<f64>, u64, u64);

/// A report of rate limits from one instance to another, encoded by position. It contains only
/// what the sender has observed itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RateLimitReport(
    /// The limits.
    pub Vec<ReportedRateLimit>,
);

pub(super) fn encode(
    run: BackendRun,
    observation: &RateLimitObservation,
    now_ms: u64,
) -> ReportedRateLimit {
    let age_ms = |at_ms| now_ms.saturating_sub(at_ms);
    let RateLimitObservation { limit_per_s, sent_at_ms, received_at_ms } = *observation;
    (run, limit_per_s, age_ms(sent_at_ms), age_ms(received_at_ms))
}

pub(super) fn decode(reported: &ReportedRateLimit, now_ms: u64) -> RateLimitObservation {
    let &(_, limit_per_s, sent_age_ms, received_age_ms) = reported;
    RateLimitObservation {
        // Only what can be a rate: the sender may be of another version.
        limit_per_s: limit_per_s.filter(|limit| limit.is_finite() && *limit >= 0.0),
        sent_at_ms: now_ms.saturating_sub(sent_age_ms),
        received_at_ms: now_ms.saturating_sub(received_age_ms),
    }
}
