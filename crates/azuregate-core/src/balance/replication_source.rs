//! Selection of the instances that watch the store and of those that relay its changes.

use super::{Member, Members};
use crate::{names::RegionName, route::hash::stable_hash};

/// Up to this number of instances, all follow the watchers directly.
const MAX_INSTANCES_WITHOUT_RELAYS: usize = 16;

/// Where an instance gets the changes of the store's tables from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicationSource {
    /// The store, which it watches on behalf of others.
    Store,
    /// These instances, which watch the store or relay its changes.
    Instances(Vec<Member>),
}

impl Members {
    /// Returns where this instance gets changes from at `now_ms`.
    ///
    /// Rendezvous hashing elects two watchers among the live instances that can reach the
    /// store, in different regions if there are several. In a large deployment two relays per
    /// availability zone follow the watchers and serve their zone; without them a large row
    /// sent to all instances would saturate the watchers' links for seconds.
    ///
    /// Instances need not agree on the result: a followed instance reports the age of its
    /// state, and a follower that finds it too old watches the store itself.
    pub fn replication_source(&self, now_ms: u64) -> ReplicationSource {
        let watchers = self.watchers(now_ms);
        if self.includes_local(&watchers) {
            return ReplicationSource::Store;
        }
        let follows_watchers = self.len() <= MAX_INSTANCES_WITHOUT_RELAYS;
        let relays = if follows_watchers { Vec::new() } else { self.relays(now_ms) };
        let sources =
            if relays.len() < 2 || self.includes_local(&relays) { watchers } else { relays };
        ReplicationSource::Instances(sources.into_iter().cloned().collect())
    }

    fn watchers(&self, now_ms: u64) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self.eligible_watchers(now_ms).collect();
        ranked.sort_by_cached_key(|member| stable_hash(&["watcher", member.instance.as_str()]));
        let Some((&first, rest)) = ranked.split_first() else { return Vec::new() };
        let in_other_region = |other: &&&Member| self.region(other) != self.region(first);
        let second = rest.iter().find(in_other_region).or(rest.first()).copied();
        [Some(first), second].into_iter().flatten().collect()
    }

    /// Returns the instances that relay changes within the local availability zone.
    fn relays(&self, now_ms: u64) -> Vec<&Member> {
        let Some(zone) = self.local_zone() else { return Vec::new() };
        let in_zone = self.eligible_watchers(now_ms).filter(|member| member.zone == *zone);
        let mut ranked: Vec<&Member> = in_zone.collect();
        ranked.sort_by_cached_key(|member| stable_hash(&["relay", member.instance.as_str()]));
        ranked.truncate(2);
        ranked
    }

    fn includes_local(&self, sources: &[&Member]) -> bool {
        sources.iter().any(|member| member.instance == *self.local())
    }

    fn region(&self, member: &Member) -> Option<&RegionName> {
        self.zones().get(&member.zone)
    }
}
