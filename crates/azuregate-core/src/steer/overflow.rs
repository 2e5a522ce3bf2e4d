//! Counts requests that went elsewhere because their own zone had no room.

use std::collections::VecDeque;

use crate::time::Millis;

/// How many parts a window is counted in.
const PARTS: u64 = 16;

/// Requests of the last two windows.
#[derive(Clone, Debug, Default)]
pub(super) struct Overflow {
    parts: VecDeque<Part>,
    reserved: u64,
}

/// What may overflow in a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowed {
    /// As a share of the requests.
    pub(super) share: f64,
    /// So many requests in any case.
    pub(super) at_least: f64,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    at_ms: Millis,
    requests: u64,
    overflowed: u64,
}

impl Overflow {
    /// Counts a planned request.
    pub(super) fn count(&mut self, window_ms: u64, now_ms: Millis) {
        self.part(window_ms, now_ms).requests += 1;
    }

    /// Keeps room for one request to overflow, if `allowed` of the requests in
    /// the last window leaves any.
    ///
    /// Room is kept from the plan on: requests that are planned together would
    /// otherwise all take the same room.
    pub(super) fn reserve(&mut self, allowed: Allowed, window_ms: u64, now_ms: Millis) -> bool {
        let last = |part: &&Part| now_ms.since(part.at_ms).0 < window_ms;
        let (requests, overflowed) = sums(self.parts.iter().filter(last));
        let room = (allowed.share * requests as f64).max(allowed.at_least);
        let fits = (overflowed + self.reserved + 1) as f64 <= room;
        self.reserved += u64::from(fits);
        fits
    }

    /// Gives kept room back; `overflowed` says whether it was used.
    pub(super) fn release(&mut self, overflowed: bool, window_ms: u64, now_ms: Millis) {
        self.reserved = self.reserved.saturating_sub(1);
        self.part(window_ms, now_ms).overflowed += u64::from(overflowed);
    }

    /// The larger share of the last two windows that overflowed.
    pub(super) fn share(&self, window_ms: u64, now_ms: Millis) -> f64 {
        let is_last = |part: &&Part| now_ms.since(part.at_ms).0 < window_ms;
        let last = sums(self.parts.iter().filter(is_last));
        let before = sums(self.parts.iter().filter(|part| !is_last(part)));
        let share = |(requests, overflowed): (u64, u64)| overflowed as f64 / requests.max(1) as f64;
        share(last).max(share(before))
    }

    fn part(&mut self, window_ms: u64, now_ms: Millis) -> &mut Part {
        while self.parts.front().is_some_and(|p| now_ms.since(p.at_ms).0 >= 2 * window_ms) {
            self.parts.pop_front();
        }
        let part_ms = window_ms.div_ceil(PARTS);
        let stale = self.parts.back().is_none_or(|p| now_ms.since(p.at_ms).0 >= part_ms);
        if stale {
            self.parts.push_back(Part { at_ms: now_ms, requests: 0, overflowed: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

fn sums<'a>(parts: impl Iterator<Item = &'a Part>) -> (u64, u64) {
    parts.fold((0, 0), |(requests, overflowed), part| {
        (requests + part.requests, overflowed + part.overflowed)
    })
}
