//! Which entry instances a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    names::{InstanceId, ServiceName, ZoneName},
    route::{
        group::{self, GroupId},
        hash,
    },
    snapshot::{Instance, Liveness, Snapshot},
};

/// How long callers may keep an answer, in seconds.
pub const MAX_AGE_S: u64 = 5;

/// How many entry instances an answer names at the most.
pub const ENTRIES_LIMIT: usize = 8;

/// How many orders of the entry instances there are.
///
/// Answers are made once for each order and kept, so there are few; with 16 the
/// callers of one zone spread over its instances to within a sixteenth.
pub const VARIANTS: u8 = 16;

/// The answer to `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// The service that was asked for.
    pub service: ServiceName,
    /// Entry instances, the one to prefer first.
    pub entries: Vec<Entry>,
}

/// One entry instance in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The instance.
    pub id: InstanceId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What to send as `Azuregate-Home` with an idempotency key, in the first
    /// request and in each repeat; absent while its start is not known here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<String>,
}

/// The entry instances that take new work, the one to prefer first.
///
/// At most [`ENTRIES_LIMIT`] are named: an answer that named all would grow with
/// the deployment, in bytes and in time. Callers at `salt` (their address, say)
/// get the instances in the order of [`rank`].
pub fn entries(snapshot: &Snapshot, service: &ServiceName, zone: &ZoneName, salt: &str) -> Entries {
    let ranked = rank(snapshot, service, zone, variant(salt));
    let entry = |instance: &Instance| Entry {
        id: instance.id.clone(),
        addr: instance.traffic_addr(),
        zone: instance.zone.clone(),
        home: None,
    };
    Entries { service: service.clone(), entries: ranked.into_iter().map(entry).collect() }
}

/// Which of the [`VARIANTS`] orders callers at `salt` get.
pub fn variant(salt: &str) -> u8 {
    (hash::stable_hash(&[salt]) % u64::from(VARIANTS)) as u8
}

/// The first [`ENTRIES_LIMIT`] entry instances for callers near `zone`.
///
/// A dispatcher of the zone's own backend servers comes first, since requests
/// that reach it need no hand-over. The others follow nearest first; among those
/// that are equally far the variant decides, so that callers spread over them.
pub fn rank<'a>(
    snapshot: &'a Snapshot,
    service: &ServiceName,
    zone: &ZoneName,
    variant: u8,
) -> Vec<&'a Instance> {
    let mut live: Vec<&Instance> =
        snapshot.instances.iter().filter(|instance| instance.liveness == Liveness::Live).collect();
    let dispatcher = dispatcher(snapshot, service, zone, variant, &live);
    let salt = variant.to_string();
    live.sort_by_cached_key(|instance| {
        let distance = snapshot.topology.distance(zone, &instance.zone);
        let dispatches = dispatcher.as_ref() == Some(&instance.id);
        (!dispatches, distance, hash::stable_hash(&[instance.id.as_str(), &salt]))
    });
    live.truncate(ENTRIES_LIMIT);
    live
}

/// The dispatcher of one of the groups in `zone`, if the service has servers
/// there; callers of different variants are spread over the groups.
fn dispatcher(
    snapshot: &Snapshot,
    service: &ServiceName,
    zone: &ZoneName,
    variant: u8,
    live: &[&Instance],
) -> Option<InstanceId> {
    let servers = snapshot.backends.get(service)?;
    let in_zone = servers.iter().filter(|server| server.zone == *zone).count();
    if in_zone == 0 {
        return None;
    }
    let part = u16::from(variant) % group::partition_count(in_zone);
    let id = GroupId { zone: zone.clone(), part };
    let mut live = live.to_vec();
    group::sort_by_preference(&mut live, &snapshot.topology, service.as_str(), &id);
    Some(live.first()?.id.clone())
}
