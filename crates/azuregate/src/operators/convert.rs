//! Policies between their own type and that of the operators' calls.

use std::{collections::BTreeMap, fmt};

use azuregate_core::{
    names::{BackendId, ServiceName, ZoneName},
    policy::{Cap, DEFAULT_SHIFT_DELAY_MS, Policy, Shares, Shift},
    time::Millis,
};
use azuregate_schema::v1;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

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
        shift_delay_ms: Some(policy.shift_delay_ms),
    }
}

/// The policy that operators want.
///
/// # Errors
///
/// When a field is missing or out of bounds; the error names it.
pub fn from_proto(policy: v1::Policy) -> Result<Policy, PolicyError> {
    let service = service_name(&policy.service)?;
    let zone_share_ppm = shares_from_proto("zone_share_ppm", &policy.zone_share_ppm)?;
    for id in &policy.drains {
        check_name("drains", id)?;
    }
    let shift = policy.shift.map(shift_from_proto).transpose()?;
    let policy = Policy {
        service,
        version: policy.version,
        operation_id: policy.operation_id,
        zone_share_ppm,
        cap: cap_from_proto("cap", policy.cap)?,
        shift,
        shift_delay_ms: policy.shift_delay_ms.unwrap_or(DEFAULT_SHIFT_DELAY_MS),
        drains: policy.drains.iter().map(|id| BackendId::new(id)).collect(),
        timeout_ms: policy.timeout_ms,
        queue_ms: policy.queue_ms,
    };
    policy.check().map_err(|e| error(e.to_string()))?;
    Ok(policy)
}

/// The name of a service that operators may set a policy for.
///
/// # Errors
///
/// When the name is empty, too long, or holds what has a meaning in the keys of
/// rows or cannot stand in a Host header.
pub fn service_name(text: &str) -> Result<ServiceName, PolicyError> {
    check_name("service", text)?;
    if text.chars().any(|c| c.is_ascii_uppercase()) {
        return Err(error(format!("service must be in lower case, as in Host, not {text:?}")));
    }
    Ok(ServiceName::new(text))
}

/// Checks the text of a name.
///
/// # Errors
///
/// When it is empty, too long, or holds anything but letters, digits, dots,
/// hyphens and underscores.
pub fn check_name(field: &str, text: &str) -> Result<(), PolicyError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(error(format!(
        "{field} must be 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens or underscores, \
         not {text:?}"
    )))
}

pub(crate) fn shift_to_proto(shift: &Shift) -> v1::Shift {
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

pub(crate) fn cap_to_proto(cap: Cap) -> v1::Cap {
    v1::Cap { share_ppm: cap.share_ppm, window_ms: cap.window_ms }
}

fn cap_from_proto(field: &str, cap: Option<v1::Cap>) -> Result<Cap, PolicyError> {
    let Some(v1::Cap { share_ppm, window_ms }) = cap else {
        return Err(error(format!("{field} is missing")));
    };
    Ok(Cap { share_ppm, window_ms })
}

pub(crate) fn shares_to_proto(shares: &Shares) -> BTreeMap<String, u32> {
    shares.iter().map(|(zone, &ppm)| (zone.to_string(), ppm)).collect()
}

/// Shares as operators give them; what they add up to is not looked at.
pub(crate) fn shares_from_proto(
    field: &str,
    shares: &BTreeMap<String, u32>,
) -> Result<Shares, PolicyError> {
    for zone in shares.keys() {
        check_name(field, zone)?;
    }
    Ok(shares.iter().map(|(zone, &ppm)| (ZoneName::new(zone), ppm)).collect())
}

fn error(detail: impl Into<String>) -> PolicyError {
    PolicyError { detail: detail.into() }
}
