//! What operators decide for a service, and the changes they may make to it.

mod change;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, ServiceName, ZoneName},
    time::Millis,
};

pub use change::{ChangeError, ChangeErrorKind};

/// One whole, in parts per million; shares of traffic are given in these.
pub const WHOLE_PPM: u32 = 1_000_000;

/// The time in which a change is in force on every instance, in milliseconds,
/// unless the policy says otherwise.
pub const DEFAULT_SHIFT_DELAY_MS: u64 = 13_000;

/// Share of traffic for each availability zone, in parts per million. An empty
/// table leaves the choice to nearness.
pub type Shares = BTreeMap<ZoneName, u32>;

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
    pub zone_share_ppm: Shares,
    /// What bounds any movement of traffic, failing over included.
    pub cap: Cap,
    /// The movement in progress, if any.
    #[serde(default)]
    pub shift: Option<Shift>,
    /// How long after its commit a shift starts to move, in milliseconds.
    ///
    /// Until then the change must be in force everywhere: while some instances
    /// move and others have not heard, callers that change from one to the other
    /// move the whole at once.
    #[serde(default = "default_shift_delay_ms")]
    pub shift_delay_ms: u64,
    /// Backend servers that operators take out of service.
    #[serde(default)]
    pub drains: BTreeSet<BackendId>,
    /// How long a request may take when the caller sets no limit.
    pub timeout_ms: u64,
    /// How long a request may wait for a slot.
    pub queue_ms: u64,
}

fn default_shift_delay_ms() -> u64 {
    DEFAULT_SHIFT_DELAY_MS
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
    pub from_share_ppm: Shares,
    /// Shares at the end, in parts per million.
    pub to_share_ppm: Shares,
    /// When it starts to move, in milliseconds since the Unix epoch.
    pub start_at_ms: Millis,
    /// What bounds it.
    pub cap: Cap,
}
