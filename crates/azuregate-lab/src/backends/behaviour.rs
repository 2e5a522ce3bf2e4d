//! Configurable behaviour and faults of a simulated backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The distribution of service times around their mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// All equal to the mean.
    #[default]
    Fixed,
    /// Exponential.
    Exponential,
    /// 5.5 times the mean with probability 0.1, otherwise half of the mean.
    TwoPoint,
}

impl Distribution {
    /// Draws a service time from the distribution with mean `mean_ms`.
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

/// The behaviour of one backend server. The default injects no faults.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Mean service time of a request.
    pub service_ms: u64,
    /// Distribution of the service times.
    pub distribution: Distribution,
    /// Rejects every request with the outcome `not-run`.
    pub shed: bool,
    /// Adds `Connection: close` to every response.
    pub leaving: bool,
    /// Accepts requests but never responds.
    pub silent: bool,
    /// Truncates response bodies.
    pub cut: bool,
    /// Age of the load that is reported.
    pub report_lag_ms: u64,
    /// Number of slots in use to report in place of the true one.
    pub report_lie: Option<u32>,
    /// Number of requests that find cold caches after a start or an idle time.
    pub cold_requests: u32,
    /// Extra service time of a request that finds cold caches.
    pub cold_extra_ms: u64,
    /// Time without requests after which the caches are cold again; 0 means never.
    pub cold_after_idle_ms: u64,
}
