//! The bounded queue of one group, and how fast it drains.

use std::collections::VecDeque;

use crate::time::Millis;

/// How many requests wait for each slot at the most.
const WAITING_PER_SLOT: usize = 4;
/// After so many requests the older half of what was measured is forgotten.
const MEASURED_LIMIT: u64 = 512;
/// Taken for the mean time in a slot until one has been measured.
const FIRST_HOLD_MS: u64 = 20;

/// How many requests may wait for one of `slots` slots.
pub fn limit(slots: u32) -> usize {
    slots as usize * WAITING_PER_SLOT
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Names it.
    pub ticket: u64,
    /// The instance that handed it over, as an index of its dispatch.
    pub from: Option<usize>,
}

/// Requests that wait for a slot, first come first served.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Puts a request at the end.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Takes the request that has waited longest.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Takes a request out that gave up.
    pub fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket)?;
        self.waiting.remove(index)
    }
}

/// Measures how long requests hold a slot: time in use over requests done.
///
/// It needs no time stamp for each request, and counts the time in which an
/// answer streams.
#[derive(Debug, Default)]
pub struct Drain {
    in_use: u32,
    at_ms: Millis,
    used_ms: u64,
    done: u64,
}

impl Drain {
    /// Counts a slot that was taken.
    pub fn take(&mut self, now_ms: Millis) {
        self.pass(now_ms);
        self.in_use += 1;
    }

    /// Counts a slot that was given back, and whether it had done work.
    pub fn finish(&mut self, worked: bool, now_ms: Millis) {
        self.pass(now_ms);
        self.in_use = self.in_use.saturating_sub(1);
        if !worked {
            return;
        }
        self.done += 1;
        if self.done >= MEASURED_LIMIT {
            self.done /= 2;
            self.used_ms /= 2;
        }
    }

    /// How long a request holds a slot, on average.
    pub fn hold_ms(&self) -> u64 {
        if self.done == 0 {
            return FIRST_HOLD_MS;
        }
        (self.used_ms / self.done).max(1)
    }

    /// How long the last of `waiting` requests waits for one of `slots`.
    pub fn wait_ms(&self, waiting: usize, slots: u32) -> u64 {
        waiting as u64 * self.hold_ms() / u64::from(slots.max(1))
    }

    fn pass(&mut self, now_ms: Millis) {
        self.used_ms += now_ms.since(self.at_ms).0 * u64::from(self.in_use);
        self.at_ms = self.at_ms.max(now_ms);
    }
}
