//! Which instances watch the store for all.

use super::{Member, Members};
use crate::{names::RegionName, route::hash::score};

/// From where an instance gets the changes of the store's tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sources {
    /// From the store, which it watches for the others.
    Store,
    /// From these instances, which watch the store.
    Instances(Vec<Member>),
}

impl Members {
    /// From where this instance gets changes at `now_ms`.
    ///
    /// Two of the live instances that can reach the store watch it, the same two in the
    /// eyes of all by rendezvous hashing. They stand in different regions if there
    /// are several, so that the loss of one place leaves the other. Instances that
    /// disagree on the two for a moment do no harm: whoever is followed watches.
    pub fn sources(&self, now_ms: u64) -> Sources {
        let mut ranked: Vec<&Member> = self.possible_watchers(now_ms).collect();
        ranked.sort_by_cached_key(|member| score(&["watcher", member.instance.as_str()]));
        let Some((&first, rest)) = ranked.split_first() else {
            return Sources::Instances(Vec::new());
        };
        let elsewhere = |other: &&&Member| self.region(other) != self.region(first);
        let second = rest.iter().find(elsewhere).or(rest.first()).copied();
        let chosen: Vec<Member> = [Some(first), second].into_iter().flatten().cloned().collect();
        match chosen.iter().any(|member| member.instance == *self.own()) {
            true => Sources::Store,
            false => Sources::Instances(chosen),
        }
    }

    fn region(&self, member: &Member) -> Option<&RegionName> {
        self.zones().get(&member.zone)
    }
}
