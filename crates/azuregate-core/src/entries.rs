//! Selects the entry instances that a caller should use.

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

/// How long callers may cache an answer, in seconds.
pub const MAX_AGE_S: u64 = 5;

/// Maximum number of entry instances in an answer.
pub const MAX_ENTRIES: usize = 8;

/// Number of rankings of the entry instances.
///
/// Answers are computed and cached per ranking. 16 rankings spread the callers of one
/// zone over its instances to within a sixteenth.
pub const RANKING_VARIANTS: u8 = 16;

/// The answer to `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// The requested service.
    pub service: ServiceName,
    /// The entry instances, in order of preference.
    pub entries: Vec<Entry>,
}

/// One entry instance in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The instance.
    pub id: InstanceId,
    /// The address for requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The value to send as `Azuregate-Home` with an idempotency key, in the first
    /// request and in each repeat; absent while the start of the instance is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<String>,
}

/// Returns the entry instances that take new work, in order of preference.
///
/// The answer holds at most [`MAX_ENTRIES`] instances, so that its size does not grow
/// with the deployment. `salt`, such as the caller's address, selects the variant of
/// the ranking (see [`rank`]).
pub fn entries(snapshot: &Snapshot, service: &ServiceName, zone: &ZoneName, salt: &str) -> Entries {
    let ranked = rank(snapshot, service, zone, ranking_variant(salt));
    let entry = |instance: &Instance| Entry {
        id: instance.id.clone(),
        addr: instance.traffic_addr(),
        zone: instance.zone.clone(),
        home: None,
    };
    Entries { service: service.clone(), entries: ranked.into_iter().map(entry).collect() }
}

/// Returns which of the [`RANKING_VARIANTS`] rankings the callers with `salt` get.
pub fn ranking_variant(salt: &str) -> u8 {
    (hash::stable_hash(&[salt]) % u64::from(RANKING_VARIANTS)) as u8
}

/// Returns the first [`MAX_ENTRIES`] entry instances for callers near `zone`.
///
/// A dispatcher of the zone's own backend servers ranks first, since requests that
/// reach it need no hand-over. The others follow by distance; among instances at equal
/// distance the variant decides, so that callers spread over them.
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
        let is_dispatcher = dispatcher.as_ref() == Some(&instance.id);
        (!is_dispatcher, distance, hash::stable_hash(&[instance.id.as_str(), &salt]))
    });
    live.truncate(MAX_ENTRIES);
    live
}

/// Returns the dispatcher of one of the groups in `zone`, or `None` if the service has
/// no servers there. The variants spread over the groups.
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
