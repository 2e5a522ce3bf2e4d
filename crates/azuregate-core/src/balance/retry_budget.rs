//! Limits retries to a ratio of the requests in a sliding window.

use std::collections::VecDeque;

/// Number of buckets in a window.
const BUCKETS: u64 = 20;

/// An instance's retry budget for one service.
///
/// Guards against retry storms: when many backend servers fail, retries of every request
/// would keep the service from recovering. Each instance limits retries to a ratio of its own
/// requests, so the ratio also holds across all instances, without coordination. Unlike
/// [`crate::retry::RetryBudget`], which may be full after idle time, the limit holds over
/// every span of one window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    buckets: VecDeque<Bucket>,
}

/// What a [`RetryBudget`] has counted in its window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryUsage {
    /// Requests of clients.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request over any span of `window_ms`.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget { ratio, window_ms: window_ms.max(BUCKETS), buckets: VecDeque::new() }
    }

    /// Counts a client's request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        let RetryUsage { requests, retries } = self.usage(now_ms);
        if f64::from(retries + 1) > self.ratio * f64::from(requests) {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Returns what was counted in the window that ends at `now_ms`.
    pub fn usage(&mut self, now_ms: u64) -> RetryUsage {
        self.bucket(now_ms);
        RetryUsage {
            requests: self.buckets.iter().map(|bucket| bucket.requests).sum(),
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
        }
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
