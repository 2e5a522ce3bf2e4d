//! Policies between their own type and that of the operators' calls.

use std::fmt;

use azuregate_core::{
    names::{BackendId, ServiceName, ZoneName},
    policy::{Cap, Policy, SHIFT_DELAY_MS, Shift, WHOLE_PPM},
    time::Millis,
};
use azuregate_schema::v1;

/// A policy that operators may not set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicyError {
    detail: String,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for PolicyError {}

type Shares = std::collections::BTreeMap<ZoneName, u32>;

/// The policy as operators see it.
pub fn to_proto(policy: &Policy) -> v1::Policy {
    v1::Policy {
        service: policy.service.to_string(),
        version: policy.version,
        operation_id: policy.operation_id.clone(),
        zone_share_ppm: shares_to_proto(&policy.zone_share_ppm),
        cap: Some(cap_to_proto(policy.cap)),
        shift: policy.shift.as_ref().map(shift_to_proto),
        drains: policy.drains.iter().map(ToString::to_string).collect(),
        timeout_ms: policy.timeout_ms,
        queue_ms: policy.queue_ms,
    }
}

/// The policy that operators want.
///
/// # Errors
///
/// When a field is missing or out of bounds; the error names it.
pub fn from_proto(policy: v1::Policy) -> Result<Policy, PolicyError> {
    if policy.service.is_empty() {
        return Err(error("service must not be empty"));
    }
    if policy.timeout_ms == 0 {
        return Err(error("timeout_ms must be at least 1"));
    }
    let zone_share_ppm = shares_from_proto("zone_share_ppm", &policy.zone_share_ppm)?;
    let shift = policy.shift.map(shift_from_proto).transpose()?;
    Ok(Policy {
        service: ServiceName::new(&policy.service),
        version: policy.version,
        operation_id: policy.operation_id,
        zone_share_ppm,
        cap: cap_from_proto("cap", policy.cap)?,
        shift,
        shift_delay_ms: SHIFT_DELAY_MS,
        drains: policy.drains.iter().map(|id| BackendId::new(id)).collect(),
        timeout_ms: policy.timeout_ms,
        queue_ms: policy.queue_ms,
    })
}

fn shift_to_proto(shift: &Shift) -> v1::Shift {
    v1::Shift {
        from_share_ppm: shares_to_proto(&shift.from_share_ppm),
        to_share_ppm: shares_to_proto(&shift.to_share_ppm),
        start_at_ms: shift.start_at_ms.0,
        cap: Some(cap_to_proto(shift.cap)),
    }
}

fn shift_from_proto(shift: v1::Shift) -> Result<Shift, PolicyError> {
    Ok(Shift {
        from_share_ppm: shares_from_proto("shift.from_share_ppm", &shift.from_share_ppm)?,
        to_share_ppm: shares_from_proto("shift.to_share_ppm", &shift.to_share_ppm)?,
        start_at_ms: Millis(shift.start_at_ms),
        cap: cap_from_proto("shift.cap", shift.cap)?,
    })
}

fn cap_to_proto(cap: Cap) -> v1::Cap {
    v1::Cap { share_ppm: cap.share_ppm, window_ms: cap.window_ms }
}

fn cap_from_proto(field: &str, cap: Option<v1::Cap>) -> Result<Cap, PolicyError> {
    let Some(cap) = cap else {
        return Err(error(format!("{field} is missing")));
    };
    if cap.share_ppm == 0 || cap.share_ppm > WHOLE_PPM {
        return Err(error(format!("{field}.share_ppm must be 1 to {WHOLE_PPM}")));
    }
    if cap.window_ms == 0 {
        return Err(error(format!("{field}.window_ms must be at least 1")));
    }
    Ok(Cap { share_ppm: cap.share_ppm, window_ms: cap.window_ms })
}

fn shares_to_proto(shares: &Shares) -> std::collections::BTreeMap<String, u32> {
    shares.iter().map(|(zone, &ppm)| (zone.to_string(), ppm)).collect()
}

fn shares_from_proto(
    field: &str,
    shares: &std::collections::BTreeMap<String, u32>,
) -> Result<Shares, PolicyError> {
    let sum: u64 = shares.values().map(|&ppm| u64::from(ppm)).sum();
    if !shares.is_empty() && sum != u64::from(WHOLE_PPM) {
        return Err(error(format!("{field} adds up to {sum}, not {WHOLE_PPM}")));
    }
    Ok(shares.iter().map(|(zone, &ppm)| (ZoneName::new(zone), ppm)).collect())
}

fn error(detail: impl Into<String>) -> PolicyError {
    PolicyError { detail: detail.into() }
}
