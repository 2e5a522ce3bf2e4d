//! Groups of backend servers, each with one dispatcher.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, StartNumber, ZoneName},
    route::hash,
    snapshot::Instance,
    topology::Topology,
};

/// How many backend servers one group holds at the most, about.
///
/// One instance carries the dispatching of a whole group, so a large service in
/// one availability zone is split.
pub const TARGET_GROUP_SIZE: usize = 64;

/// Names a group of one service's backend servers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId {
    /// The availability zone of all its servers.
    pub zone: ZoneName,
    /// Tells the parts of a split zone from each other.
    pub part: u16,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.part)
    }
}

impl FromStr for GroupId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<GroupId, ParseIntError> {
        let (zone, part) = text.rsplit_once('/').unwrap_or((text, ""));
        Ok(GroupId { zone: ZoneName::new(zone), part: part.parse()? })
    }
}

/// How many parts a zone with `servers` backend servers is split into.
pub fn partition_count(servers: usize) -> u16 {
    u16::try_from(servers.div_ceil(TARGET_GROUP_SIZE)).unwrap_or(u16::MAX).max(1)
}

/// The part that a server belongs to.
///
/// By rendezvous hashing, so that only one server in `parts` moves when a part
/// is added.
pub fn partition_of(server: &BackendId, partitions: u16) -> u16 {
    if partitions <= 1 {
        return 0;
    }
    let score = |part: &u16| hash::stable_hash(&[server.as_str(), &part.to_string()]);
    (0..partitions).max_by_key(score).unwrap_or(0)
}

/// Sorts instances into the order in which they dispatch for a group: those in
/// the group's availability zone first, then its region, then the rest; by
/// rendezvous hashing among those that are equally far.
///
/// All instances with the same list agree on it, and the death of one moves
/// only its own groups.
pub fn sort_by_preference(
    instances: &mut [&Instance],
    topology: &Topology,
    service: &str,
    group: &GroupId,
) {
    let part = group.part.to_string();
    instances.sort_by_cached_key(|instance| {
        let distance = topology.distance(&group.zone, &instance.zone);
        let parts = [instance.id.as_str(), service, group.zone.as_str(), &part];
        (distance, std::cmp::Reverse(hash::stable_hash(&parts)))
    });
}

/// What a dispatcher says of its group to one other instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupLoad {
    /// The dispatcher's start; `seen` counts from it.
    pub start: StartNumber,
    /// Slots that are free.
    pub free: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots in all, as far as learnt limits allow.
    pub slots: u32,
    /// How long a request holds a slot, on average.
    pub service_ms: u32,
    /// How many requests it has had from the instance that it speaks to. The
    /// others that the instance has sent are not in the figures above.
    pub seen: u64,
}

impl fmt::Display for GroupLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GroupLoad { start, free, queued, slots, service_ms, seen } = self;
        write!(f, "{start} {free} {queued} {slots} {service_ms} {seen}")
    }
}

impl FromStr for GroupLoad {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<GroupLoad, ParseIntError> {
        let mut fields = text.split(' ');
        let mut next = || fields.next().unwrap_or_default();
        Ok(GroupLoad {
            start: StartNumber(next().parse()?),
            free: next().parse()?,
            queued: next().parse()?,
            slots: next().parse()?,
            service_ms: next().parse()?,
            seen: next().parse()?,
        })
    }
}
