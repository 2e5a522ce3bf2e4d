//! What dispatchers tell those that hand requests over to them.

use crate::{
    names::InstanceId,
    route::{
        dispatch::{Dispatch, Group, Hander},
        group::{GroupId, GroupLoad},
    },
    snapshot::Snapshot,
    time::Millis,
};

/// The shortest time between two updates to one instance.
const SAY_MS: Millis = Millis(50);
/// The longest time between two updates to an instance whose requests are held:
/// its silence would be taken for a freeze.
const ALIVE_MS: Millis = Millis(200);
/// The longest time between two frames to an instance that hands over.
///
/// While answers carry all updates, no frame is due. The other instance would then
/// not know that this one speaks by frames, and would take no silence for a
/// freeze.
const FRAME_MS: Millis = Millis(500);
/// An instance that handed nothing over for so long hears nothing more.
const OVERFLOW_MS: Millis = Millis(5_000);
/// Changes smaller than one in so many of the slots are not worth an update.
const NEWS: u32 = 8;

/// An update to an instance that hands requests of a group over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadUpdate {
    /// Where it goes.
    pub to: InstanceId,
    /// The group.
    pub group: GroupId,
    /// Its load.
    pub load: GroupLoad,
}

impl Dispatch {
    /// The updates that are due, and the dispatchers that have gone silent with
    /// requests of this instance; as indexes.
    pub fn tick(&mut self, now_ms: Millis) -> (Vec<LoadUpdate>, Vec<usize>) {
        let silent = self.peers.tick(now_ms);
        let mut updates = Vec::new();
        for group in &mut self.groups {
            let load = group.load(self.config.start);
            for hander in &mut group.handers {
                if let Some(load) = hander.due(load, now_ms) {
                    let (to, group) = (self.peers.id(hander.peer).clone(), group.id.clone());
                    updates.push(LoadUpdate { to, group, load });
                }
            }
        }
        (updates, silent)
    }

    /// The instances that the links found away and that hold requests of this
    /// one; as indexes.
    pub fn away(&self, snapshot: &Snapshot) -> Vec<usize> {
        let known = snapshot.unavailable.iter().filter_map(|id| self.peers.find(id));
        known.filter(|&peer| self.peers.holds_any(peer)).collect()
    }

    /// The update that goes back with an answer to `to`.
    pub fn load_for(
        &mut self,
        to: &InstanceId,
        group: &GroupId,
        now_ms: Millis,
    ) -> Option<GroupLoad> {
        let peer = self.peers.find(to)?;
        let group = &mut self.groups[*self.by_id.get(group)?];
        let load = group.load(self.config.start);
        let hander = group.handers.iter_mut().find(|hander| hander.peer == peer)?;
        Some(hander.say(load, now_ms))
    }

    /// Takes in an update of a dispatcher.
    pub fn hear(
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
        self.peers.hear(peer, by_frame, now_ms);
        let Some(&index) = self.by_id.get(group) else {
            return;
        };
        let group = &mut self.groups[index];
        if group.known_of == Some(peer) {
            group.known.hear(load, now_ms);
        }
    }
}

impl Group {
    fn load(&self, start: crate::names::StartNumber) -> GroupLoad {
        let room = self.router.room();
        GroupLoad {
            start,
            free: u32::try_from(self.free()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: room.slots,
            service_ms: u32::try_from(self.drain.hold_ms()).unwrap_or(u32::MAX),
            seen: 0,
        }
    }
}

impl Hander {
    fn say(&mut self, load: GroupLoad, now_ms: Millis) -> GroupLoad {
        let load = GroupLoad { seen: self.seen, ..load };
        self.said = Some((load, now_ms));
        load
    }

    fn due(&mut self, load: GroupLoad, now_ms: Millis) -> Option<GroupLoad> {
        let overflows = now_ms.since(self.heard_at_ms) <= OVERFLOW_MS;
        if !overflows && self.active == 0 {
            return None;
        }
        let due = self.said.is_none_or(|(said, at_ms)| {
            let passed_ms = now_ms.since(at_ms);
            let alive = self.active > 0 && passed_ms >= ALIVE_MS;
            alive || (passed_ms >= SAY_MS && is_news(&said, &load))
        });
        let framed = self.framed_at_ms.is_some_and(|at_ms| now_ms.since(at_ms) < FRAME_MS);
        if framed && !due {
            return None;
        }
        self.framed_at_ms = Some(now_ms);
        Some(self.say(load, now_ms))
    }
}

fn is_news(said: &GroupLoad, load: &GroupLoad) -> bool {
    let step = (load.slots / NEWS).max(1);
    let turned = (said.free == 0) != (load.free == 0);
    turned || said.free.abs_diff(load.free) >= step || said.queued.abs_diff(load.queued) >= step
}
