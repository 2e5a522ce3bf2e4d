//! Load updates from dispatchers to the instances that hand requests over.

use crate::{
    names::InstanceId,
    route::{
        dispatch::{Dispatch, Group, Sender},
        group::{GroupId, GroupLoad},
    },
    snapshot::Snapshot,
    time::Millis,
};

/// Minimum interval between two updates to an instance.
const MIN_UPDATE_INTERVAL_MS: Millis = Millis(50);
/// Maximum interval between two updates to an instance with requests in
/// progress, which would otherwise consider this one frozen.
const HEARTBEAT_INTERVAL_MS: Millis = Millis(200);
/// Maximum interval between two update frames to an instance that hands over.
///
/// Frames are sent even while responses carry the updates: an instance detects
/// the silence only of a peer that has sent it frames.
const MAX_FRAME_INTERVAL_MS: Millis = Millis(500);
/// Updates to an instance stop if it has handed nothing over for this long.
const SENDER_EXPIRY_MS: Millis = Millis(5_000);
/// Changes smaller than this fraction (1/8) of the slots cause no update.
const SIGNIFICANT_SLOTS_DIVISOR: u32 = 8;

/// A load update for an instance that hands requests of a group over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadUpdate {
    /// The receiving instance.
    pub to: InstanceId,
    /// The group.
    pub group: GroupId,
    /// The load of the group.
    pub load: GroupLoad,
}

impl Dispatch {
    /// Returns the updates that are due, and the indexes of dispatchers that
    /// became silent while they hold requests of this instance.
    pub fn tick(&mut self, now_ms: Millis) -> (Vec<LoadUpdate>, Vec<usize>) {
        let silent = self.peers.tick(now_ms);
        let mut updates = Vec::new();
        for group in &mut self.groups {
            let load = group.load(self.config.start);
            for sender in &mut group.senders {
                if let Some(load) = sender.due_update(load, now_ms) {
                    let (to, group) = (self.peers.id(sender.peer).clone(), group.id.clone());
                    updates.push(LoadUpdate { to, group, load });
                }
            }
        }
        (updates, silent)
    }

    /// Returns the indexes of instances that `snapshot` lists as away and that
    /// hold requests of this instance.
    pub fn away_peers_with_requests(&self, snapshot: &Snapshot) -> Vec<usize> {
        let known = snapshot.unavailable.iter().filter_map(|id| self.peers.find(id));
        known.filter(|&peer| self.peers.has_requests(peer)).collect()
    }

    /// Returns the load of a group, to be sent with a response to `to`, or `None`
    /// if `to` has handed over no request of that group.
    pub fn load_for(
        &mut self,
        to: &InstanceId,
        group: &GroupId,
        now_ms: Millis,
    ) -> Option<GroupLoad> {
        let peer = self.peers.find(to)?;
        let group = &mut self.groups[*self.by_id.get(group)?];
        let load = group.load(self.config.start);
        let sender = group.senders.iter_mut().find(|sender| sender.peer == peer)?;
        Some(sender.record_update(load, now_ms))
    }

    /// Applies a load update from a dispatcher; `by_frame` tells whether it came
    /// in a frame of its own rather than with a response.
    pub fn receive_load(
        &mut self,
        from: &InstanceId,
        group: &GroupId,
        load: GroupLoad,
        by_frame: bool,
        now_ms: Millis,
    ) {
        let Some(peer) = self.peers.find(from) else {
            return;
        };
        self.peers.record_update(peer, by_frame, now_ms);
        let Some(&index) = self.by_id.get(group) else {
            return;
        };
        let group = &mut self.groups[index];
        if group.remote_peer == Some(peer) {
            group.remote.update(load, now_ms);
        }
    }
}

impl Group {
    fn load(&self, start: crate::names::StartNumber) -> GroupLoad {
        let capacity = self.router.capacity();
        GroupLoad {
            start,
            free: u32::try_from(self.free()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: capacity.total,
            service_ms: u32::try_from(self.service_time.mean_ms()).unwrap_or(u32::MAX),
            seen: 0,
        }
    }
}

impl Sender {
    fn record_update(&mut self, load: GroupLoad, now_ms: Millis) -> GroupLoad {
        let load = GroupLoad { seen: self.received, ..load };
        self.last_update = Some((load, now_ms));
        load
    }

    fn due_update(&mut self, load: GroupLoad, now_ms: Millis) -> Option<GroupLoad> {
        let is_sending = now_ms.since(self.last_request_at_ms) <= SENDER_EXPIRY_MS;
        if !is_sending && self.in_flight == 0 {
            return None;
        }
        let due = self.last_update.is_none_or(|(last, at_ms)| {
            let passed_ms = now_ms.since(at_ms);
            let heartbeat_due = self.in_flight > 0 && passed_ms >= HEARTBEAT_INTERVAL_MS;
            heartbeat_due || (passed_ms >= MIN_UPDATE_INTERVAL_MS && is_significant(&last, &load))
        });
        let frame_recent =
            self.last_frame_at_ms.is_some_and(|at_ms| now_ms.since(at_ms) < MAX_FRAME_INTERVAL_MS);
        if frame_recent && !due {
            return None;
        }
        self.last_frame_at_ms = Some(now_ms);
        Some(self.record_update(load, now_ms))
    }
}

fn is_significant(last: &GroupLoad, load: &GroupLoad) -> bool {
    let step = (load.slots / SIGNIFICANT_SLOTS_DIVISOR).max(1);
    let exhaustion_changed = (last.free == 0) != (load.free == 0);
    exhaustion_changed
        || last.free.abs_diff(load.free) >= step
        || last.queued.abs_diff(load.queued) >= step
}
