//! Policies that operators set for services, and the changes that they may make.

mod change;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, ServiceName, ZoneName},
    time::Millis,
};

pub use change::{ChangeError, ChangeErrorKind};

/// One whole in parts per million, the unit of traffic shares.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Default of [`Policy::shift_delay_ms`], in milliseconds.
pub const DEFAULT_SHIFT_DELAY_MS: u64 = 13_000;

/// Share of traffic for each availability zone, in parts per million. If empty, zones
/// are chosen by distance.
pub type Shares = BTreeMap<ZoneName, u32>;

/// The steering policy of a service: one row of the platform's `policy` table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The service.
    pub service: ServiceName,
    /// Number of accepted changes; an instance only applies a policy with a higher
    /// version.
    pub version: u64,
    /// Identifies the change that led to this version, so that a change whose answer
    /// was lost can be looked up and is never applied twice.
    pub operation_id: String,
    /// Share of traffic for each availability zone, in parts per million. Zones without
    /// a share get no traffic.
    ///
    /// If empty, zones are chosen by distance.
    pub zone_share_ppm: Shares,
    /// Limit on any movement of traffic, including failover.
    pub cap: Cap,
    /// The shift in progress, if any.
    #[serde(default)]
    pub shift: Option<Shift>,
    /// Delay between the commit of a shift and its start, in milliseconds.
    ///
    /// The change must be in force on every instance before the shift starts; otherwise
    /// callers that switch between an instance that has it and one that has not would
    /// move their whole traffic at once.
    #[serde(default = "default_shift_delay_ms")]
    pub shift_delay_ms: u64,
    /// Backend servers that operators have taken out of service.
    #[serde(default)]
    pub drains: BTreeSet<BackendId>,
    /// Timeout of a request for which the caller sets none.
    pub timeout_ms: u64,
    /// How long a request may wait for a slot.
    pub queue_ms: u64,
}

fn default_shift_delay_ms() -> u64 {
    DEFAULT_SHIFT_DELAY_MS
}

/// Limit on the share of traffic that may move within a time window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// The share, in parts per million of the service's requests.
    pub share_ppm: u32,
    /// The length of the window.
    pub window_ms: u64,
}

/// A gradual movement of traffic between availability zones.
///
/// Its progress depends only on this row and the time, so that an instance that starts
/// during the shift continues at the same position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Shares at the start, in parts per million.
    pub from_share_ppm: Shares,
    /// Shares at the end, in parts per million.
    pub to_share_ppm: Shares,
    /// When the shift starts, in milliseconds since the Unix epoch.
    pub start_at_ms: Millis,
    /// Limit on the movement.
    pub cap: Cap,
}
