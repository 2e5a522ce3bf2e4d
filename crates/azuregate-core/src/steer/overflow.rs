//! The budget of requests that overflow to another zone when theirs is full.

use std::collections::VecDeque;

use crate::time::Millis;

/// Number of buckets per window.
const BUCKETS: u64 = 16;

/// Request counts of the last two windows, and reservations.
#[derive(Clone, Debug, Default)]
pub(super) struct OverflowBudget {
    buckets: VecDeque<Bucket>,
    reserved: u64,
}

/// The limit of overflowing requests in a window: the larger of both values.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverflowLimit {
    /// Share of the requests in the window.
    pub(super) share: f64,
    /// Number of requests.
    pub(super) min_requests: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    at_ms: Millis,
    requests: u64,
    overflowed: u64,
}

impl OverflowBudget {
    /// Records a planned request.
    pub(super) fn count(&mut self, window_ms: u64, now_ms: Millis) {
        self.current_bucket(window_ms, now_ms).requests += 1;
    }

    /// Reserves the overflow of one request; returns whether the limit allows it.
    ///
    /// The reservation is made when the request is planned, so that requests
    /// planned concurrently do not share the same budget.
    pub(super) fn reserve(&mut self, limit: OverflowLimit, window_ms: u64, now_ms: Millis) -> bool {
        let last = |bucket: &&Bucket| now_ms.since(bucket.at_ms).0 < window_ms;
        let (requests, overflowed) = sums(self.buckets.iter().filter(last));
        let allowed = (limit.share * requests as f64).max(limit.min_requests);
        let fits = (overflowed + self.reserved + 1) as f64 <= allowed;
        self.reserved += u64::from(fits);
        fits
    }

    /// Releases a reservation; `overflowed` tells whether it was used.
    pub(super) fn release(&mut self, overflowed: bool, window_ms: u64, now_ms: Millis) {
        self.reserved = self.reserved.saturating_sub(1);
        self.current_bucket(window_ms, now_ms).overflowed += u64::from(overflowed);
    }

    /// Returns the overflowed share of the last or the previous window, whichever
    /// is larger.
    pub(super) fn share(&self, window_ms: u64, now_ms: Millis) -> f64 {
        let is_last = |bucket: &&Bucket| now_ms.since(bucket.at_ms).0 < window_ms;
        let last = sums(self.buckets.iter().filter(is_last));
        let before = sums(self.buckets.iter().filter(|bucket| !is_last(bucket)));
        let share = |(requests, overflowed): (u64, u64)| overflowed as f64 / requests.max(1) as f64;
        share(last).max(share(before))
    }

    fn current_bucket(&mut self, window_ms: u64, now_ms: Millis) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now_ms.since(bucket.at_ms).0 >= 2 * window_ms)
        {
            self.buckets.pop_front();
        }
        let bucket_ms = window_ms.div_ceil(BUCKETS);
        let stale =
            self.buckets.back().is_none_or(|bucket| now_ms.since(bucket.at_ms).0 >= bucket_ms);
        if stale {
            self.buckets.push_back(Bucket { at_ms: now_ms, requests: 0, overflowed: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

fn sums<'a>(buckets: impl Iterator<Item = &'a Bucket>) -> (u64, u64) {
    buckets.fold((0, 0), |(requests, overflowed), bucket| {
        (requests + bucket.requests, overflowed + bucket.overflowed)
    })
}
