//! The bounded queue of one group, and how fast it drains.

use std::collections::VecDeque;

use crate::time::Millis;

/// How many requests wait for each slot at the most.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// After so many requests the older half of what was measured is forgotten.
const HALVE_AFTER_REQUESTS: u64 = 512;
/// Taken for the mean time in a slot until one has been measured.
const DEFAULT_SERVICE_MS: u64 = 20;

/// How many requests may wait for one of `slots` slots.
pub fn max_len(slots: u32) -> usize {
    slots as usize * MAX_QUEUED_PER_SLOT
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Names it.
    pub ticket: u64,
    /// The instance that handed it over, as an index of its dispatch.
    pub from: Option<usize>,
}

/// Requests that wait for a slot, first come first served.
#[derive(Debug, Default)]
pub struct Queue {
    requests: VecDeque<QueuedRequest>,
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Puts a request at the end.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.push_back(request);
    }

    /// Takes the request that has waited longest.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.requests.pop_front()
    }

    /// Takes a request out that gave up.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|request| request.ticket == ticket)?;
        self.requests.remove(index)
    }
}

/// Measures how long requests hold a slot: time in use over requests done.
///
/// It needs no time stamp for each request, and counts the time in which an
/// answer streams.
#[derive(Debug, Default)]
pub struct ServiceTime {
    in_use: u32,
    updated_at_ms: Millis,
    busy_ms: u64,
    completed: u64,
}

impl ServiceTime {
    /// Counts a slot that was taken.
    pub fn acquire(&mut self, now_ms: Millis) {
        self.advance(now_ms);
        self.in_use += 1;
    }

    /// Counts a slot that was given back, and whether it had done work.
    pub fn release(&mut self, completed: bool, now_ms: Millis) {
        self.advance(now_ms);
        self.in_use = self.in_use.saturating_sub(1);
        if !completed {
            return;
        }
        self.completed += 1;
        if self.completed >= HALVE_AFTER_REQUESTS {
            self.completed /= 2;
            self.busy_ms /= 2;
        }
    }

    /// How long a request holds a slot, on average.
    pub fn mean_ms(&self) -> u64 {
        if self.completed == 0 {
            return DEFAULT_SERVICE_MS;
        }
        (self.busy_ms / self.completed).max(1)
    }

    /// How long the last of `waiting` requests waits for one of `slots`.
    pub fn wait_ms(&self, queued: usize, slots: u32) -> u64 {
        queued as u64 * self.mean_ms() / u64::from(slots.max(1))
    }

    fn advance(&mut self, now_ms: Millis) {
        self.busy_ms += now_ms.since(self.updated_at_ms).0 * u64::from(self.in_use);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}
