//! The bounded queue of one group, and its estimated waiting time.

use std::collections::VecDeque;

use crate::time::Millis;

/// Maximum number of queued requests per slot.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// The service time sums are halved after this many requests, so that old
/// samples decay.
const HALVE_AFTER_REQUESTS: u64 = 512;
/// Mean service time assumed before the first request completes.
const DEFAULT_SERVICE_MS: u64 = 20;

/// Returns how many requests may wait for one of `slots` slots.
pub fn max_len(slots: u32) -> usize {
    slots as usize * MAX_QUEUED_PER_SLOT
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub ticket: u64,
    /// The peer that handed the request over, as an index of its dispatch;
    /// `None` for a request of this instance.
    pub from: Option<usize>,
}

/// A FIFO queue of requests that wait for a slot.
#[derive(Debug, Default)]
pub struct Queue {
    requests: VecDeque<QueuedRequest>,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Appends a request.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.push_back(request);
    }

    /// Removes and returns the oldest request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.requests.pop_front()
    }

    /// Removes a request by its ticket.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|request| request.ticket == ticket)?;
        self.requests.remove(index)
    }
}

/// Estimates the mean service time as slot time in use over completed requests.
///
/// This needs no timestamp per request, and includes the time in which a
/// response body is streamed.
#[derive(Debug, Default)]
pub struct ServiceTime {
    in_use: u32,
    updated_at_ms: Millis,
    busy_ms: u64,
    completed: u64,
}

impl ServiceTime {
    /// Records that a slot was acquired.
    pub fn acquire(&mut self, now_ms: Millis) {
        self.advance(now_ms);
        self.in_use += 1;
    }

    /// Records that a slot was released; `completed` tells whether its request
    /// received a response.
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

    /// Returns the mean time that a request holds a slot, in milliseconds.
    pub fn mean_ms(&self) -> u64 {
        if self.completed == 0 {
            return DEFAULT_SERVICE_MS;
        }
        (self.busy_ms / self.completed).max(1)
    }

    /// Returns how long the last of `queued` requests is expected to wait for
    /// one of `slots` slots, in milliseconds.
    pub fn wait_ms(&self, queued: usize, slots: u32) -> u64 {
        queued as u64 * self.mean_ms() / u64::from(slots.max(1))
    }

    fn advance(&mut self, now_ms: Millis) {
        self.busy_ms += now_ms.since(self.updated_at_ms).0 * u64::from(self.in_use);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}
