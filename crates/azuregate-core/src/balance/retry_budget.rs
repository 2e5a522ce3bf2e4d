//! Bounds what is sent beyond the first try of each request.

use std::collections::VecDeque;

/// How many parts a window is counted in.
const BUCKETS: u64 = 20;

/// A share of the retries that all instances may make together.
///
/// The failure: many backend servers fail at once, every request is sent again,
/// and the load of the retries keeps the service from coming back. Each instance
/// stays within a share of its own requests, so the sum stays within the same
/// share of all requests with no message between instances, whoever they are. It
/// holds for any span of the window, which [`crate::retry::RetryBudget`] does not
/// promise: that one may be full after a quiet time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Allows `ratio` retries for each request, over any span of `window_ms`.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget { ratio, window_ms: window_ms.max(BUCKETS), buckets: VecDeque::new() }
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Takes one retry; returns whether the budget has room for it.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        self.bucket(now_ms);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        if f64::from(retries + 1) > self.ratio * f64::from(requests) {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let index = now_ms * BUCKETS / self.window_ms;
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
