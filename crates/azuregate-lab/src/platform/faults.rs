//! What the stand-in is told to do wrong.

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call, without effect.
    pub down: bool,
    /// Delays every call by this much before its effect.
    pub slow_ms: u64,
    /// So many of the next writes take effect, but their answer is lost.
    pub lose_answers: u32,
    /// Accepts connections and never answers.
    pub silent: bool,
    /// Refuses reads beyond this rate, without effect.
    pub reads_per_s: Option<u32>,
    /// Refuses writes beyond this rate, without effect.
    pub writes_per_s: Option<u32>,
    /// Changes of the instance list are told so much later.
    pub list_lag_ms: u64,
}

impl Faults {
    /// The capacity that users may count on: several hundred writes and two
    /// thousand reads a second.
    pub fn guaranteed_rates() -> Faults {
        Faults { reads_per_s: Some(2_000), writes_per_s: Some(500), ..Faults::default() }
    }
}
