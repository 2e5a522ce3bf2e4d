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
}
