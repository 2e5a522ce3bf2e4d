//! Traffic steering: the availability zones that a request may be sent to.
//!
//! [`Steer`] is the interface between the policy (shares, shifts, caps) and the
//! selection of a backend server. The gateway obtains a plan for each request,
//! places the request in one of its zones, and records which one.

mod capped;
mod overflow;

pub use capped::CappedSteer;

use crate::{
    names::ZoneName,
    snapshot::{Liveness, Snapshot},
    time::Millis,
    topology::Topology,
};

/// The zones of one request, in order of preference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZonePlan {
    /// Zones that the policy and its cap allow. A request that none of them can
    /// take is refused without being run.
    pub zones: Vec<ZoneName>,
    /// Whether there are no zones because the cap is reached: the zones that take
    /// over traffic may not receive more of it yet.
    pub cap_reached: bool,
}

/// Plans the requests of one service on one instance.
pub trait Steer: Send {
    /// Applies the configuration in force.
    fn set_snapshot(&mut self, snapshot: &Snapshot);

    /// Returns the plan of one request. `epoch_ms` is the time since the Unix
    /// epoch, `now_ms` the monotonic time.
    fn plan(&mut self, epoch_ms: Millis, now_ms: Millis) -> ZonePlan;

    /// Records the zone that a request was placed in, or `None` if it was refused.
    /// Called once for each plan.
    fn record_placement(&mut self, plan: &ZonePlan, zone: Option<&ZoneName>, now_ms: Millis);
}
/// Returns all availability zones, nearest to `from` first.
pub fn nearest_zones(topology: &Topology, from: &ZoneName) -> Vec<ZoneName> {
    let mut zones: Vec<_> = topology.zones().cloned().collect();
    zones.sort_by_key(|zone| topology.distance(from, zone));
    zones
}

/// Steers to the nearest zones, regardless of the shares of the policy.
#[derive(Clone, Debug)]
pub struct NearestSteer {
    from: ZoneName,
    zones: Vec<ZoneName>,
}

impl NearestSteer {
    /// Creates the steering of an instance in zone `from`.
    pub fn new(from: &ZoneName) -> NearestSteer {
        NearestSteer { from: from.clone(), zones: Vec::new() }
    }
}

impl Steer for NearestSteer {
    fn set_snapshot(&mut self, snapshot: &Snapshot) {
        let serves = |zone: &ZoneName| {
            let mut servers = snapshot.backends.values().flat_map(|servers| servers.iter());
            servers.any(|server| server.zone == *zone && server.liveness == Liveness::Live)
        };
        self.zones = nearest_zones(&snapshot.topology, &self.from);
        self.zones.retain(serves);
    }

    fn plan(&mut self, _epoch_ms: Millis, _now_ms: Millis) -> ZonePlan {
        ZonePlan { zones: self.zones.clone(), cap_reached: false }
    }

    fn record_placement(&mut self, _plan: &ZonePlan, _zone: Option<&ZoneName>, _now_ms: Millis) {}
}
