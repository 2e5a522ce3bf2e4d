//! Groups of backend servers, each with one dispatcher instance.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    names::{BackendId, StartNumber, ZoneName},
    route::hash,
    snapshot::Instance,
    topology::Topology,
};

/// Approximate upper bound of the number of backend servers in a group.
///
/// One instance dispatches for a whole group, so a large service in one
/// availability zone is partitioned.
pub const TARGET_GROUP_SIZE: usize = 64;

/// Identifies a group of backend servers of one service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GroupId {
    /// The availability zone of its servers.
    pub zone: ZoneName,
    /// The partition of the zone, from 0.
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

/// Returns the number of partitions of a zone with `servers` backend servers.
pub fn partition_count(servers: usize) -> u16 {
    u16::try_from(servers.div_ceil(TARGET_GROUP_SIZE)).unwrap_or(u16::MAX).max(1)
}

/// Returns the partition that a server belongs to.
///
/// Uses rendezvous hashing, so that adding a partition moves only about one in
/// `partitions` servers.
pub fn partition_of(server: &BackendId, partitions: u16) -> u16 {
    if partitions <= 1 {
        return 0;
    }
    let score = |part: &u16| hash::stable_hash(&[server.as_str(), &part.to_string()]);
    (0..partitions).max_by_key(score).unwrap_or(0)
}

/// Sorts instances by their preference as the dispatcher of a group: those in
/// the group's availability zone first, then those in its region, then the
/// rest; ties are broken by rendezvous hashing.
///
/// All instances with the same list agree on the order, and the failure of one
/// instance moves only the groups that it dispatched for.
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

/// The load of a group, as its dispatcher reports it to one other instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupLoad {
    /// The dispatcher's start number; `seen` counts from that start.
    pub start: StartNumber,
    /// Number of free slots.
    pub free: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of slots within the learnt concurrency limits.
    pub slots: u32,
    /// Mean time that a request holds a slot, in milliseconds.
    pub service_ms: u32,
    /// Number of requests received from the instance that the report is for.
    /// Requests that were still in transit are not included in the other fields.
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
