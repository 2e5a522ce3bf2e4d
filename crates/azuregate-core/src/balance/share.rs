//! Division of a total rate among a few instances, without communication.

use std::cmp::Reverse;

use super::Member;
use crate::{names::InstanceId, route::hash::stable_hash};

/// The position of this instance among the instances that share a total.
///
/// A rate that all instances together must keep is divided into a few equal parts, since one part
/// for each of hundreds of instances would be less than a request per second. Rendezvous hashing
/// assigns the parts to registered instances, so that all instances agree on them. The part of an
/// instance that is down or out of contact is not assigned to another one while it is registered,
/// so the parts in use never exceed the total.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Share {
    /// The rank of this instance, 0 for the first.
    pub(super) rank: u32,
    /// The number of parts.
    pub(super) parts: u32,
}

impl Share {
    /// Returns the share of `instance` in a total for `backend` that at most `max_parts` of the
    /// registered `instances` divide among them. Returns `None` if it has no part, and also if it
    /// is not registered: it does not know the other instances yet, or they do not count it.
    pub(super) fn of<'a>(
        backend: &str,
        instance: &str,
        instances: impl Iterator<Item = &'a str>,
        max_parts: u32,
    ) -> Option<Share> {
        let own_score = stable_hash(&[backend, instance]);
        let (mut total, mut rank, mut is_registered) = (0, 0, false);
        for other in instances {
            total += 1;
            if other == instance {
                is_registered = true;
            } else if stable_hash(&[backend, other]) > own_score {
                rank += 1;
            }
        }
        let parts = max_parts.min(total);
        (is_registered && rank < parts).then_some(Share { rank, parts })
    }
}

/// Returns the instances that have a part of a total for `backend` that at most `max_parts` of the
/// registered instances divide among them: those of which [`Share::of`] returns a share.
pub(super) fn holders<'a>(
    backend: &str,
    registered: impl Iterator<Item = &'a Member>,
    max_parts: u32,
) -> Vec<InstanceId> {
    let mut holders: Vec<&InstanceId> = registered.map(|member| &member.instance).collect();
    holders.sort_by_cached_key(|holder| Reverse(stable_hash(&[backend, holder.as_str()])));
    let max_parts = usize::try_from(max_parts).unwrap_or(usize::MAX);
    holders.into_iter().take(max_parts).cloned().collect()
}
