//! The rules by which one of the open servers is chosen.

use std::fmt;

use super::BackendHandle;
use crate::topology::Distance;

/// How well a server has done lately, the best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthStatus {
    /// Like the others.
    Healthy,
    /// Much worse than the other servers of its service.
    Outlier,
    /// The last requests did not get through.
    InBackoff,
}

/// A server that may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Names it to the balancer.
    pub handle: BackendHandle,
    /// A hash of the server and the request's object, the same on all instances of a
    /// region.
    pub hash: u64,
    /// How far it is from the instance that decides.
    pub distance: Distance,
    /// How well it has done.
    pub status: HealthStatus,
    /// Requests of all instances that it has, as far as is known.
    pub in_flight: u32,
    /// Requests that it processes at the same time.
    pub slots: u32,
}

impl Candidate {
    /// Whether it has a place, with at most `queue` requests beyond its slots.
    pub fn has_capacity(&self, queue: u32) -> bool {
        self.in_flight < self.slots + queue
    }
}

/// What a rule made of the candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decision {
    /// The server that gets the request; `None` if it is refused.
    pub chosen: Option<BackendHandle>,
    /// The servers that were considered, the preferred one first.
    pub considered: [Option<Candidate>; 2],
    /// How many candidates there were.
    pub eligible_servers: usize,
}

/// A rule of placement. It has no state: what it goes by is in the candidates, so
/// that all instances come to the same choice.
pub trait LoadBalancingPolicy: fmt::Debug {
    /// Chooses among `candidates` for a request. `has_large_body` says that its body is so
    /// large that the way counts more than a server that knows the object.
    fn choose(&self, has_large_body: bool, candidates: &[Candidate]) -> Decision;
}

/// Requests beyond its slots that may wait at the first server of an object before
/// the second is used: about what is done within one request's time.
///
/// A short queue at the server that knows the object is worth more than a free
/// slot at one that does not: work on an unknown object takes about three times
/// as long, and pushes other objects out of that server's memory.
const SHORT_QUEUE: u32 = 3;
/// The same for large bodies. Most of the cost of leaving is the way of the bytes,
/// and a zone with few servers would be full for good if it could not be left sooner.
const SHORT_QUEUE_LARGE: u32 = 2;
/// Requests beyond its slots that may wait at a server at all. Those behind them
/// would be late, and are better told at once.
const QUEUE_LIMIT: u32 = 5;

/// Sends the requests for one object to the same two servers.
///
/// An object has two servers, the first two by rendezvous hashing among those that
/// do well. A large body has a server of the own zone as its first, and the object's
/// first as its second. The second is used when the first is full and it has a
/// free slot itself. Otherwise the request waits at the first or is refused: under
/// overload requests would wander over all servers, each would see more objects
/// than it remembers, all work would be cold, and the overload would outlast its
/// cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObjectAffinity;

impl LoadBalancingPolicy for ObjectAffinity {
    fn choose(&self, has_large_body: bool, candidates: &[Candidate]) -> Decision {
        let owners = Best::of(candidates, |server| rank(server, Distance::SameZone));
        let (first, second, queue) = if has_large_body {
            let nearest = Best::of(candidates, |server| rank(server, zone_or_far(server))).first;
            (nearest, nearest.and_then(|near| owners.other_than(near)), SHORT_QUEUE_LARGE)
        } else {
            (owners.first, owners.second, SHORT_QUEUE)
        };
        let at_first = |queue| first.filter(|server| server.has_capacity(queue));
        let at_second = || second.filter(|server| server.has_capacity(0));
        let chosen = at_first(queue).or_else(at_second).or_else(|| at_first(QUEUE_LIMIT));
        Decision {
            chosen: chosen.map(|server| server.handle),
            considered: [first.copied(), second.copied()],
            eligible_servers: candidates.len(),
        }
    }
}

/// A server of the own zone comes first; any other is as good as the one that knows
/// the object, whatever its way.
fn zone_or_far(server: &Candidate) -> Distance {
    match server.distance {
        Distance::SameZone => Distance::SameZone,
        Distance::SameRegion | Distance::OtherRegion => Distance::OtherRegion,
    }
}

/// Orders servers: by their status, then by how far they are, then by the object.
/// The lowest rank is the best. One number, since the order is asked for each
/// server at each choice; the hash keeps 56 of its bits.
fn rank(server: &Candidate, distance: Distance) -> u64 {
    let group = (server.status as u64) << 2 | distance as u64;
    group << 56 | !server.hash >> 8
}

/// The best two servers in some order.
struct Best<'a> {
    first: Option<&'a Candidate>,
    second: Option<&'a Candidate>,
}

impl<'a> Best<'a> {
    fn of(candidates: &'a [Candidate], rank: impl Fn(&Candidate) -> u64) -> Best<'a> {
        let mut best = Best { first: None, second: None };
        let (mut first_rank, mut second_rank) = (u64::MAX, u64::MAX);
        for candidate in candidates {
            let rank = rank(candidate);
            if rank < first_rank {
                (best.second, second_rank) = (best.first, first_rank);
                (best.first, first_rank) = (Some(candidate), rank);
            } else if rank < second_rank {
                (best.second, second_rank) = (Some(candidate), rank);
            }
        }
        best
    }

    fn other_than(&self, server: &Candidate) -> Option<&'a Candidate> {
        let found = [self.first, self.second].into_iter().flatten();
        found.into_iter().find(|found| found.handle != server.handle)
    }
}
