//! Points in time as plain values, so that decisions never read a clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
///
/// Which clock it belongs to is said where it is used: monotonic time inside a
/// process, time since the Unix epoch in rows kept by the platform.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The span from `earlier` to `self`, or zero when `earlier` is later.
    ///
    /// Clocks jump backwards; a span that saturates keeps a jump from turning
    /// into an age of half a million years.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, span: Millis) -> Millis {
        Millis(self.0.saturating_sub(span.0))
    }
}
