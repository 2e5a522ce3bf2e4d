//! Why an instance serves or does not.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why an instance serves or does not.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It has started and knows of no configuration.
    #[default]
    Starting,
    /// It was paused and may have missed changes.
    #[serde(rename = "woken")]
    Resumed,
    /// It has what the platform holds.
    Platform,
    /// The platform is down; it has the highest versions of so many peers.
    Peers(usize),
}

impl Readiness {
    /// Whether an instance may serve.
    pub fn is_ready(self) -> bool {
        matches!(self, Readiness::Platform | Readiness::Peers(_))
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Readiness::Starting => f.write_str("no configuration in force yet"),
            Readiness::Resumed => f.write_str("paused before, and not confirmed since"),
            Readiness::Platform => f.write_str("confirmed by the platform"),
            Readiness::Peers(count) => write!(f, "confirmed by {count} peers, platform down"),
        }
    }
}
