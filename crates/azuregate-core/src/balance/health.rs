//! What answers tell about a backend server.

/// Time without requests after the first failure in a row.
const INITIAL_BACKOFF_MS: u64 = 500;
/// The longest time without requests.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Answers in a row that may be lost before a server counts as unreachable.
///
/// The failure: a server that is well loses one answer in some, each loss ends all
/// requests to it for a while, and its objects are handled by servers that do not
/// know them. A server that is down loses all answers and opens no connection, so
/// that it is found out by the next request.
const TOLERATED_LOST_RESPONSES: u32 = 1;
/// Time in which what is known of a server loses half of its weight. One that is
/// avoided gets no requests that could show that it is well again.
const STATS_HALF_LIFE_MS: f64 = 3_000.0;
/// Requests that must be known of a server before it is compared with others.
const MIN_REQUESTS: f64 = 3.0;
/// How many times more often than others a server must fail to be avoided.
const FAILURE_RATE_FACTOR: f64 = 1.5;
/// How much more often it must fail besides: a few chance failures are no sign.
const FAILURE_RATE_MARGIN: f64 = 0.25;
/// How many times longer than others it must take.
const LATENCY_FACTOR: f64 = 2.5;
/// How much longer it must take besides: answers differ by the way alone.
const LATENCY_MARGIN_MS: f64 = 50.0;

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered, after this time.
    Succeeded {
        /// Time from sending to the answer.
        taken_ms: u64,
    },
    /// It answered with a failure of its own.
    Failed,
    /// It rejected the request because it is full.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after the request was sent, and its answer is lost.
    ResponseLost,
    /// It had not answered when the request's time was over.
    TimedOut {
        /// Time from sending.
        taken_ms: u64,
    },
    /// The client left; nothing is known.
    Cancelled,
}

/// Requests of the last seconds; older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingStats {
    requests: f64,
    failures: f64,
    latency_ms: f64,
}

impl DecayingStats {
    fn scaled(self, factor: f64) -> DecayingStats {
        DecayingStats {
            requests: self.requests * factor,
            failures: self.failures * factor,
            latency_ms: self.latency_ms * factor,
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failures / self.requests
    }

    fn mean_latency_ms(&self) -> f64 {
        self.latency_ms / self.requests
    }
}

/// What answers tell about one backend server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_backoffs: u32,
    consecutive_lost_responses: u32,
    backoff_until_ms: u64,
    stats: DecayingStats,
    updated_at_ms: u64,
}

/// What is usual among the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    failure_rate: f64,
    latency_ms: f64,
}

impl Baseline {
    /// The medians over the servers of which enough is known.
    ///
    /// Not the means: when two servers in five are ten times slower, each of them
    /// takes less than three times the mean.
    pub fn of<'a>(healths: impl Iterator<Item = &'a Health>, now_ms: u64) -> Baseline {
        let stats = healths.map(|health| health.stats(now_ms));
        let sampled: Vec<DecayingStats> =
            stats.filter(|stats| stats.requests >= MIN_REQUESTS).collect();
        Baseline {
            failure_rate: median(sampled.iter().map(DecayingStats::failure_rate).collect()),
            latency_ms: median(sampled.iter().map(DecayingStats::mean_latency_ms).collect()),
        }
    }

    /// Whether a server does so much worse than is usual that its requests are
    /// better off elsewhere.
    ///
    /// The comparison is what matters: under overload all servers reject requests
    /// and answer late. Leaving them for it would send every object to servers
    /// that do not know it, which makes the overload worse and keeps it up.
    pub fn is_outlier(&self, health: &Health, now_ms: u64) -> bool {
        let own = health.stats(now_ms);
        if own.requests < MIN_REQUESTS {
            return false;
        }
        let is_failing =
            own.failure_rate() > self.failure_rate * FAILURE_RATE_FACTOR + FAILURE_RATE_MARGIN;
        let is_slow = own.mean_latency_ms() > self.latency_ms * LATENCY_FACTOR + LATENCY_MARGIN_MS;
        is_failing || is_slow
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        // Nothing is known, so nothing is out of the usual.
        return f64::INFINITY;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

impl Health {
    /// Takes in how a request ended.
    pub fn record(&mut self, outcome: Outcome, now_ms: u64) {
        match outcome {
            Outcome::Succeeded { taken_ms } => {
                self.consecutive_backoffs = 0;
                self.consecutive_lost_responses = 0;
                self.backoff_until_ms = 0;
                self.count(now_ms, false, taken_ms);
            }
            Outcome::Failed | Outcome::Rejected => self.count(now_ms, true, 0),
            Outcome::TimedOut { taken_ms } => self.count(now_ms, true, taken_ms),
            Outcome::Unreachable => {
                self.count(now_ms, true, 0);
                self.back_off(now_ms);
            }
            Outcome::ResponseLost => {
                self.count(now_ms, true, 0);
                self.consecutive_lost_responses += 1;
                if self.consecutive_lost_responses > TOLERATED_LOST_RESPONSES {
                    self.back_off(now_ms);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    fn back_off(&mut self, now_ms: u64) {
        let doublings = self.consecutive_backoffs.min(8);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.backoff_until_ms = now_ms + backoff_ms;
        self.consecutive_backoffs += 1;
    }

    /// Whether no request should be sent at `now_ms`, because none got through.
    pub fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Whether the server could not be reached when it was last tried.
    pub fn was_unreachable(&self) -> bool {
        self.consecutive_backoffs > 0
    }

    fn stats(&self, now_ms: u64) -> DecayingStats {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.stats.scaled((-age_ms / STATS_HALF_LIFE_MS).exp2())
    }

    fn count(&mut self, now_ms: u64, has_failed: bool, taken_ms: u64) {
        self.stats = self.stats(now_ms);
        self.updated_at_ms = now_ms;
        self.stats.requests += 1.0;
        self.stats.failures += f64::from(u8::from(has_failed));
        self.stats.latency_ms += taken_ms as f64;
    }
}
