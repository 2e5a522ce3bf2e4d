//! Faults that the simulated platform can inject.

use serde::{Deserialize, Serialize};

/// Faults injected into calls. The default injects none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call before it takes effect.
    pub down: bool,
    /// Delay of every call before it takes effect.
    pub slow_ms: u64,
    /// Number of upcoming writes that take effect but whose response is dropped.
    pub lose_answers: u32,
    /// Accepts connections but never responds.
    pub silent: bool,
    /// Rejects reads above this rate before they take effect.
    pub reads_per_s: Option<u32>,
    /// Rejects writes above this rate before they take effect.
    pub writes_per_s: Option<u32>,
    /// Delay until readers see a change of the instance list.
    pub list_lag_ms: u64,
}

impl Faults {
    /// Returns limits at the rates that the platform guarantees to its users.
    pub fn guaranteed_rates() -> Faults {
        Faults { reads_per_s: Some(2_000), writes_per_s: Some(500), ..Faults::default() }
    }
}
