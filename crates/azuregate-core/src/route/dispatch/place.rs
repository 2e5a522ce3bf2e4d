//! Placement of requests.

use std::{cmp::Reverse, ops::Range};

use crate::{
    names::InstanceId,
    route::{
        dispatch::{Decision, Dispatch, DispatchRequest, Dispatcher, HandOver, Refusal, Slot},
        group::GroupId,
        link::Reservation,
        queue::{self, QueuedRequest},
    },
    time::Millis,
};

/// A group that a request could be placed in.
#[derive(Clone, Copy)]
struct Candidate {
    group: usize,
    dispatcher: Dispatcher,
    reservation: Option<Reservation>,
    free: u64,
    /// Expected waiting time for a slot, without network delay.
    wait_ms: u64,
    /// Waiting time plus the cost of a zone other than the first.
    cost_ms: u64,
    /// Whether its queue is full.
    full: bool,
}

/// Minimum cost of a zone other than the first of a request.
const MIN_ZONE_CHANGE_COST_MS: u64 = 4;

impl Candidate {
    /// Lower is better: space in the queue, then lower cost, then more free slots.
    fn sort_key(&self) -> (bool, u64, Reverse<u64>) {
        (self.full, self.cost_ms, Reverse(self.free))
    }
}

impl Dispatch {
    /// Places a request from a client of this instance where it is expected to
    /// start first.
    ///
    /// The cost of a zone other than the first includes the difference of the
    /// round-trip times, so that a request waits briefly for the first zone rather
    /// than move to a free slot in a distant region: that is 40 ms away, while a slot here is
    /// often free in 5 ms.
    pub fn place(
        &mut self,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Decision {
        let mut best: Option<Candidate> = None;
        let mut link_full = false;
        let mut first_rtt_ms = None;
        for zone in request.zones {
            let Some(groups) = self.by_zone.get(zone).cloned() else {
                continue;
            };
            let round_trip_ms = self.groups[self.available_groups[groups.start]].round_trip_ms;
            let rtt_difference_ms = match first_rtt_ms {
                None => 0,
                Some(first_rtt_ms) => {
                    round_trip_ms.abs_diff(first_rtt_ms).max(MIN_ZONE_CHANGE_COST_MS)
                }
            };
            first_rtt_ms.get_or_insert(round_trip_ms);
            let Some(mut candidate) = self.best_in_zone(groups, request, now_ms) else {
                link_full = true;
                continue;
            };
            candidate.cost_ms += rtt_difference_ms;
            if best.is_none_or(|best| candidate.sort_key() < best.sort_key()) {
                best = Some(candidate);
            }
            // No later zone can be better than a free slot at no cost.
            if candidate.cost_ms == 0 {
                break;
            }
        }
        match best {
            Some(candidate) => self.place_in(candidate, request, now_ms, rng),
            None if request.zones.is_empty() && !self.by_zone.is_empty() => {
                Decision::Refuse(Refusal::cap_reached())
            }
            None if link_full => Decision::Refuse(Refusal::link_full()),
            None => Decision::Refuse(Refusal::no_backend()),
        }
    }

    /// Places a request that `from` handed over for a group. It is not handed
    /// over again, which could loop.
    pub fn place_handed_over(
        &mut self,
        from: &InstanceId,
        group: &GroupId,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Decision {
        let Some(&index) = self.by_id.get(group) else {
            return Decision::Refuse(Refusal::no_backend());
        };
        let peer = self.peers.index(from);
        self.groups[index].add_request(peer, now_ms);
        let decision = self.place_locally(index, Some(peer), request, now_ms, rng);
        if matches!(decision, Decision::Refuse(_)) {
            self.groups[index].remove_request(Some(peer));
        }
        decision
    }

    /// Returns the best group of a zone, or `None` if the link to it lacks
    /// capacity.
    fn best_in_zone(
        &mut self,
        groups: Range<usize>,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
    ) -> Option<Candidate> {
        let reservation = self.check_link(self.available_groups[groups.start], request, now_ms)?;
        let mut best: Option<Candidate> = None;
        for nth in groups {
            let candidate =
                self.candidate(self.available_groups[nth], reservation, request, now_ms);
            if best.is_none_or(|best| candidate.sort_key() < best.sort_key()) {
                best = Some(candidate);
            }
        }
        best
    }

    /// Returns the dispatcher of a group: the most preferred one that is usable.
    fn dispatcher(&self, group: usize, idempotent: bool, now_ms: Millis) -> Dispatcher {
        let usable = |dispatcher: &Dispatcher| match *dispatcher {
            Dispatcher::Local => true,
            Dispatcher::Peer(peer) => self.peers.is_usable(peer, idempotent, now_ms),
        };
        self.groups[group].dispatchers.iter().copied().find(usable).unwrap_or(Dispatcher::Local)
    }

    /// Returns the reservation that a request needs on the link to a group,
    /// `Some(None)` if it crosses no link, or `None` if the link lacks capacity.
    fn check_link(
        &mut self,
        group: usize,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
    ) -> Option<Option<Reservation>> {
        let Some(link) = self.groups[group].link else {
            return Some(None);
        };
        self.links.plan_reservation(link, request.body_bytes, now_ms).map(Some)
    }

    fn candidate(
        &mut self,
        index: usize,
        reservation: Option<Reservation>,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
    ) -> Candidate {
        let dispatcher = self.dispatcher(index, request.idempotent, now_ms);
        let group = &mut self.groups[index];
        let (free, wait_ms, queued) = match dispatcher {
            Dispatcher::Local => (group.free(), group.wait_ms(), group.queue.len()),
            Dispatcher::Peer(peer) => {
                group.set_remote_peer(peer);
                let slots = group.listed_slots;
                let free = group.remote.estimated_free(slots.div_ceil(self.live_instances), now_ms);
                let wait_ms = if free > 0 { 0 } else { group.remote.estimated_wait_ms(slots) };
                (free, wait_ms, group.remote.estimated_queued(now_ms))
            }
        };
        let full = queued >= queue::max_len(group.listed_slots);
        Candidate { group: index, dispatcher, reservation, free, wait_ms, cost_ms: wait_ms, full }
    }

    fn place_in(
        &mut self,
        candidate: Candidate,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Decision {
        let Candidate { group, dispatcher, reservation, wait_ms, full, .. } = candidate;
        let Dispatcher::Peer(peer) = dispatcher else {
            return self.place_locally(group, None, request, now_ms, rng);
        };
        // The dispatcher would refuse the request as well, a round trip later.
        if full {
            return Decision::Refuse(Refusal::queue_full(wait_ms));
        }
        let wait_ms = wait_ms + self.groups[group].round_trip_ms;
        if wait_ms > request.max_wait_ms || wait_ms >= request.remaining_ms {
            return Decision::Refuse(Refusal::too_late(wait_ms));
        }
        self.hand_over(group, peer, reservation, now_ms)
    }

    fn place_locally(
        &mut self,
        group: usize,
        from: Option<usize>,
        request: &DispatchRequest<'_>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Decision {
        if self.groups[group].listed_slots == 0 {
            return Decision::Refuse(Refusal::no_backend());
        }
        if self.groups[group].queue.is_empty() {
            // The link has been checked before, here or by the instance that
            // handed the request over; the bandwidth is reserved here as well.
            let reservation = self.check_link(group, request, now_ms).flatten();
            if let Some(slot) = self.acquire_slot(group, reservation, now_ms, rng) {
                return Decision::Serve(Slot { from, ..slot });
            }
        }
        self.enqueue(group, from, request)
    }

    fn enqueue(
        &mut self,
        index: usize,
        from: Option<usize>,
        request: &DispatchRequest<'_>,
    ) -> Decision {
        let group = &mut self.groups[index];
        let wait_ms = group.wait_ms();
        if group.queue.len() >= queue::max_len(group.listed_slots) {
            return Decision::Refuse(Refusal::queue_full(wait_ms));
        }
        let meets_deadline = wait_ms <= request.max_wait_ms
            && wait_ms + group.service_time.mean_ms() <= request.remaining_ms;
        if !meets_deadline {
            return Decision::Refuse(Refusal::too_late(wait_ms));
        }
        group.queue.push(QueuedRequest { ticket: request.ticket, from });
        Decision::Wait { group: index }
    }

    pub(super) fn acquire_slot(
        &mut self,
        index: usize,
        reservation: Option<Reservation>,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<Slot> {
        let group = &mut self.groups[index];
        let key = group.router.acquire(now_ms, rng)?;
        group.service_time.acquire(now_ms);
        if let Some(reservation) = reservation {
            self.links.reserve(reservation);
        }
        Some(Slot { group: index, key, reservation, from: None })
    }

    fn hand_over(
        &mut self,
        group: usize,
        peer: usize,
        reservation: Option<Reservation>,
        now_ms: Millis,
    ) -> Decision {
        self.peers.start_hand_over(peer, now_ms);
        self.groups[group].remote.hand_over();
        if let Some(reservation) = reservation {
            self.links.reserve(reservation);
        }
        Decision::HandOver(HandOver { group, peer, reservation })
    }
}
