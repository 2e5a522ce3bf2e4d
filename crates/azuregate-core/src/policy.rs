//! What operators decide for a service.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, ServiceName, ZoneName},
    time::Millis,
};

/// One whole, in parts per million; shares of traffic are given in these.
pub const WHOLE_PPM: u32 = 1_000_000;

/// A steering policy: one row of the platform's `policy` table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The service that it steers.
    pub service: ServiceName,
    /// Counts the accepted changes; an instance only ever applies a higher one.
    pub version: u64,
    /// Names the change that led to this version, so that a change whose answer
    /// was lost can be asked after and is never applied twice.
    pub operation_id: String,
    /// Share of traffic for each availability zone that may serve, in parts per
    /// million. Zones that are left out serve nothing.
    ///
    /// An empty table leaves the choice to nearness.
    pub zone_share_ppm: BTreeMap<ZoneName, u32>,
    /// What bounds any movement of traffic, failing over included.
    pub cap: Cap,
    /// The movement in progress, if any.
    #[serde(default)]
    pub shift: Option<Shift>,
    /// Backend servers that operators take out of service.
    #[serde(default)]
    pub drains: BTreeSet<BackendId>,
    /// How long a request may take when the caller sets no limit.
    pub timeout_ms: u64,
    /// How long a request may wait for a slot.
    pub queue_ms: u64,
}

/// The largest share of traffic that may move in any window of time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// The share, in parts per million of the service's requests.
    pub share_ppm: u32,
    /// The length of the window.
    pub window_ms: u64,
}

/// A movement of traffic between availability zones.
///
/// Its position is worked out from this row and the time, so that an instance
/// that starts in the middle starts at the row's position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Shares at the start, in parts per million.
    pub from_share_ppm: BTreeMap<ZoneName, u32>,
    /// Shares at the end, in parts per million.
    pub to_share_ppm: BTreeMap<ZoneName, u32>,
    /// When it starts to move, in milliseconds since the Unix epoch.
    pub start_at_ms: Millis,
    /// What bounds it.
    pub cap: Cap,
}
