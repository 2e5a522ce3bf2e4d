/*!
Tracks which instances take new work, from heartbeats on the peer links.

The platform's list can lag by minutes. Heartbeats show within seconds that an instance
has failed, and carry the age of its configuration.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{InstanceId, StartNumber},
    neighbours::MAX_FULL_MESH,
    time::Millis,
};

/// Heartbeat interval and failure timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatTiming {
    /// Interval of the heartbeats to each neighbour.
    pub heartbeat_ms: u64,
    /// An instance without a heartbeat for this long gets no new work.
    pub failure_timeout_ms: u64,
}

impl HeartbeatTiming {
    /// Returns the timing for a deployment of `listed` instances.
    ///
    /// In a large deployment an instance has up to 28 neighbours. Heartbeats are less
    /// frequent there to bound the traffic on the peer links: one each second to and from
    /// all of them would take 8 kB/s with the headers of its packets.
    pub fn for_deployment(listed: usize) -> HeartbeatTiming {
        if listed <= MAX_FULL_MESH {
            return HeartbeatTiming { heartbeat_ms: 500, failure_timeout_ms: 2_000 };
        }
        HeartbeatTiming { heartbeat_ms: 2_000, failure_timeout_ms: 5_000 }
    }
}

/// Number of peers whose configuration versions must agree before an instance that
/// starts while the platform is down serves requests.
pub const READY_QUORUM: usize = 2;

/// A heartbeat of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Whether the sender has a configuration in force.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Time since the sender's configuration was confirmed as the platform's newest, by
    /// its own read or by an instance with the same versions.
    #[serde(rename = "a")]
    pub confirmed_age_ms: Option<u64>,
    /// Hash of the configuration versions that the sender has in force.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// The state of the other instances as seen by one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    self_id: InstanceId,
    peers: BTreeMap<InstanceId, Peer>,
    stopping: BTreeMap<InstanceId, StartNumber>,
    confirmed_at_ms: Option<Millis>,
    confirmation_timeout_ms: u64,
    timing: HeartbeatTiming,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    start: StartNumber,
    last_heartbeat_at_ms: Millis,
    confirmed_at_ms: Option<Millis>,
    ready: bool,
    agrees: bool,
}

impl Membership {
    /// Creates the state of `self_id` before the first heartbeat.
    pub fn new(self_id: &InstanceId) -> Membership {
        Membership {
            self_id: self_id.clone(),
            peers: BTreeMap::new(),
            stopping: BTreeMap::new(),
            confirmed_at_ms: None,
            confirmation_timeout_ms: u64::MAX,
            timing: HeartbeatTiming::for_deployment(0),
        }
    }

    /// Sets the instances to watch. New ones start with a full failure timeout, so that
    /// they have time to open a link.
    pub fn set_neighbours(&mut self, neighbours: &BTreeSet<InstanceId>, now_ms: Millis) {
        self.peers.retain(|id, _| neighbours.contains(id));
        for id in neighbours {
            self.peers.entry(id.clone()).or_insert(Peer {
                start: StartNumber(0),
                last_heartbeat_at_ms: now_ms,
                confirmed_at_ms: Some(now_ms),
                ready: true,
                agrees: false,
            });
        }
    }

    /// Sets the heartbeat interval and the failure timeout.
    pub fn set_heartbeat_timing(&mut self, timing: HeartbeatTiming) {
        self.timing = timing;
    }

    /// Sets how long an instance stays available without a confirmed configuration.
    pub fn set_confirmation_timeout_ms(&mut self, timeout_ms: u64) {
        self.confirmation_timeout_ms = timeout_ms;
    }

    /// Records a heartbeat; `digest` is that of this instance's own versions.
    pub fn record_heartbeat(
        &mut self,
        id: &InstanceId,
        start: StartNumber,
        heartbeat: Heartbeat,
        digest: u64,
        now_ms: Millis,
    ) {
        let Some(peer) = self.peers.get_mut(id) else { return };
        if start < peer.start {
            return;
        }
        let has_same_versions = heartbeat.digest == digest;
        peer.start = start;
        peer.last_heartbeat_at_ms = now_ms;
        // A time before the start of this process counts as unconfirmed: monotonic time
        // cannot represent it, and saturating would make it look recent.
        let at_ms = heartbeat.confirmed_age_ms.and_then(|age_ms| now_ms.0.checked_sub(age_ms));
        peer.confirmed_at_ms = at_ms.map(Millis);
        peer.ready = heartbeat.ready;
        peer.agrees = heartbeat.ready && has_same_versions;
        if has_same_versions {
            self.confirmed_at_ms = self.confirmed_at_ms.max(peer.confirmed_at_ms);
        }
    }

    /// Records that an instance has started a planned stop.
    pub fn record_stopping(&mut self, id: &InstanceId, start: StartNumber) {
        let latest = self.stopping.entry(id.clone()).or_default();
        *latest = start.max(*latest);
    }

    /// Records that this instance's versions are the platform's newest.
    pub fn record_confirmation(&mut self, now_ms: Millis) {
        self.confirmed_at_ms = Some(now_ms);
    }

    /// Discards what may have changed while this process was paused.
    pub fn reset_after_pause(&mut self, now_ms: Millis) {
        self.confirmed_at_ms = None;
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at_ms = now_ms;
            peer.agrees = false;
        }
    }

    /// Returns the time since this instance's versions were confirmed as the platform's
    /// newest.
    pub fn confirmed_age_ms(&self, now_ms: Millis) -> Option<u64> {
        self.confirmed_at_ms.map(|at_ms| now_ms.since(at_ms).0)
    }

    /// Returns how many responsive peers serve with the same versions as this instance.
    pub fn agreeing_peers(&self, now_ms: Millis) -> usize {
        self.peers.values().filter(|peer| peer.agrees && !self.is_timed_out(peer, now_ms)).count()
    }

    /// Returns the instances that get no new work: those that are stopping, have timed
    /// out, may have missed a change, or report that they are not ready.
    pub fn unavailable(&self, now_ms: Millis) -> BTreeSet<InstanceId> {
        let mut unavailable: BTreeSet<_> = self.timed_out(now_ms).collect();
        unavailable.extend(self.unconfirmed(now_ms));
        let not_ready = self.peers.iter().filter(|(_, peer)| !peer.ready);
        unavailable.extend(not_ready.map(|(id, _)| id.clone()));
        for (id, start) in &self.stopping {
            let latest = self.peers.get(id).map(|peer| peer.start);
            if latest.is_none_or(|latest| latest <= *start) {
                unavailable.insert(id.clone());
            }
        }
        unavailable
    }

    fn timed_out(&self, now_ms: Millis) -> impl Iterator<Item = InstanceId> {
        let timed_out = self.peers.iter().filter(move |(_, peer)| self.is_timed_out(peer, now_ms));
        // An instance that hears from less than half of its peers is partitioned
        // itself. If it took the others for failed, it would direct all callers to
        // itself.
        let is_isolated = timed_out.clone().count() * 2 > self.peers.len();
        timed_out.filter(move |_| !is_isolated).map(|(id, _)| id.clone())
    }

    fn unconfirmed(&self, now_ms: Millis) -> Vec<InstanceId> {
        let is_old = |at_ms: Option<Millis>| {
            at_ms.is_none_or(|at_ms| now_ms.since(at_ms).0 > self.confirmation_timeout_ms)
        };
        // Instances that have timed out are handled separately; what they have
        // confirmed is unknown.
        let responsive = self.peers.iter().filter(|(_, peer)| !self.is_timed_out(peer, now_ms));
        let peers = responsive.map(|(id, peer)| (id, peer.confirmed_at_ms));
        let all = peers.chain([(&self.self_id, self.confirmed_at_ms)]);
        let (old, fresh): (Vec<_>, Vec<_>) = all.partition(|(_, at_ms)| is_old(*at_ms));
        // While the platform is down nobody can confirm, and no change can be made.
        if fresh.is_empty() {
            return Vec::new();
        }
        old.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn is_timed_out(&self, peer: &Peer, now_ms: Millis) -> bool {
        now_ms.since(peer.last_heartbeat_at_ms).0 > self.timing.failure_timeout_ms
    }
}
