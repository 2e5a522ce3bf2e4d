/*!
Which instances take new work, from what is heard on the peer links.

The platform's list lags by minutes at the worst. Heartbeats tell within seconds
that an instance has gone silent, and carry how old its configuration may be.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    names::{InstanceId, StartNumber},
    neighbours::MAX_FULL_MESH,
    time::Millis,
};

/// How often neighbours send heartbeats, and what silence means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatTiming {
    /// A heartbeat goes to each neighbour so often.
    pub heartbeat_ms: u64,
    /// An instance that was not heard of for this long gets no new work.
    pub failure_timeout_ms: u64,
}

impl HeartbeatTiming {
    /// The pace in a deployment of `listed` instances.
    ///
    /// A small one can afford to notice silence within two seconds. In a large
    /// one an instance has up to 28 neighbours, and a heartbeat each second to
    /// and from all of them would take 8 kB/s with the headers of its packets.
    pub fn for_deployment(listed: usize) -> HeartbeatTiming {
        if listed <= MAX_FULL_MESH {
            return HeartbeatTiming { heartbeat_ms: 500, failure_timeout_ms: 2_000 };
        }
        HeartbeatTiming { heartbeat_ms: 2_000, failure_timeout_ms: 5_000 }
    }
}

/// How many peers must agree with an instance that starts while the platform is
/// down.
pub const READY_QUORUM: usize = 2;

/// What an instance says of itself at rest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Whether it has a configuration in force.
    #[serde(rename = "r")]
    pub ready: bool,
    /// How long ago its configuration was the platform's newest, by its own
    /// reading or by that of an instance with the same versions.
    #[serde(rename = "a")]
    pub confirmed_age_ms: Option<u64>,
    /// A hash of the versions that it has in force.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// What one instance believes of the others.
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
    /// What `self_id` believes before it has heard of anyone.
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

    /// Sets the instances that are watched. New ones count as heard of now, so
    /// that they have time to open a link.
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

    /// Sets how often heartbeats come, and what silence means.
    pub fn set_heartbeat_timing(&mut self, timing: HeartbeatTiming) {
        self.timing = timing;
    }

    /// Sets how long an instance stays in the answers without confirmation.
    pub fn set_confirmation_timeout_ms(&mut self, timeout_ms: u64) {
        self.confirmation_timeout_ms = timeout_ms;
    }

    /// Takes in a heartbeat; `digest` is that of the own versions.
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
        let same = heartbeat.digest == digest;
        peer.start = start;
        peer.last_heartbeat_at_ms = now_ms;
        // What is older than this process counts as not confirmed: monotonic time
        // cannot tell of it, and would make it look young.
        let at_ms = heartbeat.confirmed_age_ms.and_then(|age_ms| now_ms.0.checked_sub(age_ms));
        peer.confirmed_at_ms = at_ms.map(Millis);
        peer.ready = heartbeat.ready;
        peer.agrees = heartbeat.ready && same;
        if same {
            self.confirmed_at_ms = self.confirmed_at_ms.max(peer.confirmed_at_ms);
        }
    }

    /// Notes that an instance has started a planned stop.
    pub fn record_stopping(&mut self, id: &InstanceId, start: StartNumber) {
        let latest = self.stopping.entry(id.clone()).or_default();
        *latest = start.max(*latest);
    }

    /// Notes that the own versions are the platform's newest.
    pub fn record_confirmation(&mut self, now_ms: Millis) {
        self.confirmed_at_ms = Some(now_ms);
    }

    /// Forgets what may have changed while this process was paused.
    pub fn reset_after_pause(&mut self, now_ms: Millis) {
        self.confirmed_at_ms = None;
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at_ms = now_ms;
            peer.agrees = false;
        }
    }

    /// How long ago the own versions were the platform's newest.
    pub fn confirmed_age_ms(&self, now_ms: Millis) -> Option<u64> {
        self.confirmed_at_ms.map(|at_ms| now_ms.since(at_ms).0)
    }

    /// How many peers serve with the same versions as this instance.
    pub fn agreeing_peers(&self, now_ms: Millis) -> usize {
        self.peers.values().filter(|peer| peer.agrees && !self.is_timed_out(peer, now_ms)).count()
    }

    /// The instances that get no new work: those that stop, have gone silent, may
    /// have missed a change, or say that they are not ready.
    pub fn unavailable(&self, now_ms: Millis) -> BTreeSet<InstanceId> {
        let mut unavailable: BTreeSet<_> = self.timed_out(now_ms).collect();
        unavailable.extend(self.unconfirmed(now_ms));
        let not_ready = self.peers.iter().filter(|(_, peer)| !peer.ready);
        unavailable.extend(not_ready.map(|(id, _)| id.clone()));
        for (id, start) in &self.stopping {
            let heard = self.peers.get(id).map(|peer| peer.start);
            if heard.is_none_or(|heard| heard <= *start) {
                unavailable.insert(id.clone());
            }
        }
        unavailable
    }

    fn timed_out(&self, now_ms: Millis) -> impl Iterator<Item = InstanceId> {
        let timed_out = self.peers.iter().filter(move |(_, peer)| self.is_timed_out(peer, now_ms));
        // An instance that hears hardly anyone is cut off itself. If it believed
        // the others dead it would send all callers to itself.
        let is_isolated = timed_out.clone().count() * 2 > self.peers.len();
        timed_out.filter(move |_| !is_isolated).map(|(id, _)| id.clone())
    }

    fn unconfirmed(&self, now_ms: Millis) -> Vec<InstanceId> {
        let is_old = |at_ms: Option<Millis>| {
            at_ms.is_none_or(|at_ms| now_ms.since(at_ms).0 > self.confirmation_timeout_ms)
        };
        // What a silent instance has confirmed is not known; silence is judged by
        // itself.
        let heard = self.peers.iter().filter(|(_, peer)| !self.is_timed_out(peer, now_ms));
        let peers = heard.map(|(id, peer)| (id, peer.confirmed_at_ms));
        let all = peers.chain([(&self.self_id, self.confirmed_at_ms)]);
        let (old, fresh): (Vec<_>, Vec<_>) = all.partition(|(_, at_ms)| is_old(*at_ms));
        // With the platform down nobody can confirm, and no change can be made.
        if fresh.is_empty() {
            return Vec::new();
        }
        old.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn is_timed_out(&self, peer: &Peer, now_ms: Millis) -> bool {
        now_ms.since(peer.last_heartbeat_at_ms).0 > self.timing.failure_timeout_ms
    }
}
