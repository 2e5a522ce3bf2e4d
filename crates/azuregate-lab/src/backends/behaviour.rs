//! How a backend server behaves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How service times are distributed round their mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// All alike.
    #[default]
    Fixed,
    /// Exponential, as independent short and long requests give.
    Exponential,
    /// One in ten takes 5.5 times the mean, the others half of it.
    TwoPoint,
}

impl Distribution {
    /// Draws a time with mean `mean_ms`.
    pub fn draw(self, mean_ms: u64, rng: &mut fastrand::Rng) -> Duration {
        let factor = match self {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => -(1.0 - rng.f64()).ln(),
            Distribution::TwoPoint if rng.u8(..10) == 0 => 5.5,
            Distribution::TwoPoint => 0.5,
        };
        Duration::from_secs_f64(factor * mean_ms as f64 / 1_000.0)
    }
}

/// How one backend server behaves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Mean time that a request takes.
    pub service_ms: u64,
    /// How that time varies.
    pub distribution: Distribution,
    /// Refuses everything, saying that it did not run.
    pub shed: bool,
    /// Answers, and says that it is leaving.
    pub leaving: bool,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Ends answers in the middle.
    pub cut: bool,
    /// Load reports tell what was true so long ago.
    pub report_lag_ms: u64,
    /// Load reports always say that so many slots are in use.
    pub report_lie: Option<u32>,
    /// So many requests after a start or an idle time are slower.
    pub cold_requests: u32,
    /// By how much they are.
    pub cold_extra_ms: u64,
    /// After so long without a request the caches are cold again; 0 for never.
    pub cold_after_idle_ms: u64,
}
