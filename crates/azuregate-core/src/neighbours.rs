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

/// The neighbours of `me` among `instances`; the same relation on both sides.
pub fn neighbours(me: &InstanceId, instances: &[Instance]) -> BTreeSet<InstanceId> {
    let others = instances.iter().filter(|instance| instance.id != *me);
    if instances.len() <= FULL_MESH {
        return others.map(|instance| instance.id.clone()).collect();
    }
    let zones = by_zone(instances);
    let Some(this) = instances.iter().find(|instance| instance.id == *me) else {
        return BTreeSet::new();
    };
    let mut linked = picks(this, &zones);
    for other in others {
        if picks(other, &zones).contains(me) {
            linked.insert(other.id.clone());
        }
    }
    linked
}

type Zones<'a> = BTreeMap<&'a ZoneName, Vec<&'a InstanceId>>;

fn by_zone(instances: &[Instance]) -> Zones<'_> {
    let mut zones: Zones<'_> = BTreeMap::new();
    for instance in instances {
        zones.entry(&instance.zone).or_default().push(&instance.id);
    }
    zones
}

fn picks(this: &Instance, zones: &Zones<'_>) -> BTreeSet<InstanceId> {
    let score = |name: &str| hash::score(&[this.id.as_str(), name]);
    let mut others: Vec<_> = zones.keys().filter(|zone| ***zone != this.zone).collect();
    others.sort_by_key(|zone| score(zone.as_str()));
    let away = others.into_iter().take(PICKS_AWAY).map(|zone| (zone, 1));
    let mut picked = BTreeSet::new();
    for (zone, count) in away.chain([(&&this.zone, PICKS_AT_HOME)]) {
        let mut members: Vec<_> = zones[*zone].iter().filter(|id| ***id != this.id).collect();
        members.sort_by_key(|id| score(id.as_str()));
        picked.extend(members.into_iter().take(count).map(|id| InstanceId::clone(id)));
    }
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
    scored.sort_by_key(|id| hash::score(&[name, id.as_str()]));
    scored.truncate(count);
    scored
}
