/*!
The links between instances.

A small deployment is a full mesh. A large one is a random graph of bounded degree that
every instance computes from the instance names alone: each instance picks a few
instances of its own zone and one in each of several other zones by rendezvous hashing,
and a link exists where either side picked the other. Such a graph stays connected when
many instances fail at once, and a change reaches 680 instances in a few hops (see
`examples/spread.rs`).
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    names::{InstanceId, ZoneName},
    route::hash,
    snapshot::Instance,
};

/// Largest number of instances that form a full mesh.
pub const MAX_FULL_MESH: usize = 24;
/// Number of instances that each instance picks in its own zone.
const SAME_ZONE_LINKS: usize = 2;
/// Number of other zones in which each instance picks one instance.
const OTHER_ZONE_LINKS: usize = 6;

/// The neighbours of each instance of a deployment.
pub type LinkGraph = BTreeMap<InstanceId, BTreeSet<InstanceId>>;

/// Returns the neighbours of `self_id` among `instances`.
pub fn neighbours(self_id: &InstanceId, instances: &[Instance]) -> BTreeSet<InstanceId> {
    link_graph(instances).remove(self_id).unwrap_or_default()
}

/// Returns all links among `instances`; each link is listed at both of its ends.
pub fn link_graph(instances: &[Instance]) -> LinkGraph {
    let zones = by_zone(instances);
    let mut graph: LinkGraph =
        instances.iter().map(|instance| (instance.id.clone(), BTreeSet::new())).collect();
    for instance in instances {
        for picked in picked_links(instance, instances, &zones) {
            if let Some(linked) = graph.get_mut(picked) {
                linked.insert(instance.id.clone());
            }
            if let Some(linked) = graph.get_mut(&instance.id) {
                linked.insert(picked.clone());
            }
        }
    }
    graph
}

type Zones<'a> = BTreeMap<&'a ZoneName, Vec<&'a InstanceId>>;

fn by_zone(instances: &[Instance]) -> Zones<'_> {
    let mut zones: Zones<'_> = BTreeMap::new();
    for instance in instances {
        zones.entry(&instance.zone).or_default().push(&instance.id);
    }
    zones
}

fn picked_links<'a>(
    instance: &Instance,
    instances: &'a [Instance],
    zones: &Zones<'a>,
) -> Vec<&'a InstanceId> {
    if instances.len() <= MAX_FULL_MESH {
        let others = instances.iter().filter(|other| other.id != instance.id);
        return others.map(|other| &other.id).collect();
    }
    let score = |name: &str| hash::stable_hash(&[instance.id.as_str(), name]);
    let mut other_zones: Vec<_> = zones.keys().filter(|zone| ***zone != instance.zone).collect();
    other_zones.sort_by_cached_key(|zone| score(zone.as_str()));
    other_zones.truncate(OTHER_ZONE_LINKS);
    let first = |zone: &&&ZoneName| {
        let members = zones[**zone].iter().copied();
        members.min_by_key(|id| score(id.as_str()))
    };
    let mut picked: Vec<_> = other_zones.iter().filter_map(first).collect();
    let mut same_zone = zones[&instance.zone].clone();
    same_zone.retain(|id| **id != instance.id);
    same_zone.sort_by_cached_key(|id| score(id.as_str()));
    picked.extend(same_zone.into_iter().take(SAME_ZONE_LINKS));
    picked
}

/// Returns the instances that watch the item `name`: the first `count` in the order of
/// rendezvous hashing.
pub fn watchers<'a>(
    name: &str,
    instances: impl Iterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut scored: Vec<_> = instances.collect();
    scored.sort_by_cached_key(|id| hash::stable_hash(&[name, id.as_str()]));
    scored.truncate(count);
    scored
}
