//! Releases slots and serves queued requests.

use crate::{
    route::{
        Completion,
        dispatch::{Dispatch, HandOver, Refusal, Slot},
        queue::QueuedRequest,
    },
    time::Millis,
};

impl Dispatch {
    /// Assigns a free slot of a group to its oldest queued request, or returns
    /// `None` if there is no such slot or request.
    pub fn serve_waiting(
        &mut self,
        group: usize,
        now_ms: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<(QueuedRequest, Slot)> {
        if self.groups[group].queue.is_empty() {
            return None;
        }
        let slot = self.acquire_slot(group, None, now_ms, rng)?;
        let waiting = self.groups[group].queue.pop()?;
        Some((waiting, Slot { from: waiting.from, ..slot }))
    }

    /// Removes a request from its queue and returns its refusal, or `None` if it
    /// is not queued.
    pub fn cancel_waiting(&mut self, ticket: u64) -> Option<Refusal> {
        for group in &mut self.groups {
            if let Some(waiting) = group.queue.remove(ticket) {
                group.remove_request(waiting.from);
                return Some(Refusal::too_late(group.wait_ms()));
            }
        }
        None
    }

    /// Releases a slot and records how its request completed.
    pub fn release(&mut self, slot: &Slot, completion: Completion, now_ms: Millis) {
        let group = &mut self.groups[slot.group];
        group.router.release(slot.key, completion, now_ms);
        group.service_time.release(matches!(completion, Completion::Responded { .. }), now_ms);
        group.remove_request(slot.from);
        if let Some(reservation) = slot.reservation {
            self.links.release(reservation);
        }
    }

    /// Records the end of a hand-over. A dispatcher that failed is ejected.
    pub fn finish_hand_over(
        &mut self,
        hand_over: &HandOver,
        completion: Completion,
        now_ms: Millis,
    ) {
        self.peers.finish_hand_over(hand_over.peer);
        let failed = completion == Completion::Failed;
        let group = &mut self.groups[hand_over.group];
        if group.remote_peer == Some(hand_over.peer) {
            group.remote.finish(!failed);
        }
        if failed {
            self.peers.record_failure(hand_over.peer, now_ms);
        }
        if let Some(reservation) = hand_over.reservation {
            self.links.release(reservation);
        }
    }
}
