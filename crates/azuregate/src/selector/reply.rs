//! Answers those that wanted a slot.

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
    HandedTo, Lease, Meter, Want,
    lease::{Held, Reply},
    task::{Out, Task},
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
            handed_to: None,
            meter: None,
            held: Held::Slot(slot),
            ending: Completion::Cancelled,
            sender,
        };
        lease.meter = slot.reservation.map(|reservation| self.meter(reservation.link));
        let _ = reply.send(Ok(lease));
    }

    pub(super) fn reply_hand_over(
        &mut self,
        reply: Reply,
        ticket: u64,
        hand_over: HandOver,
        want: &Want,
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
        let (lose, lost) = oneshot::channel();
        self.out.insert(ticket, Out { peer: hand_over.peer, lost: lose });
        let meter = hand_over.reservation.map(|reservation| self.meter(reservation.link));
        let lease = Lease {
            backend,
            start: StartNumber::default(),
            addr,
            delay_ms,
            handed_to: Some(HandedTo { group, wait_ms: want.wait_ms, lost }),
            meter,
            held: Held::HandOver { hand_over, ticket },
            ending: Completion::Cancelled,
            sender,
        };
        let _ = reply.send(Ok(lease));
    }

    fn meter(&mut self, link: usize) -> Arc<Meter> {
        Arc::clone(self.meters.entry(link).or_default())
    }
}
