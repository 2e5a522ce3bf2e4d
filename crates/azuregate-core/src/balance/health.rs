//! What answers tell about a backend server.

/// Time without requests after the first failure in a row.
const FIRST_PAUSE_MS: u64 = 500;
/// The longest time without requests.
const LONGEST_PAUSE_MS: u64 = 4_000;
/// Answers in a row that may be lost before a server counts as unreachable.
///
/// The failure: a server that is well loses one answer in some, each loss ends all
/// requests to it for a while, and its objects are handled by servers that do not
/// know them. A server that is down loses all answers and opens no connection, so
/// that it is found out by the next request.
const LOST_ANSWERS_BORNE: u32 = 1;
/// Time in which what is known of a server loses half of its weight. One that is
/// avoided gets no requests that could show that it is well again.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Requests that must be known of a server before it is compared with others.
const LEAST_KNOWN: f64 = 3.0;
/// How many times more often than others a server must fail to be avoided.
const FAILING_FACTOR: f64 = 1.5;
/// How much more often it must fail besides: a few chance failures are no sign.
const FAILING_MARGIN: f64 = 0.25;
/// How many times longer than others it must take.
const SLOW_FACTOR: f64 = 2.5;
/// How much longer it must take besides: answers differ by the way alone.
const SLOW_MARGIN_MS: f64 = 50.0;

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
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after the request was sent, and its answer is lost.
    AnswerLost,
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
struct Recent {
    requests: f64,
    failures: f64,
    latency_ms: f64,
}

impl Recent {
    fn scaled(self, factor: f64) -> Recent {
        Recent {
            requests: self.requests * factor,
            failures: self.failures * factor,
            latency_ms: self.latency_ms * factor,
        }
    }

    fn failing_share(&self) -> f64 {
        self.failures / self.requests
    }

    fn mean_latency_ms(&self) -> f64 {
        self.latency_ms / self.requests
    }
}

/// What answers tell about one backend server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    lost_in_row: u32,
    paused_until_ms: u64,
    recent: Recent,
    updated_at_ms: u64,
}

/// What is usual among the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    failing_share: f64,
    latency_ms: f64,
}

impl Usual {
    /// The medians over the servers of which enough is known.
    ///
    /// Not the means: when two servers in five are ten times slower, each of them
    /// takes less than three times the mean.
    pub fn of<'a>(healths: impl Iterator<Item = &'a Health>, now_ms: u64) -> Usual {
        let recent = healths.map(|health| health.recent(now_ms));
        let known: Vec<Recent> = recent.filter(|recent| recent.requests >= LEAST_KNOWN).collect();
        Usual {
            failing_share: median(known.iter().map(Recent::failing_share).collect()),
            latency_ms: median(known.iter().map(Recent::mean_latency_ms).collect()),
        }
    }

    /// Whether a server does so much worse than is usual that its requests are
    /// better off elsewhere.
    ///
    /// The comparison is what matters: under overload all servers reject requests
    /// and answer late. Leaving them for it would send every object to servers
    /// that do not know it, which makes the overload worse and keeps it up.
    pub fn is_outlier(&self, health: &Health, now_ms: u64) -> bool {
        let own = health.recent(now_ms);
        if own.requests < LEAST_KNOWN {
            return false;
        }
        let is_failing = own.failing_share() > self.failing_share * FAILING_FACTOR + FAILING_MARGIN;
        let is_slow = own.mean_latency_ms() > self.latency_ms * SLOW_FACTOR + SLOW_MARGIN_MS;
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
            Outcome::Answered { taken_ms } => {
                self.failures_in_row = 0;
                self.lost_in_row = 0;
                self.paused_until_ms = 0;
                self.count(now_ms, false, taken_ms);
            }
            Outcome::Failed | Outcome::Full => self.count(now_ms, true, 0),
            Outcome::TimedOut { taken_ms } => self.count(now_ms, true, taken_ms),
            Outcome::Unreachable => {
                self.count(now_ms, true, 0);
                self.pause(now_ms);
            }
            Outcome::AnswerLost => {
                self.count(now_ms, true, 0);
                self.lost_in_row += 1;
                if self.lost_in_row > LOST_ANSWERS_BORNE {
                    self.pause(now_ms);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    fn pause(&mut self, now_ms: u64) {
        let doublings = self.failures_in_row.min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        self.paused_until_ms = now_ms + pause_ms;
        self.failures_in_row += 1;
    }

    /// Whether no request should be sent at `now_ms`, because none got through.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Whether the server could not be reached when it was last tried.
    pub fn was_unreachable(&self) -> bool {
        self.failures_in_row > 0
    }

    fn recent(&self, now_ms: u64) -> Recent {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.recent.scaled((-age_ms / HALF_LIFE_MS).exp2())
    }

    fn count(&mut self, now_ms: u64, has_failed: bool, taken_ms: u64) {
        self.recent = self.recent(now_ms);
        self.updated_at_ms = now_ms;
        self.recent.requests += 1.0;
        self.recent.failures += f64::from(u8::from(has_failed));
        self.recent.latency_ms += taken_ms as f64;
    }
}
