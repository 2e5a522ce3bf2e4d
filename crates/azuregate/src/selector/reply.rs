//! Replies to slot requests.

use std::sync::Arc;

use azuregate_core::{
    names::{BackendId, StartNumber},
    route::{
        Completion,
        dispatch::{HandOver, Slot},
    },
};
use tokio::sync::oneshot;

use crate::selector::{
    ByteCounter, Lease, OutgoingHandOver, SlotRequest,
    lease::{LeasedResource, Reply},
    task::{PendingHandOver, Task},
};

impl Task {
    pub(super) fn reply_slot(&mut self, reply: Reply, slot: Slot) {
        let (Some(sender), Some(server)) = (self.sender.upgrade(), self.dispatch.server(&slot))
        else {
            let now_ms = self.clock.now();
            self.dispatch.release(&slot, Completion::Cancelled, now_ms);
            return;
        };
        let distance = self.topology.distance(&self.zone, &server.zone);
        let mut lease = Lease {
            backend: server.id.clone(),
            start: server.start,
            addr: server.addr,
            delay_ms: self.topology.delay_ms(distance),
            outgoing_hand_over: None,
            byte_counter: None,
            resource: LeasedResource::Slot(slot),
            completion: Completion::Cancelled,
            sender,
        };
        lease.byte_counter =
            slot.reservation.map(|reservation| self.byte_counter(reservation.link));
        let _ = reply.send(Ok(lease));
    }

    pub(super) fn reply_hand_over(
        &mut self,
        reply: Reply,
        ticket: u64,
        hand_over: HandOver,
        request: &SlotRequest,
    ) {
        let id = self.dispatch.dispatcher_id(&hand_over);
        let (Some(sender), Some(&addr)) = (self.sender.upgrade(), self.addrs.get(id)) else {
            let now_ms = self.clock.now();
            self.dispatch.finish_hand_over(&hand_over, Completion::Failed, now_ms);
            return;
        };
        let backend = BackendId::new(id.as_str());
        let group = self.dispatch.group_id(hand_over.group).clone();
        let distance = self.topology.distance(&self.zone, &group.zone);
        let delay_ms = self.topology.delay_ms(distance);
        let (lost_sender, lost) = oneshot::channel();
        self.pending_hand_overs
            .insert(ticket, PendingHandOver { peer: hand_over.peer, lost: lost_sender });
        let byte_counter =
            hand_over.reservation.map(|reservation| self.byte_counter(reservation.link));
        let lease = Lease {
            backend,
            start: StartNumber::default(),
            addr,
            delay_ms,
            outgoing_hand_over: Some(OutgoingHandOver {
                group,
                max_wait_ms: request.max_wait_ms,
                lost,
            }),
            byte_counter,
            resource: LeasedResource::HandOver { hand_over, ticket },
            completion: Completion::Cancelled,
            sender,
        };
        let _ = reply.send(Ok(lease));
    }

    fn byte_counter(&mut self, link: usize) -> Arc<ByteCounter> {
        Arc::clone(self.byte_counters.entry(link).or_default())
    }
}
