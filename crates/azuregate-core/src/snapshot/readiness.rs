//! Whether an instance may serve requests, and why.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an instance may serve requests, and why.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// It has started and has no configuration yet.
    #[default]
    Starting,
    /// It was paused and may have missed changes.
    #[serde(rename = "woken")]
    Resumed,
    /// Its configuration was confirmed by the platform.
    Platform,
    /// The platform is down; its configuration matches that of this many peers.
    Peers(usize),
}

impl Readiness {
    /// Returns whether the instance may serve requests.
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
