//! Places requests.

use crate::{
    names::InstanceId,
    route::{
        dispatch::{Ask, Dispatch, HandOver, Refusal, Slot, Step, Who},
        group::GroupId,
        link::Booking,
        queue::{self, Waiting},
    },
    time::Millis,
};

/// A group that a request could go to.
#[derive(Clone, Copy)]
struct Candidate {
    group: usize,
    who: Who,
    booking: Option<Booking>,
    free: u64,
    wait_ms: u64,
    /// Whether its queue takes no more.
    full: bool,
}

impl Dispatch {
    /// Places a request of a caller of this instance: in the first availability
    /// zone of its plan with a free slot, else where it waits the least.
    pub fn place(&mut self, ask: &Ask<'_>, now_ms: Millis, rng: &mut fastrand::Rng) -> Step {
        let mut shortest: Option<Candidate> = None;
        let mut crowded = false;
        for zone in ask.plan {
            let mut roomiest: Option<Candidate> = None;
            let Some(groups) = self.by_zone.get(zone).cloned() else {
                continue;
            };
            let Some(booking) = self.link_room(self.open[groups.start], ask, now_ms) else {
                crowded = true;
                continue;
            };
            for nth in groups {
                let candidate = self.candidate(self.open[nth], booking, ask, now_ms);
                let shorter = shortest.is_none_or(|best| {
                    (candidate.full, candidate.wait_ms) < (best.full, best.wait_ms)
                });
                if shorter {
                    shortest = Some(candidate);
                }
                if candidate.free > roomiest.map_or(0, |best| best.free) {
                    roomiest = Some(candidate);
                }
            }
            if let Some(step) = roomiest.and_then(|found| self.send(found, now_ms, rng)) {
                return step;
            }
        }
        match shortest {
            Some(candidate) => self.wait_at(candidate, ask, now_ms, rng),
            None if ask.plan.is_empty() && !self.by_zone.is_empty() => {
                Step::Refuse(Refusal::cap_reached())
            }
            None if crowded => Step::Refuse(Refusal::no_link()),
            None => Step::Refuse(Refusal::no_backend()),
        }
    }

    /// Places a request that `from` handed over for a group. It goes no
    /// further: a second hop could lead back.
    pub fn place_handed(
        &mut self,
        from: &InstanceId,
        group: &GroupId,
        ask: &Ask<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Step {
        let Some(&index) = self.by_id.get(group) else {
            return Step::Refuse(Refusal::no_backend());
        };
        let peer = self.peers.index(from);
        self.groups[index].enter(peer, now_ms);
        let step = self.place_here(index, Some(peer), ask, now_ms, rng);
        if matches!(step, Step::Refuse(_)) {
            self.groups[index].leave(Some(peer));
        }
        step
    }

    /// Who dispatches for a group: the first in its order that answers.
    fn dispatcher(&self, group: usize, idempotent: bool, now_ms: Millis) -> Who {
        let usable = |who: &Who| match *who {
            Who::Me => true,
            Who::Peer(peer) => self.peers.usable(peer, idempotent, now_ms),
        };
        self.groups[group].order.iter().copied().find(usable).unwrap_or(Who::Me)
    }

    /// What a request would hold of the link to a group, if it crosses one;
    /// `None` when that has no room.
    fn link_room(
        &mut self,
        group: usize,
        ask: &Ask<'_>,
        now_ms: Millis,
    ) -> Option<Option<Booking>> {
        let Some(link) = self.groups[group].link else {
            return Some(None);
        };
        self.links.room(link, ask.up_bytes, now_ms).map(Some)
    }

    fn candidate(
        &mut self,
        index: usize,
        booking: Option<Booking>,
        ask: &Ask<'_>,
        now_ms: Millis,
    ) -> Candidate {
        let who = self.dispatcher(index, ask.idempotent, now_ms);
        let group = &mut self.groups[index];
        let (free, wait_ms, queued) = match who {
            Who::Me => (group.free(), group.wait_ms(), group.queue.len()),
            Who::Peer(peer) => {
                group.know(peer);
                let share = group.listed_slots.div_ceil(self.instances);
                (
                    group.known.free(share, now_ms),
                    group.known.wait_ms(group.listed_slots),
                    group.known.queued(now_ms),
                )
            }
        };
        let wait_ms = wait_ms + group.round_trip_ms;
        let full = queued >= queue::limit(group.listed_slots);
        Candidate { group: index, who, booking, free, wait_ms, full }
    }

    fn send(
        &mut self,
        candidate: Candidate,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<Step> {
        let Candidate { group, who, booking, .. } = candidate;
        match who {
            Who::Me if self.groups[group].queue.is_empty() => {
                self.take_slot(group, booking, now_ms, rng).map(Step::Serve)
            }
            Who::Me => None,
            Who::Peer(peer) => Some(self.hand_over(group, peer, booking, now_ms)),
        }
    }

    fn wait_at(
        &mut self,
        candidate: Candidate,
        ask: &Ask<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Step {
        let Candidate { group, who, booking, wait_ms, .. } = candidate;
        let Who::Peer(peer) = who else {
            return self.place_here(group, None, ask, now_ms, rng);
        };
        // The dispatcher would only say the same, a round trip later.
        if candidate.full {
            return Step::Refuse(Refusal::queue_full(wait_ms));
        }
        if wait_ms > ask.wait_ms || wait_ms >= ask.left_ms {
            return Step::Refuse(Refusal::too_late(wait_ms));
        }
        self.hand_over(group, peer, booking, now_ms)
    }

    fn place_here(
        &mut self,
        group: usize,
        from: Option<usize>,
        ask: &Ask<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Step {
        if self.groups[group].listed_slots == 0 {
            return Step::Refuse(Refusal::no_backend());
        }
        if self.groups[group].queue.is_empty() {
            // Who handed it over has looked at the link; what is held here counts
            // all the same.
            let booking = self.link_room(group, ask, now_ms).flatten();
            if let Some(slot) = self.take_slot(group, booking, now_ms, rng) {
                return Step::Serve(Slot { from, ..slot });
            }
        }
        self.enqueue(group, from, ask)
    }

    fn enqueue(&mut self, index: usize, from: Option<usize>, ask: &Ask<'_>) -> Step {
        let group = &mut self.groups[index];
        let wait_ms = group.wait_ms();
        if group.queue.len() >= queue::limit(group.listed_slots) {
            return Step::Refuse(Refusal::queue_full(wait_ms));
        }
        let in_time = wait_ms <= ask.wait_ms && wait_ms + group.drain.hold_ms() <= ask.left_ms;
        if !in_time {
            return Step::Refuse(Refusal::too_late(wait_ms));
        }
        group.queue.push(Waiting { ticket: ask.ticket, from });
        Step::Wait { group: index }
    }

    pub(super) fn take_slot(
        &mut self,
        index: usize,
        booking: Option<Booking>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<Slot> {
        let group = &mut self.groups[index];
        let key = group.router.choose(now_ms, rng)?;
        group.drain.take(now_ms);
        if let Some(booking) = booking {
            self.links.book(booking);
        }
        Some(Slot { group: index, key, booking, from: None })
    }

    fn hand_over(
        &mut self,
        group: usize,
        peer: usize,
        booking: Option<Booking>,
        now_ms: Millis,
    ) -> Step {
        self.peers.send(peer, now_ms);
        self.groups[group].known.send();
        if let Some(booking) = booking {
            self.links.book(booking);
        }
        Step::HandOver(HandOver { group, peer, booking })
    }
}
