//! Median and spread of a figure over runs.

use std::fmt;

use serde::Serialize;

/// A figure measured several times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How often it was measured.
    pub count: usize,
    /// The middle one; of an even number, the mean of the two in the middle.
    pub median: f64,
    /// 99th percentile: the largest for up to 100 measurements.
    pub p99: f64,
    /// The smallest.
    pub min: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// The spread of some figures; zeros if there are none.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Spread {
        let mut sorted: Vec<f64> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let count = sorted.len();
        let (Some(&min), Some(&max)) = (sorted.first(), sorted.last()) else {
            return Spread::default();
        };
        let median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2.0;
        let p99 = sorted[((count as f64 * 0.99).ceil() as usize).clamp(1, count) - 1];
        Spread { count, median, p99, min, max }
    }
}

impl fmt::Display for Spread {
    /// Median and spread, with two digits after the point unless the format
    /// says otherwise.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(2);
        write!(f, "{:.digits$} ({:.digits$} to {:.digits$})", self.median, self.min, self.max)
    }
}
