//! Which instances watch the store for all.

use super::{Member, Members};
use crate::{names::RegionName, route::hash::stable_hash};

/// Up to so many instances all follow the two that watch the store.
const DIRECT_LIMIT: usize = 16;

/// From where an instance gets the changes of the store's tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sources {
    /// From the store, which it watches for the others.
    Store,
    /// From these instances, which watch the store or pass on what others do.
    Instances(Vec<Member>),
}

impl Members {
    /// From where this instance gets changes at `now_ms`.
    ///
    /// Two of the live instances that can reach the store watch it, the same two in the
    /// eyes of all by rendezvous hashing. They stand in different regions if there
    /// are several, so that the loss of one place leaves the other.
    ///
    /// In a large deployment two instances of each availability zone pass changes on
    /// inside it. What an instance sends then grows with the zones or with the instances
    /// of one zone, and not with all instances: a large row that two of them send to
    /// everyone fills their links for seconds.
    ///
    /// Instances that disagree for a moment do no harm: whoever is followed says how old
    /// its knowledge is, and whoever finds that too old watches the store itself.
    pub fn sources(&self, now_ms: u64) -> Sources {
        let watchers = self.watchers(now_ms);
        if self.is_among(&watchers) {
            return Sources::Store;
        }
        let follows_watchers = self.len() <= DIRECT_LIMIT;
        let relays = if follows_watchers { Vec::new() } else { self.relays(now_ms) };
        let chosen = if relays.len() < 2 || self.is_among(&relays) { watchers } else { relays };
        Sources::Instances(chosen.into_iter().cloned().collect())
    }

    fn watchers(&self, now_ms: u64) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self.possible_watchers(now_ms).collect();
        ranked.sort_by_cached_key(|member| stable_hash(&["watcher", member.instance.as_str()]));
        let Some((&first, rest)) = ranked.split_first() else { return Vec::new() };
        let elsewhere = |other: &&&Member| self.region(other) != self.region(first);
        let second = rest.iter().find(elsewhere).or(rest.first()).copied();
        [Some(first), second].into_iter().flatten().collect()
    }

    /// The instances that pass changes on inside the own availability zone.
    fn relays(&self, now_ms: u64) -> Vec<&Member> {
        let Some(zone) = self.own_zone() else { return Vec::new() };
        let in_zone = self.possible_watchers(now_ms).filter(|member| member.zone == *zone);
        let mut ranked: Vec<&Member> = in_zone.collect();
        ranked.sort_by_cached_key(|member| stable_hash(&["relay", member.instance.as_str()]));
        ranked.truncate(2);
        ranked
    }

    fn is_among(&self, chosen: &[&Member]) -> bool {
        chosen.iter().any(|member| member.instance == *self.own())
    }

    fn region(&self, member: &Member) -> Option<&RegionName> {
        self.zones().get(&member.zone)
    }
}
