//! When an answer is late.

/// The time within which the first byte of an answer usually comes.
///
/// Smoothed mean and deviation as in RFC 6298, which needs two numbers and no
/// window of samples. Its four deviations are too few here: service times vary far
/// more than round trips, and one exponential time in thirty is beyond them.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    mean_us: u64,
    deviation_us: u64,
}

impl LatencyEstimator {
    /// Below this, what looks late is noise of the scheduler.
    const MIN_THRESHOLD_MS: u64 = 50;

    /// How many deviations past the mean an answer is late.
    const THRESHOLD_DEVIATIONS: u64 = 10;

    /// Takes in the time that one answer took, in milliseconds.
    pub fn record(&mut self, taken_ms: u64) {
        let taken_us = taken_ms.saturating_mul(1_000);
        if self.mean_us == 0 {
            self.mean_us = taken_us.max(1);
            self.deviation_us = taken_us / 2;
            return;
        }
        let error_us = taken_us.abs_diff(self.mean_us);
        self.deviation_us = (3 * self.deviation_us + error_us) / 4;
        self.mean_us = (7 * self.mean_us + taken_us) / 8;
    }

    /// After how many milliseconds an answer is late; `None` before the first
    /// answer, since nothing is usual yet.
    pub fn late_threshold_ms(&self) -> Option<u64> {
        if self.mean_us == 0 {
            return None;
        }
        let late_us = self.mean_us + LatencyEstimator::THRESHOLD_DEVIATIONS * self.deviation_us;
        Some((late_us / 1_000).max(LatencyEstimator::MIN_THRESHOLD_MS))
    }
}
