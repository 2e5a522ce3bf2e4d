//! The adaptive concurrency limit of one backend server.

use crate::{names::StartNumber, time::Millis};

/// Time without an increase after a first refusal.
const MIN_BACKOFF_MS: Millis = Millis(100);
/// Upper bound of that time, which doubles with each consecutive refusal.
const MAX_BACKOFF_MS: Millis = Millis(1_600);
/// A server that has sent no response for this long is assumed to have cold
/// caches.
const IDLE_RESET_MS: Millis = Millis(60_000);
/// A server is slow if its mean latency exceeds that of its group by this factor.
const SLOW_RATIO: f64 = 2.5;
/// Latency differences below this are attributed to clocks and scheduling.
const LATENCY_TOLERANCE_MS: f64 = 5.0;
/// Weight of a new sample in a server's mean latency.
const EWMA_WEIGHT: f64 = 0.125;

/// The adaptive concurrency limit of one backend server.
///
/// The limit of a cold server starts at one and grows with successful responses
/// (slow start). A refusal lowers it at once, since other instances then hold
/// the remaining slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    start: StartNumber,
    slots: u32,
    limit: u32,
    /// Successful responses since the limit last changed.
    successes: u32,
    backoff_ms: Millis,
    next_increase_at_ms: Millis,
    mean_latency_ms: f64,
    last_response_at_ms: Option<Millis>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server that has just started or was idle for long.
    pub fn cold(start: StartNumber, slots: u32) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: slots.min(1), ..ConcurrencyLimit::warm(start, slots) }
    }

    /// Creates the limit of a server that was in service before this instance
    /// learnt of it.
    pub fn warm(start: StartNumber, slots: u32) -> ConcurrencyLimit {
        ConcurrencyLimit {
            start,
            slots,
            limit: slots,
            successes: 0,
            backoff_ms: MIN_BACKOFF_MS,
            next_increase_at_ms: Millis(0),
            mean_latency_ms: 0.0,
            last_response_at_ms: None,
        }
    }

    /// Returns the number of requests that may be in progress on the server.
    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Returns when the limit may increase again, on the monotonic clock.
    pub fn next_increase_at_ms(&self) -> Millis {
        self.next_increase_at_ms
    }

    /// Applies the listed start number and slots; a new start resets the limit.
    pub fn update_server(&mut self, start: StartNumber, slots: u32) {
        if start != self.start {
            *self = ConcurrencyLimit::cold(start, slots);
            return;
        }
        self.slots = slots;
        self.limit = self.limit.min(slots);
    }

    /// Resets the limit if the server has been idle for too long. Called before
    /// a request is sent to a server with none in progress.
    pub fn reset_if_idle(&mut self, now_ms: Millis) {
        let idle =
            self.last_response_at_ms.is_some_and(|at_ms| now_ms.since(at_ms) > IDLE_RESET_MS);
        if idle {
            *self = ConcurrencyLimit::cold(self.start, self.slots);
        }
    }

    /// Raises a limit of zero to one once its backoff has passed.
    pub fn reopen(&mut self, now_ms: Millis) {
        if self.limit == 0 && self.next_increase_at_ms <= now_ms {
            self.limit = self.slots.min(1);
            self.successes = 0;
        }
    }

    /// Records a response; `group_mean_ms` is the mean latency of the server's
    /// group.
    pub fn record_response(&mut self, latency_ms: u64, group_mean_ms: f64, now_ms: Millis) {
        let latency_ms = latency_ms as f64;
        self.mean_latency_ms = match self.last_response_at_ms {
            None => latency_ms,
            Some(_) => self.mean_latency_ms + EWMA_WEIGHT * (latency_ms - self.mean_latency_ms),
        };
        self.last_response_at_ms = Some(now_ms);
        if self.mean_latency_ms > SLOW_RATIO * group_mean_ms + LATENCY_TOLERANCE_MS {
            self.decrease(now_ms);
            return;
        }
        self.successes += 1;
        let may_increase = self.successes >= self.limit && self.next_increase_at_ms <= now_ms;
        if may_increase && self.limit < self.slots {
            self.limit += 1;
            self.successes = 0;
            self.backoff_ms = MIN_BACKOFF_MS;
        }
    }

    /// Records a refusal or a broken connection, with `in_use` requests still
    /// in progress on the server.
    pub fn record_refusal(&mut self, in_use: u32, now_ms: Millis) {
        self.limit = self.limit.min(in_use);
        self.successes = 0;
        self.next_increase_at_ms = now_ms + self.backoff_ms;
        self.backoff_ms = (self.backoff_ms + self.backoff_ms).min(MAX_BACKOFF_MS);
    }

    fn decrease(&mut self, now_ms: Millis) {
        self.successes = 0;
        if self.next_increase_at_ms <= now_ms {
            self.limit = self.limit.saturating_sub(1).max(self.slots.min(1));
            self.next_increase_at_ms = now_ms + MIN_BACKOFF_MS;
        }
    }
}
