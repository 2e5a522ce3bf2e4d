//! Clocks behind a border, so that tests drive time by hand.

use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use azuregate_core::time::Millis;

/// Reads the time.
pub trait Clock: Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> Millis;

    /// Time since the Unix epoch; may jump either way.
    fn epoch(&self) -> Millis;
}

/// A clock that is shared between tasks.
pub type SharedClock = Arc<dyn Clock>;

/// The clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time starts now.
    pub fn new() -> SystemClock {
        SystemClock { origin: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn epoch(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
