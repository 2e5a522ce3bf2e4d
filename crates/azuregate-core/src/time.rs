//! Points in time as plain values, so that the callers supply the clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
///
/// Points in time inside a process are monotonic; those in rows of the platform count
/// from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    ///
    /// Saturates, so that a clock that jumps backwards does not yield a huge age.
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
