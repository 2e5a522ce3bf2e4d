//! Bounds what is sent beyond the first try of each request.

use std::collections::VecDeque;

/// How many parts a window is counted in.
const PARTS: u64 = 20;

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
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Allows `ratio` retries for each request, over any span of `window_ms`.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget { ratio, window_ms: window_ms.max(PARTS), parts: VecDeque::new() }
    }

    /// Counts a request of a client.
    pub fn request(&mut self, now_ms: u64) {
        self.part(now_ms).requests += 1;
    }

    /// Takes one retry; returns whether the budget has room for it.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.part(now_ms);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        if f64::from(retries + 1) > self.ratio * f64::from(requests) {
            return false;
        }
        self.part(now_ms).retries += 1;
        true
    }

    fn part(&mut self, now_ms: u64) -> &mut Part {
        let number = now_ms * PARTS / self.window_ms;
        while self.parts.front().is_some_and(|part| part.number + PARTS < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part { number, requests: 0, retries: 0 });
        }
        self.parts.back_mut().expect("a part was just added")
    }
}
