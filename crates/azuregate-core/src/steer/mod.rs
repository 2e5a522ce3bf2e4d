//! Which availability zones a request may go to.
//!
//! [`Steer`] is the border between the policy (shares, shifts, caps) and the
//! choice of a backend server. The gateway asks it for a plan for each request,
//! tries the zones in order, and says where the request went.

mod capped;
mod overflow;

pub use capped::CappedSteer;

use crate::{
    names::ZoneName,
    snapshot::{Liveness, Snapshot},
    time::Millis,
    topology::Topology,
};

/// The zones of one request, the one to prefer first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZonePlan {
    /// Zones that the policy and its cap allow. A request that none of them
    /// takes is refused as not run.
    pub zones: Vec<ZoneName>,
    /// Whether there are no zones because the cap leaves no room: the zones that
    /// take over have all that they may have so far.
    pub cap_reached: bool,
}

/// Plans the requests of one service on one instance.
pub trait Steer: Send {
    /// Takes in the configuration in force.
    fn set_snapshot(&mut self, snapshot: &Snapshot);

    /// Plans one request. `epoch_ms` is time since the Unix epoch, `now_ms`
    /// monotonic time.
    fn plan(&mut self, epoch_ms: Millis, now_ms: Millis) -> ZonePlan;

    /// Counts where a planned request went, or that it went nowhere. Each plan
    /// is followed by one call.
    fn record_placement(&mut self, plan: &ZonePlan, zone: Option<&ZoneName>, now_ms: Millis);
}
/// All availability zones, nearest to `from` first.
pub fn nearest_zones(topology: &Topology, from: &ZoneName) -> Vec<ZoneName> {
    let mut zones: Vec<_> = topology.zones().cloned().collect();
    zones.sort_by_key(|zone| topology.distance(from, zone));
    zones
}

/// Steers by nearness alone, whatever the shares say.
#[derive(Clone, Debug)]
pub struct NearestSteer {
    from: ZoneName,
    zones: Vec<ZoneName>,
}

impl NearestSteer {
    /// Plans for an instance in `from`.
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
