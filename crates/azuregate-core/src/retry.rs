//! How much is tried again, and when an answer is late.

/// One whole token of the budget, in its internal unit.
const TOKEN_PPM: u64 = 1_000_000;

/// Lets retries be at most a share of recent requests.
///
/// The failure: servers slow down, every request is tried again, and the load
/// doubles at the worst moment. With a budget, retries die out under load: each
/// request deposits a fraction of a token, and each retry takes a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_ppm: u64,
    limit_ppm: u64,
    held_ppm: u64,
}

impl RetryBudget {
    /// A full budget: retries may be `share_ppm` of requests, and `burst` of
    /// them may come at once.
    pub fn new(share_ppm: u32, burst: u32) -> RetryBudget {
        let limit_ppm = u64::from(burst) * TOKEN_PPM;
        RetryBudget { share_ppm: u64::from(share_ppm), limit_ppm, held_ppm: limit_ppm }
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.held_ppm = (self.held_ppm + self.share_ppm).min(self.limit_ppm);
    }

    /// Takes one retry, if there is one.
    pub fn try_take(&mut self) -> bool {
        let Some(left_ppm) = self.held_ppm.checked_sub(TOKEN_PPM) else {
            return false;
        };
        self.held_ppm = left_ppm;
        true
    }
}

impl Default for RetryBudget {
    /// One retry for five requests, ten at once.
    fn default() -> RetryBudget {
        RetryBudget::new(200_000, 10)
    }
}

/// The time within which the first byte of an answer usually comes.
///
/// Smoothed mean and deviation as in RFC 6298, which needs two numbers and no
/// window of samples.
#[derive(Clone, Debug, Default)]
pub struct UsualTime {
    mean_us: u64,
    deviation_us: u64,
}

impl UsualTime {
    /// Below this, what looks late is noise of the scheduler.
    const FLOOR_MS: u64 = 50;

    /// Takes in the time that one answer took, in milliseconds.
    pub fn record(&mut self, taken_ms: u64) {
        let taken_us = taken_ms.saturating_mul(1_000);
        if self.mean_us == 0 {
            self.mean_us = taken_us.max(1);
            self.deviation_us = taken_us / 2;
            return;
        }
        let off_us = taken_us.abs_diff(self.mean_us);
        self.deviation_us = (3 * self.deviation_us + off_us) / 4;
        self.mean_us = (7 * self.mean_us + taken_us) / 8;
    }

    /// After how many milliseconds an answer is late; `None` before the first
    /// answer, since nothing is usual yet.
    pub fn late_after_ms(&self) -> Option<u64> {
        if self.mean_us == 0 {
            return None;
        }
        let late_us = self.mean_us + 4 * self.deviation_us;
        Some((late_us / 1_000).max(UsualTime::FLOOR_MS))
    }
}
