//! Bounds the requests that a cold backend server gets from all instances.

use std::collections::VecDeque;

use crate::route::hash::stable_hash;

/// How many instances send to one cold backend server at the most.
///
/// A rate that all instances share leaves each of many less than one request a
/// second. A few senders with some requests each use the rate better, and bound
/// the work that is spread over cold servers.
const SENDERS: usize = 4;
/// The share of the allowed rate that is used; requests that are on their way
/// when a second begins arrive inside it.
const USED_SHARE: f64 = 0.8;
/// Any span of this length is bounded.
const WINDOW_MS: u64 = 1_000;
/// What requests that left at different times may gain on each other on the way.
const ON_THE_WAY_MS: u64 = 150;

/// What one instance may send to one cold backend server.
///
/// The failure: a server that has just started is slow, and one that gets its
/// usual rate crashes; all instances send to it, and none sees the others. Each
/// server has a few senders, found by rendezvous hashing among the registered
/// instances, and each sender has an equal part of the rate. An instance that is
/// down keeps its part, so the parts never add up to more than the rate.
#[derive(Clone, Debug, Default)]
pub struct ColdBudget {
    sent_at_ms: VecDeque<u64>,
}

impl ColdBudget {
    /// How many requests `instance` may send to `backend` in a second, if all of
    /// `instances` together may send `rate_per_s`.
    pub fn part<'a>(
        backend: &str,
        instance: &str,
        instances: impl Iterator<Item = &'a str>,
        rate_per_s: f64,
    ) -> u32 {
        let own = stable_hash(&[backend, instance]);
        let (mut total, mut higher) = (0, 0);
        for other in instances {
            total += 1;
            higher += usize::from(other != instance && stable_hash(&[backend, other]) > own);
        }
        let senders = SENDERS.min(total.max(1));
        if higher >= senders {
            return 0;
        }
        let all = (rate_per_s * USED_SHARE).floor() as u32;
        let rank = u32::try_from(higher).unwrap_or(u32::MAX);
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        all / senders + u32::from(rank < all % senders)
    }

    /// Whether one more request may be sent, with `limit` of them in a second.
    pub fn has_room(&mut self, limit: u32, now_ms: u64) -> bool {
        let window_ms = WINDOW_MS + ON_THE_WAY_MS;
        while self.sent_at_ms.front().is_some_and(|&at| at + window_ms < now_ms) {
            self.sent_at_ms.pop_front();
        }
        self.sent_at_ms.len() < limit as usize
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, now_ms: u64) {
        self.sent_at_ms.push_back(now_ms);
    }
}
