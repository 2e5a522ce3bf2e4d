//! Load-balancing policies: the choice among the eligible servers.

use std::fmt;

use super::BackendHandle;
use crate::topology::Distance;

/// Health of a server relative to the others of its service, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthStatus {
    /// Performs like the others.
    Healthy,
    /// Performs much worse than the others.
    Outlier,
    /// Is leaving, as another instance reports.
    Leaving,
    /// Was unreachable and is in backoff.
    InBackoff,
}

/// A server that is eligible for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Identifies it to the balancer.
    pub handle: BackendHandle,
    /// Rendezvous hash of the server and the request's object, the same on all instances of a
    /// region.
    pub hash: u64,
    /// Its distance from this instance.
    pub distance: Distance,
    /// Its health.
    pub status: HealthStatus,
    /// Requests in flight there from all instances, as far as known.
    pub in_flight: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
}

impl Candidate {
    /// Returns whether it accepts a request with at most `queue` requests beyond its slots.
    pub fn has_capacity(&self, queue: u32) -> bool {
        self.in_flight < self.slots + queue
    }
}

/// The result of a policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decision {
    /// The chosen server; `None` if the request is refused.
    pub chosen: Option<BackendHandle>,
    /// The servers considered, the preferred one first.
    pub considered: [Option<Candidate>; 2],
    /// Number of candidates.
    pub eligible_servers: usize,
}

/// A load-balancing policy. It is stateless, so that all instances make the same choice from
/// the same candidates.
pub trait LoadBalancingPolicy: fmt::Debug {
    /// Chooses among `candidates` for a request. With `has_large_body`, transferring the body
    /// costs more than a server that does not have the object cached.
    fn choose(&self, has_large_body: bool, candidates: &[Candidate]) -> Decision;
}

/// Queue length at an object's first server from which the second one is used.
///
/// Waiting in a short queue is faster than a cache miss, which takes about three times as long
/// as a hit and evicts other objects. A queue of this length is served in about the time of one
/// request.
const SPILLOVER_QUEUE: u32 = 3;
/// The same for large bodies. It is shorter, since a zone with few servers would stay overloaded if
/// requests could not leave it early.
const SPILLOVER_QUEUE_LARGE: u32 = 2;
/// Queue length at which requests are refused, since they would be served late.
const MAX_QUEUE_LENGTH: u32 = 5;

/// Sends the requests for one object to the same two servers.
///
/// They are the first two by rendezvous hashing among the healthiest. A large body prefers a
/// server of the local zone, with the object's first server as the second choice.
///
/// The second server is used only if the first is full and the second has a free slot;
/// otherwise the request waits at the first or is refused. Spreading an overload over all
/// servers would overflow their caches, and the cache misses would sustain the overload.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObjectAffinity;

impl LoadBalancingPolicy for ObjectAffinity {
    fn choose(&self, has_large_body: bool, candidates: &[Candidate]) -> Decision {
        let ranked = TopTwo::of(candidates, |server| rank(server, Distance::SameZone));
        let (first, second, queue) = if has_large_body {
            let nearest =
                TopTwo::of(candidates, |server| rank(server, local_zone_first(server))).first;
            (nearest, nearest.and_then(|near| ranked.other_than(near)), SPILLOVER_QUEUE_LARGE)
        } else {
            (ranked.first, ranked.second, SPILLOVER_QUEUE)
        };
        let at_first = |queue| first.filter(|server| server.has_capacity(queue));
        let at_second = || second.filter(|server| server.has_capacity(0));
        let chosen = at_first(queue).or_else(at_second).or_else(|| at_first(MAX_QUEUE_LENGTH));
        Decision {
            chosen: chosen.map(|server| server.handle),
            considered: [first.copied(), second.copied()],
            eligible_servers: candidates.len(),
        }
    }
}

/// Distinguishes only servers inside and outside the local zone.
fn local_zone_first(server: &Candidate) -> Distance {
    match server.distance {
        Distance::SameZone => Distance::SameZone,
        Distance::SameRegion | Distance::OtherRegion => Distance::OtherRegion,
    }
}

/// Ranks a server by health status, `distance` and hash; the lowest rank is the best. Packed into
/// one integer because it is computed for every server at every choice; the hash keeps 56 bits.
fn rank(server: &Candidate, distance: Distance) -> u64 {
    let group = (server.status as u64) << 2 | distance as u64;
    group << 56 | !server.hash >> 8
}

/// The two servers with the lowest rank.
struct TopTwo<'a> {
    first: Option<&'a Candidate>,
    second: Option<&'a Candidate>,
}

impl<'a> TopTwo<'a> {
    fn of(candidates: &'a [Candidate], rank: impl Fn(&Candidate) -> u64) -> TopTwo<'a> {
        let mut top = TopTwo { first: None, second: None };
        let (mut first_rank, mut second_rank) = (u64::MAX, u64::MAX);
        for candidate in candidates {
            let rank = rank(candidate);
            if rank < first_rank {
                (top.second, second_rank) = (top.first, first_rank);
                (top.first, first_rank) = (Some(candidate), rank);
            } else if rank < second_rank {
                (top.second, second_rank) = (Some(candidate), rank);
            }
        }
        top
    }

    fn other_than(&self, server: &Candidate) -> Option<&'a Candidate> {
        let found = [self.first, self.second].into_iter().flatten();
        found.into_iter().find(|found| found.handle != server.handle)
    }
}
