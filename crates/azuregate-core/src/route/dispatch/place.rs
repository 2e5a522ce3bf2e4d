//! Places requests, and takes back what they held.

use crate::{
    error::ErrorKind,
    names::InstanceId,
    route::{
        Ending,
        dispatch::{Ask, Dispatch, Group, HandOver, Hander, Refusal, Slot, Step, Who},
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

impl Refusal {
    /// No server of the groups in question takes new work.
    pub(super) fn no_backend() -> Refusal {
        let reason = "no backend server that may be used takes new work";
        Refusal { kind: ErrorKind::NoBackend, reason, retry_after_ms: 1_000 }
    }

    /// The cap of a movement leaves no room for the request.
    pub fn cap_reached() -> Refusal {
        let reason = "the cap of a movement is reached";
        Refusal { kind: ErrorKind::CapReached, reason, retry_after_ms: 1_000 }
    }

    fn no_link() -> Refusal {
        let reason = "the links to the regions with free slots have no room";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms: 1_000 }
    }

    fn queue_full(retry_after_ms: u64) -> Refusal {
        let reason = "the queue holds as much as it may";
        Refusal { kind: ErrorKind::QueueFull, reason, retry_after_ms }
    }

    fn too_late(retry_after_ms: u64) -> Refusal {
        let reason = "no slot would be free in time";
        Refusal { kind: ErrorKind::TooLate, reason, retry_after_ms }
    }
}

impl Dispatch {
    /// Places a request of a caller of this instance: in the first availability
    /// zone of its plan with a free slot, else where it waits the least.
    pub fn place(&mut self, ask: &Ask<'_>, now_ms: Millis, rng: &mut fastrand::Rng) -> Step {
        let mut shortest: Option<Candidate> = None;
        let mut crowded = false;
        for zone in ask.plan {
            let mut roomiest: Option<Candidate> = None;
            let count = self.by_zone.get(zone).map_or(0, Vec::len);
            for nth in 0..count {
                let group = self.by_zone[zone][nth];
                let Some(candidate) = self.candidate(group, ask.up_bytes, now_ms) else {
                    crowded = true;
                    continue;
                };
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

    /// Gives the next free slot of a group to the request that has waited
    /// longest.
    pub fn serve_waiting(
        &mut self,
        group: usize,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<(Waiting, Slot)> {
        if self.groups[group].queue.is_empty() {
            return None;
        }
        let slot = self.take_slot(group, None, now_ms, rng)?;
        let waiting = self.groups[group].queue.pop()?;
        Some((waiting, Slot { from: waiting.from, ..slot }))
    }

    /// Takes a request out of its queue that has waited as long as it may;
    /// `None` when it waits no more.
    pub fn give_up(&mut self, ticket: u64) -> Option<Refusal> {
        for group in &mut self.groups {
            if let Some(waiting) = group.queue.remove(ticket) {
                group.leave(waiting.from);
                return Some(Refusal::too_late(group.wait_ms()));
            }
        }
        None
    }

    /// Gives a slot back, with what was learnt.
    pub fn finish(&mut self, slot: &Slot, ending: Ending, now_ms: Millis) {
        let group = &mut self.groups[slot.group];
        group.router.finish(slot.key, ending, now_ms);
        group.drain.finish(matches!(ending, Ending::Answered { .. }), now_ms);
        group.leave(slot.from);
        if let Some(booking) = slot.booking {
            self.links.release(booking);
        }
    }

    /// Ends a hand-over. A dispatcher that did not answer is passed over.
    pub fn finish_hand_over(&mut self, hand_over: &HandOver, ending: Ending, now_ms: Millis) {
        self.peers.finish(hand_over.peer);
        let failed = ending == Ending::Failed;
        let group = &mut self.groups[hand_over.group];
        if group.known_of == Some(hand_over.peer) {
            group.known.finish(!failed);
        }
        if failed {
            self.peers.fail(hand_over.peer, now_ms);
        }
        if let Some(booking) = hand_over.booking {
            self.links.release(booking);
        }
    }

    /// Who dispatches for a group: the first in its order that answers.
    fn dispatcher(&self, group: usize, now_ms: Millis) -> Who {
        let usable = |who: &Who| match *who {
            Who::Me => true,
            Who::Peer(peer) => self.peers.usable(peer, now_ms),
        };
        self.groups[group].order.iter().copied().find(usable).unwrap_or(Who::Me)
    }

    /// `None` when the link to the group has no room.
    fn candidate(&mut self, index: usize, up_bytes: u64, now_ms: Millis) -> Option<Candidate> {
        let booking = match self.groups[index].link {
            None => None,
            Some(link) => Some(self.links.room(link, up_bytes, now_ms)?),
        };
        let who = self.dispatcher(index, now_ms);
        let group = &mut self.groups[index];
        let (free, wait_ms, queued) = match who {
            Who::Me => (group.free(), group.wait_ms(), group.queue.len()),
            Who::Peer(peer) => {
                group.know(peer);
                let share = group.listed_slots.div_ceil(self.instances);
                (
                    group.known.free(share, now_ms),
                    group.known.wait_ms(group.listed_slots),
                    group.known.queued(),
                )
            }
        };
        let wait_ms = wait_ms + group.round_trip_ms;
        let full = queued >= queue::limit(group.listed_slots);
        Some(Candidate { group: index, who, booking, free, wait_ms, full })
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
            let booking = self.groups[group].link;
            let booking = booking.and_then(|link| self.links.room(link, ask.up_bytes, now_ms));
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

    fn take_slot(
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

impl Group {
    /// Free slots that nobody waits for.
    pub(super) fn free(&self) -> u64 {
        if self.queue.is_empty() { u64::from(self.router.room().free) } else { 0 }
    }

    /// How long another request would wait here.
    pub(super) fn wait_ms(&self) -> u64 {
        if self.free() > 0 {
            return 0;
        }
        self.drain.wait_ms(self.queue.len() + 1, self.router.room().slots)
    }

    /// Another dispatcher's words do not count for this one.
    fn know(&mut self, peer: usize) {
        if self.known_of != Some(peer) {
            self.known_of = Some(peer);
            self.known.forget();
        }
    }

    /// Counts a request that another instance handed over.
    fn enter(&mut self, peer: usize, now_ms: Millis) {
        if !self.handers.iter().any(|hander| hander.peer == peer) {
            let heard_at_ms = now_ms;
            self.handers.push(Hander { peer, seen: 0, active: 0, heard_at_ms, said: None });
        }
        for hander in self.handers.iter_mut().filter(|hander| hander.peer == peer) {
            hander.seen += 1;
            hander.active += 1;
            hander.heard_at_ms = now_ms;
        }
    }

    /// Counts the end of a request that another instance handed over.
    pub(super) fn leave(&mut self, peer: Option<usize>) {
        for hander in self.handers.iter_mut().filter(|hander| Some(hander.peer) == peer) {
            hander.active = hander.active.saturating_sub(1);
        }
    }
}
