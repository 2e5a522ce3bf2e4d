//! Limits the rate of requests to a cold backend server across all instances.

use std::collections::VecDeque;

use super::share::Share;

/// Maximum number of instances that send to one cold backend server. Shared by all instances,
/// the rate would leave each of them less than one request per second. It also bounds the work that
/// is spread over cold servers.
const MAX_SENDERS_PER_BACKEND: u32 = 4;
/// Fraction of the rate that is used; the rest allows for requests in transit when a window
/// begins.
const USED_RATE_FRACTION: f64 = 0.8;
/// The limit holds over every span of this length.
const WINDOW_MS: u64 = 1_000;
/// Allowance for variation in network latency between requests.
const MAX_TRANSIT_VARIATION_MS: u64 = 150;

/// One instance's budget of requests to one cold backend server.
///
/// A server that has just started is slow and would crash at its usual rate. Rendezvous hashing
/// picks a few senders among the registered instances, and each gets an equal part of the
/// rate. The part of an instance that is down is not redistributed, so the total never exceeds
/// the rate.
#[derive(Clone, Debug, Default)]
pub struct ColdStartBudget {
    sent_at_ms: VecDeque<u64>,
}

impl ColdStartBudget {
    /// Returns how many requests per second `instance` may send to `backend`, given the total
    /// of `rate_per_s` for all `instances`.
    pub fn instance_limit<'a>(
        backend: &str,
        instance: &str,
        instances: impl Iterator<Item = &'a str>,
        rate_per_s: f64,
    ) -> u32 {
        let Some(share) = Share::of(backend, instance, instances, MAX_SENDERS_PER_BACKEND) else {
            return 0;
        };
        let total_rate = (rate_per_s * USED_RATE_FRACTION).floor() as u32;
        total_rate / share.parts + u32::from(share.rank < total_rate % share.parts)
    }

    /// Returns whether another request may be sent within `limit` per second.
    pub fn has_capacity(&self, limit: u32, now_ms: u64) -> bool {
        let is_in_window = |&&at_ms: &&u64| at_ms + WINDOW_MS + MAX_TRANSIT_VARIATION_MS >= now_ms;
        self.sent_at_ms.iter().rev().take_while(is_in_window).count() < limit as usize
    }

    /// Records a sent request.
    pub fn record_sent(&mut self, now_ms: u64) {
        let window_ms = WINDOW_MS + MAX_TRANSIT_VARIATION_MS;
        while self.sent_at_ms.front().is_some_and(|&at| at + window_ms < now_ms) {
            self.sent_at_ms.pop_front();
        }
        self.sent_at_ms.push_back(now_ms);
    }
}
