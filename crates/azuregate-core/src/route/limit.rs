//! How many requests one backend server takes at once, as learnt.

use crate::{names::StartNumber, time::Millis};

/// How long a limit stays where a refusal put it, at first.
const HOLD_MS: Millis = Millis(100);
/// How long it stays there at the most, after refusals in a row.
const HOLD_LIMIT_MS: Millis = Millis(1_600);
/// A server that has answered nothing for so long has cold caches.
const COLD_AFTER_MS: Millis = Millis(60_000);
/// A server is slow when it takes so many times what is usual in its group.
const SLOW_TIMES: f64 = 2.5;
/// Differences below this are noise of clocks and scheduling.
const NOISE_MS: f64 = 5.0;
/// Weight of one answer in a server's mean latency.
const WEIGHT: f64 = 0.125;

/// The learnt concurrency limit of one backend server.
///
/// A cold server starts at one and grows with good answers, so that it is not
/// swamped; the limit falls at once with a refusal, since then somebody else
/// holds the slots.
#[derive(Clone, Debug)]
pub struct Limit {
    start: StartNumber,
    slots: u32,
    limit: u32,
    /// Good answers since the limit last changed.
    good: u32,
    hold_ms: Millis,
    raise_at_ms: Millis,
    mean_ms: f64,
    answered_at_ms: Option<Millis>,
}

impl Limit {
    /// The limit of a server that has just started, or was idle for long.
    pub fn cold(start: StartNumber, slots: u32) -> Limit {
        Limit { limit: slots.min(1), ..Limit::warm(start, slots) }
    }

    /// The limit of a server that served before this instance knew of it.
    pub fn warm(start: StartNumber, slots: u32) -> Limit {
        Limit {
            start,
            slots,
            limit: slots,
            good: 0,
            hold_ms: HOLD_MS,
            raise_at_ms: Millis(0),
            mean_ms: 0.0,
            answered_at_ms: None,
        }
    }

    /// How many requests may be in progress there.
    pub fn get(&self) -> u32 {
        self.limit
    }

    /// When a limit of zero may be tried again.
    pub fn raise_at_ms(&self) -> Millis {
        self.raise_at_ms
    }

    /// Takes in the list; a new start begins anew.
    pub fn set_server(&mut self, start: StartNumber, slots: u32) {
        if start != self.start {
            *self = Limit::cold(start, slots);
            return;
        }
        self.slots = slots;
        self.limit = self.limit.min(slots);
    }

    /// Takes in that a request is about to go to a server with nothing in
    /// progress.
    pub fn wake(&mut self, now_ms: Millis) {
        let idle = self.answered_at_ms.is_some_and(|at_ms| now_ms.since(at_ms) > COLD_AFTER_MS);
        if idle {
            *self = Limit::cold(self.start, self.slots);
        }
    }

    /// Lets a server whose limit is zero be tried with one request.
    pub fn try_again(&mut self, now_ms: Millis) {
        if self.limit == 0 && self.raise_at_ms <= now_ms {
            self.limit = self.slots.min(1);
            self.good = 0;
        }
    }

    /// Takes in an answer; `usual_ms` is the mean latency in its group.
    pub fn answered(&mut self, latency_ms: u64, usual_ms: f64, now_ms: Millis) {
        let latency_ms = latency_ms as f64;
        self.mean_ms = match self.answered_at_ms {
            None => latency_ms,
            Some(_) => self.mean_ms + WEIGHT * (latency_ms - self.mean_ms),
        };
        self.answered_at_ms = Some(now_ms);
        if self.mean_ms > SLOW_TIMES * usual_ms + NOISE_MS {
            self.slow(now_ms);
            return;
        }
        self.good += 1;
        let due = self.good >= self.limit && self.raise_at_ms <= now_ms;
        if due && self.limit < self.slots {
            self.limit += 1;
            self.good = 0;
            self.hold_ms = HOLD_MS;
        }
    }

    /// Takes in a refusal or a broken connection, with `in_use` requests still
    /// in progress there.
    pub fn refused(&mut self, in_use: u32, now_ms: Millis) {
        self.limit = self.limit.min(in_use);
        self.good = 0;
        self.raise_at_ms = now_ms + self.hold_ms;
        self.hold_ms = (self.hold_ms + self.hold_ms).min(HOLD_LIMIT_MS);
    }

    fn slow(&mut self, now_ms: Millis) {
        self.good = 0;
        if self.raise_at_ms <= now_ms {
            self.limit = self.limit.saturating_sub(1).max(self.slots.min(1));
            self.raise_at_ms = now_ms + HOLD_MS;
        }
    }
}
