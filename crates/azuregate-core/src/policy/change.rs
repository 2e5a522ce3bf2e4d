//! Changes that operators may make to a policy.
//!
//! Each change returns the next version of the row and leaves the current one
//! unchanged. The platform's compare-and-set orders concurrent changes: one
//! operator succeeds, the other gets a conflict.

use std::fmt;

use crate::{
    names::BackendId,
    policy::{Cap, Policy, Shares, Shift, WHOLE_PPM},
    time::Millis,
};

/// The reasons for which a change is rejected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ChangeErrorKind {
    /// A share is more than the whole, or the shares do not add up to it.
    InvalidShares,
    /// The share of the cap is zero or more than the whole, or its window is zero.
    InvalidCap,
    /// A timeout is zero.
    InvalidTimeout,
    /// The shares are those in force.
    SharesUnchanged,
    /// Shares may change by a shift only, since they would jump otherwise.
    SharesChangedWithoutShift,
    /// A shift is in progress; it must end or be stopped first.
    ShiftInProgress,
    /// No shift is in progress.
    NoShiftInProgress,
    /// The backend server is already drained.
    AlreadyDrained,
    /// The backend server is not drained.
    NotDrained,
}

/// A rejected change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeError {
    kind: ChangeErrorKind,
    detail: String,
}

impl ChangeError {
    fn new(kind: ChangeErrorKind, detail: impl Into<String>) -> ChangeError {
        ChangeError { kind, detail: detail.into() }
    }

    /// Returns why the change is rejected.
    pub fn kind(&self) -> ChangeErrorKind {
        self.kind
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for ChangeError {}

impl Policy {
    /// Starts a shift to `to_share_ppm` once the policy's delay has passed since
    /// `now_ms`, which counts from the Unix epoch. `cap` overrides the policy's own
    /// cap.
    ///
    /// # Errors
    ///
    /// When the shares or the cap are invalid, the shares are those in force, or a
    /// shift is in progress.
    pub fn start_shift(
        &self,
        to_share_ppm: &Shares,
        cap: Option<Cap>,
        now_ms: Millis,
    ) -> Result<Policy, ChangeError> {
        let cap = cap.unwrap_or(self.cap);
        check_shares("to_share_ppm", to_share_ppm)?;
        check_cap("cap", cap)?;
        let mut next = self.with_ended_shift_applied(now_ms).next_version();
        if let Some(shift) = &next.shift {
            let detail = format!("a shift is in progress until {} ms", shift.end_at_ms().0);
            return Err(ChangeError::new(ChangeErrorKind::ShiftInProgress, detail));
        }
        if next.zone_share_ppm == *to_share_ppm {
            let detail = "the shares are the ones in force";
            return Err(ChangeError::new(ChangeErrorKind::SharesUnchanged, detail));
        }
        next.shift = Some(Shift {
            from_share_ppm: next.zone_share_ppm.clone(),
            to_share_ppm: to_share_ppm.clone(),
            start_at_ms: now_ms + Millis(self.shift_delay_ms),
            cap,
        });
        Ok(next)
    }

    /// Stops the shift in progress at its position at `now_ms`, which counts from the
    /// Unix epoch.
    ///
    /// A shift from or to distance-based routing returns to its start, since its
    /// position differs between instances. The cap limits the way back as well.
    ///
    /// # Errors
    ///
    /// When no shift is in progress.
    pub fn stop_shift(&self, now_ms: Millis) -> Result<Policy, ChangeError> {
        let mut next = self.with_ended_shift_applied(now_ms).next_version();
        let Some(shift) = next.shift.take() else {
            return Err(ChangeError::new(
                ChangeErrorKind::NoShiftInProgress,
                "no shift is in progress",
            ));
        };
        next.zone_share_ppm = shift.shares_at(now_ms).unwrap_or(shift.from_share_ppm);
        Ok(next)
    }

    /// Takes a backend server out of service.
    ///
    /// # Errors
    ///
    /// When it is already drained.
    pub fn drain(&self, backend: &BackendId) -> Result<Policy, ChangeError> {
        let mut next = self.clone().next_version();
        if !next.drains.insert(backend.clone()) {
            let detail = format!("{backend} is drained already");
            return Err(ChangeError::new(ChangeErrorKind::AlreadyDrained, detail));
        }
        Ok(next)
    }

    /// Puts a backend server back into service.
    ///
    /// # Errors
    ///
    /// When it is not drained.
    pub fn undrain(&self, backend: &BackendId) -> Result<Policy, ChangeError> {
        let mut next = self.clone().next_version();
        if !next.drains.remove(backend) {
            let detail = format!("{backend} is not drained");
            return Err(ChangeError::new(ChangeErrorKind::NotDrained, detail));
        }
        Ok(next)
    }

    /// Checks whether operators may replace this policy as a whole by `wanted`.
    ///
    /// # Errors
    ///
    /// When `wanted` is invalid, or would change the shares or the shift.
    pub fn check_replace(&self, wanted: &Policy, now_ms: Millis) -> Result<(), ChangeError> {
        wanted.check()?;
        let now = self.with_ended_shift_applied(now_ms);
        let keeps_shares = [&self.zone_share_ppm, &now.zone_share_ppm]
            .contains(&&wanted.zone_share_ppm)
            && [&self.shift, &now.shift].contains(&&wanted.shift);
        if keeps_shares {
            return Ok(());
        }
        let detail = "shares move by a shift only: start or stop one instead";
        Err(ChangeError::new(ChangeErrorKind::SharesChangedWithoutShift, detail))
    }

    /// Checks the bounds of all fields.
    ///
    /// # Errors
    ///
    /// When a field is out of bounds; the error names it.
    pub fn check(&self) -> Result<(), ChangeError> {
        check_shares("zone_share_ppm", &self.zone_share_ppm)?;
        check_cap("cap", self.cap)?;
        if self.timeout_ms == 0 {
            let detail = "timeout_ms must be at least 1";
            return Err(ChangeError::new(ChangeErrorKind::InvalidTimeout, detail));
        }
        let Some(shift) = &self.shift else {
            return Ok(());
        };
        check_shares("shift.from_share_ppm", &shift.from_share_ppm)?;
        check_shares("shift.to_share_ppm", &shift.to_share_ppm)?;
        check_cap("shift.cap", shift.cap)
    }

    /// Returns the policy in which a shift that has ended is replaced by its final
    /// shares.
    pub fn with_ended_shift_applied(&self, now_ms: Millis) -> Policy {
        let mut policy = self.clone();
        if let Some(shift) = policy.shift.take_if(|shift| shift.end_at_ms() <= now_ms) {
            policy.zone_share_ppm = shift.to_share_ppm;
        }
        policy
    }

    fn next_version(mut self) -> Policy {
        self.version += 1;
        self
    }
}

fn check_shares(field: &str, shares: &Shares) -> Result<(), ChangeError> {
    let sum: u64 = shares.values().map(|&ppm| u64::from(ppm)).sum();
    if shares.is_empty() || sum == u64::from(WHOLE_PPM) {
        return Ok(());
    }
    let detail = format!("{field} adds up to {sum}, not {WHOLE_PPM}");
    Err(ChangeError::new(ChangeErrorKind::InvalidShares, detail))
}

fn check_cap(field: &str, cap: Cap) -> Result<(), ChangeError> {
    let detail = if cap.share_ppm == 0 || cap.share_ppm > WHOLE_PPM {
        format!("{field}.share_ppm must be 1 to {WHOLE_PPM}")
    } else if cap.window_ms == 0 {
        format!("{field}.window_ms must be at least 1")
    } else {
        return Ok(());
    };
    Err(ChangeError::new(ChangeErrorKind::InvalidCap, detail))
}
