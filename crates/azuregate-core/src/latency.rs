//! Estimates when an answer is late.

/// Estimates the usual time to the first byte of an answer.
///
/// Keeps a smoothed mean and deviation as in RFC 6298. The threshold uses more than the
/// four deviations of the RFC, since service times vary far more than round-trip times.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    mean_us: u64,
    deviation_us: u64,
}

impl LatencyEstimator {
    /// Lower limit of the threshold; shorter delays are scheduling noise.
    const MIN_THRESHOLD_MS: u64 = 50;

    /// Number of deviations above the mean from which an answer is late.
    const THRESHOLD_DEVIATIONS: u64 = 10;

    /// Records the time that one answer took, in milliseconds.
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

    /// Returns the time from which an answer is late, in milliseconds, or `None` before
    /// the first answer.
    pub fn late_threshold_ms(&self) -> Option<u64> {
        if self.mean_us == 0 {
            return None;
        }
        let late_us = self.mean_us + LatencyEstimator::THRESHOLD_DEVIATIONS * self.deviation_us;
        Some((late_us / 1_000).max(LatencyEstimator::MIN_THRESHOLD_MS))
    }
}
