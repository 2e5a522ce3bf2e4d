/*!
Which instances keep links to each other.

A small deployment is a full mesh. A large one is a random graph of bounded
degree that every instance works out from the names alone: each picks a few
instances of its own zone and one in each of some other zones by rendezvous
hashing, and a link exists where either side picked the other. Such a graph
stays connected when many instances die at once, and a change crosses 680
instances in a few hops (see `examples/spread.rs`).
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    names::{InstanceId, ZoneName},
    route::hash,
    snapshot::Instance,
};

/// Up to this many instances, all keep links to all.
pub const FULL_MESH: usize = 24;
/// How many instances of its own zone each picks.
const PICKS_AT_HOME: usize = 2;
/// In how many other zones each picks one instance.
const PICKS_AWAY: usize = 6;

/// The links of a whole deployment: the neighbours of each instance.
pub type Graph = BTreeMap<InstanceId, BTreeSet<InstanceId>>;

/// The neighbours of `me` among `instances`.
pub fn neighbours(me: &InstanceId, instances: &[Instance]) -> BTreeSet<InstanceId> {
    graph(instances).remove(me).unwrap_or_default()
}

/// All links among `instances`; each stands at both of its ends.
pub fn graph(instances: &[Instance]) -> Graph {
    let zones = by_zone(instances);
    let mut graph: Graph =
        instances.iter().map(|instance| (instance.id.clone(), BTreeSet::new())).collect();
    for instance in instances {
        for picked in picks(instance, instances, &zones) {
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

fn picks<'a>(this: &Instance, instances: &'a [Instance], zones: &Zones<'a>) -> Vec<&'a InstanceId> {
    if instances.len() <= FULL_MESH {
        let others = instances.iter().filter(|other| other.id != this.id);
        return others.map(|other| &other.id).collect();
    }
    let score = |name: &str| hash::stable_hash(&[this.id.as_str(), name]);
    let mut away: Vec<_> = zones.keys().filter(|zone| ***zone != this.zone).collect();
    away.sort_by_cached_key(|zone| score(zone.as_str()));
    away.truncate(PICKS_AWAY);
    let first = |zone: &&&ZoneName| {
        let members = zones[**zone].iter().copied();
        members.min_by_key(|id| score(id.as_str()))
    };
    let mut picked: Vec<_> = away.iter().filter_map(first).collect();
    let mut home = zones[&this.zone].clone();
    home.retain(|id| **id != this.id);
    home.sort_by_cached_key(|id| score(id.as_str()));
    picked.extend(home.into_iter().take(PICKS_AT_HOME));
    picked
}

/// The instances that watch something named `name`: the first `count` in the
/// order of rendezvous hashing.
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
