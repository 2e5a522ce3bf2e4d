//! What answers tell about a backend server.

/// Time without requests after the first failure in a row.
const FIRST_PAUSE_MS: u64 = 500;
/// The longest time without requests.
const LONGEST_PAUSE_MS: u64 = 4_000;
/// Weight of the newest answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failures from which a server is avoided.
const FAILING_SHARE: f64 = 0.4;
/// Weight of the newest answer in the usual time.
const LATENCY_WEIGHT: f64 = 0.2;

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered, after this time.
    Answered {
        /// Time from sending to the answer.
        taken_ms: u64,
    },
    /// It answered with a failure of its own.
    Failed,
    /// It rejected the request because it is full.
    Full,
    /// No connection could be opened, or it broke.
    Unreachable,
    /// It had not answered when the request's time was over.
    TimedOut {
        /// Time from sending.
        taken_ms: u64,
    },
    /// The client left; nothing is known.
    Cancelled,
}

/// What answers tell about one backend server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    paused_until_ms: u64,
    failing_share: f64,
    latency_ms: f64,
}

impl Health {
    /// Takes in how a request ended.
    pub fn record(&mut self, outcome: Outcome, now_ms: u64) {
        match outcome {
            Outcome::Answered { taken_ms } => {
                self.failures_in_row = 0;
                self.paused_until_ms = 0;
                self.count(false);
                self.take_latency(taken_ms);
            }
            Outcome::Failed | Outcome::Full => self.count(true),
            Outcome::TimedOut { taken_ms } => {
                self.count(true);
                self.take_latency(taken_ms);
            }
            Outcome::Unreachable => {
                self.count(true);
                let doublings = self.failures_in_row.min(8);
                let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
                self.paused_until_ms = now_ms + pause_ms;
                self.failures_in_row += 1;
            }
            Outcome::Cancelled => {}
        }
    }

    /// Whether no request should be sent at `now_ms`, because none got through.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Whether the server could not be reached when it was last tried.
    pub fn was_unreachable(&self) -> bool {
        self.failures_in_row > 0
    }

    /// Whether so many requests fail that others are better off elsewhere.
    pub fn is_failing(&self) -> bool {
        self.failing_share >= FAILING_SHARE
    }

    /// The usual time of an answer; 0 if there was none.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    fn count(&mut self, has_failed: bool) {
        let newest = f64::from(u8::from(has_failed));
        self.failing_share += FAILURE_WEIGHT * (newest - self.failing_share);
    }

    fn take_latency(&mut self, taken_ms: u64) {
        let taken_ms = taken_ms as f64;
        if self.latency_ms == 0.0 {
            self.latency_ms = taken_ms;
        }
        self.latency_ms += LATENCY_WEIGHT * (taken_ms - self.latency_ms);
    }
}
