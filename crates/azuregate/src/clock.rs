//! Clocks behind a trait, so that tests control the time.

use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use azuregate_core::time::Millis;

/// Reads the time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, since an arbitrary origin.
    fn now(&self) -> Millis;

    /// Returns the time since the Unix epoch; it may jump in either direction.
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
    /// Creates a clock whose monotonic time starts at 0 now.
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
