//! The choice of a backend server for one request.

use std::sync::Arc;

use super::{
    Backend, BackendHandle, Balancer,
    backends::{Distance, Node},
};
use crate::names::{RegionName, ServiceName};

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// A hash of the object that it is about.
    pub object: u64,
    /// Whether its body is so large that the way counts more than a server that
    /// knows the object.
    pub is_large: bool,
    /// Servers that have had the request already.
    pub tried: &'a [BackendHandle],
    /// The only regions that may serve it; all if empty.
    pub home_regions: &'a [RegionName],
}

/// The server that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Names the server to the balancer.
    pub handle: BackendHandle,
    /// The server.
    pub backend: Arc<Backend>,
}

/// Requests of one instance beyond a server's slots that may wait there.
///
/// A short queue at the server that knows the object is worth more than a free
/// slot at one that does not: work on an unknown object takes about three times
/// as long, and pushes other objects out of that server's memory.
const QUEUE_LIMIT: u32 = 3;

/// What speaks against a server, the least first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Penalty {
    None,
    Full,
    Failing,
    Paused,
}

impl Balancer {
    /// Chooses a server for a request and counts the request there until
    /// [`Balancer::end`]; `None` if no server may get it.
    pub fn choose(&mut self, query: &Query<'_>, now_ms: u64) -> Option<Choice> {
        let handle = self.best(query, now_ms)?;
        let node = self.node_mut(handle)?;
        node.in_flight += 1;
        if node.is_cold(now_ms) {
            node.cold.sent(now_ms);
        }
        Some(Choice { handle, backend: Arc::clone(&node.backend) })
    }

    fn best(&mut self, query: &Query<'_>, now_ms: u64) -> Option<BackendHandle> {
        let mut nodes = self.services.remove(query.service)?;
        let candidates = nodes.iter_mut().filter_map(|node| {
            let is_open = self.is_open(node, query, now_ms);
            is_open.then(|| (rank(node, query, now_ms), node.handle))
        });
        let best = candidates.min_by_key(|&(rank, _)| rank).map(|(_, handle)| handle);
        self.services.insert(query.service.clone(), nodes);
        best
    }

    fn is_open(&self, node: &mut Node, query: &Query<'_>, now_ms: u64) -> bool {
        !node.backend.is_draining
            && !node.is_evacuated
            && !query.tried.contains(&node.handle)
            && self.is_allowed_region(&node.backend.zone, query.home_regions)
            && (!node.is_cold(now_ms) || node.cold.has_room(node.cold_limit, now_ms))
            && node.in_flight < node.backend.slots + QUEUE_LIMIT
    }
}

type Rank = (Penalty, u32, Distance, std::cmp::Reverse<u64>);

fn rank(node: &Node, query: &Query<'_>, now_ms: u64) -> Rank {
    let penalty = penalty(node, now_ms);
    // Among full servers the shortest queue wins.
    let queue = if penalty == Penalty::Full { node.in_flight } else { 0 };
    let distance = if query.is_large { node.distance } else { Distance::Zone };
    (penalty, queue, distance, std::cmp::Reverse(mix(node.seed ^ query.object)))
}

fn penalty(node: &Node, now_ms: u64) -> Penalty {
    if node.health.is_paused(now_ms) {
        return Penalty::Paused;
    }
    if node.health.is_failing() {
        return Penalty::Failing;
    }
    if node.in_flight >= node.backend.slots { Penalty::Full } else { Penalty::None }
}

/// Mixes the bits of `x` so that neighbouring values have unrelated results; the
/// finalizer of MurmurHash3.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
