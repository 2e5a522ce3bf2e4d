//! Passive health checks: request outcomes, backoff and outlier detection.

/// Backoff after the first of several connection failures in a row; doubled for each further one.
const INITIAL_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 4_000;
/// Lost responses in a row that do not start a backoff.
///
/// Without this, a single broken connection to a healthy server would move its objects to
/// servers that do not have them cached. A server that is down is found by the next request,
/// which cannot connect.
const TOLERATED_LOST_RESPONSES: u32 = 1;
/// Half-life of the statistics. They decay because an outlier gets no requests that could
/// show its recovery.
const STATS_HALF_LIFE_MS: f64 = 3_000.0;
/// Number of recent requests below which a server is not compared with others.
const MIN_REQUESTS: f64 = 3.0;
/// An outlier's failure rate exceeds `baseline * FAILURE_RATE_FACTOR + FAILURE_RATE_MARGIN`.
const FAILURE_RATE_FACTOR: f64 = 1.5;
/// Keeps a few chance failures from making an outlier where the baseline is near zero.
const FAILURE_RATE_MARGIN: f64 = 0.25;
/// An outlier's mean latency exceeds `baseline * LATENCY_FACTOR + LATENCY_MARGIN_MS`.
const LATENCY_FACTOR: f64 = 2.5;
/// Covers differences in network latency between servers.
const LATENCY_MARGIN_MS: f64 = 50.0;

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server responded, without a server error.
    Succeeded {
        /// Time from sending the request to the response head.
        taken_ms: u64,
    },
    /// The server responded with an error, or with a response that cannot be used.
    Failed,
    /// The server rejected the request without running it.
    Rejected,
    /// The same, and it asked for a pause. That says how much it takes, not how well it works.
    PushedBack,
    /// No connection could be established.
    Unreachable,
    /// The connection broke after the request was sent and before the response.
    ResponseLost,
    /// The request's deadline passed before the response.
    TimedOut {
        /// Time from sending the request to its deadline.
        taken_ms: u64,
    },
    /// The client went away; says nothing about the server.
    Cancelled,
}

/// Exponentially decaying sums over recent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingStats {
    requests: f64,
    failures: f64,
    total_latency_ms: f64,
}

impl DecayingStats {
    fn scaled(self, factor: f64) -> DecayingStats {
        DecayingStats {
            requests: self.requests * factor,
            failures: self.failures * factor,
            total_latency_ms: self.total_latency_ms * factor,
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failures / self.requests
    }

    fn mean_latency_ms(&self) -> f64 {
        self.total_latency_ms / self.requests
    }
}

/// Health of one backend server, derived from the outcomes of its requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_backoffs: u32,
    consecutive_lost_responses: u32,
    backoff_until_ms: u64,
    stats: DecayingStats,
    updated_at_ms: u64,
}

/// Median failure rate and latency of the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    failure_rate: f64,
    latency_ms: f64,
}

impl Baseline {
    /// Returns the medians over the servers with enough recent requests.
    ///
    /// Medians, because outliers raise a mean: with two of five servers ten times slower
    /// than the others, neither takes three times the mean.
    pub fn of<'a>(healths: impl Iterator<Item = &'a Health>, now_ms: u64) -> Baseline {
        let stats = healths.map(|health| health.stats(now_ms));
        let sampled: Vec<DecayingStats> =
            stats.filter(|stats| stats.requests >= MIN_REQUESTS).collect();
        Baseline {
            failure_rate: median(sampled.iter().map(DecayingStats::failure_rate).collect()),
            latency_ms: median(sampled.iter().map(DecayingStats::mean_latency_ms).collect()),
        }
    }

    /// Returns whether a server's failure rate or latency is far above the baseline.
    ///
    /// The thresholds are relative: under a general overload all servers fail and are slow,
    /// and moving every object to another server would make all caches cold.
    pub fn is_outlier(&self, health: &Health, now_ms: u64) -> bool {
        let stats = health.stats(now_ms);
        if stats.requests < MIN_REQUESTS {
            return false;
        }
        let is_failing =
            stats.failure_rate() > self.failure_rate * FAILURE_RATE_FACTOR + FAILURE_RATE_MARGIN;
        let is_slow =
            stats.mean_latency_ms() > self.latency_ms * LATENCY_FACTOR + LATENCY_MARGIN_MS;
        is_failing || is_slow
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        // Without a baseline no server is an outlier.
        return f64::INFINITY;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: Outcome, now_ms: u64) {
        match outcome {
            Outcome::Succeeded { taken_ms } => {
                self.consecutive_backoffs = 0;
                self.consecutive_lost_responses = 0;
                self.backoff_until_ms = 0;
                self.update_stats(now_ms, false, taken_ms);
            }
            Outcome::Failed | Outcome::Rejected => self.update_stats(now_ms, true, 0),
            Outcome::TimedOut { taken_ms } => self.update_stats(now_ms, true, taken_ms),
            Outcome::Unreachable => {
                self.update_stats(now_ms, true, 0);
                self.back_off(now_ms);
            }
            Outcome::ResponseLost => {
                self.update_stats(now_ms, true, 0);
                self.consecutive_lost_responses += 1;
                if self.consecutive_lost_responses > TOLERATED_LOST_RESPONSES {
                    self.back_off(now_ms);
                }
            }
            Outcome::PushedBack | Outcome::Cancelled => {}
        }
    }

    fn back_off(&mut self, now_ms: u64) {
        let doublings = self.consecutive_backoffs.min(8);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.backoff_until_ms = now_ms + backoff_ms;
        self.consecutive_backoffs += 1;
    }

    /// Returns whether the server gets no requests at `now_ms`, after connection failures.
    pub fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Returns whether the server was unreachable at the last attempt.
    pub fn was_unreachable(&self) -> bool {
        self.consecutive_backoffs > 0
    }

    fn stats(&self, now_ms: u64) -> DecayingStats {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.stats.scaled((-age_ms / STATS_HALF_LIFE_MS).exp2())
    }

    fn update_stats(&mut self, now_ms: u64, has_failed: bool, taken_ms: u64) {
        self.stats = self.stats(now_ms);
        self.updated_at_ms = now_ms;
        self.stats.requests += 1.0;
        self.stats.failures += f64::from(u8::from(has_failed));
        self.stats.total_latency_ms += taken_ms as f64;
    }
}
