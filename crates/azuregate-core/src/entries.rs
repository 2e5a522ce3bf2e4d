//! Which entry instances a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    names::{InstanceId, ServiceName, ZoneName},
    snapshot::{Liveness, Snapshot},
};

/// How long callers may keep an answer, in seconds.
pub const MAX_AGE_S: u64 = 5;

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

/// The entry instances that take new work, nearest to `zone` first.
///
/// Instances at the same distance are ordered by a hash of their name and
/// `salt` (the caller's address, say), so that callers spread over them.
pub fn entries(snapshot: &Snapshot, service: &ServiceName, zone: &ZoneName, salt: &str) -> Entries {
    let mut live: Vec<_> = snapshot
        .instances
        .iter()
        .filter(|instance| instance.liveness == Liveness::Live)
        .map(|instance| {
            let distance = snapshot.topology.distance(zone, &instance.zone);
            let spread = crate::route::hash::score(&[instance.id.as_str(), salt]);
            (distance, spread, instance)
        })
        .collect();
    live.sort_by_key(|&(distance, spread, _)| (distance, spread));
    let entries = live
        .into_iter()
        .map(|(_, _, instance)| Entry {
            id: instance.id.clone(),
            addr: instance.traffic_addr(),
            zone: instance.zone.clone(),
            home: None,
        })
        .collect();
    Entries { service: service.clone(), entries }
}
