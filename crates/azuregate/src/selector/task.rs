//! The task that owns the dispatch state of a service.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use azuregate_core::{
    error::Error,
    names::{InstanceId, ServiceName, ZoneName},
    route::{
        Completion,
        dispatch::{Decision, Dispatch, DispatchRequest, Refusal},
    },
    snapshot::Snapshot,
    steer::Steer,
    topology::Topology,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    clock::SharedClock,
    dispatch::{LoadExchange, LoadUpdate, LoadUpdates},
    selector::{
        ByteCounter, SelectorContext, SlotRequest, TICK_MS,
        lease::{LeasedResource, Message, Reply},
    },
    timer::Tick,
};

/// Returns a process-wide unique identifier of a slot request.
pub(super) fn next_ticket() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A hand-over in progress.
pub(super) struct PendingHandOver {
    pub(super) peer: usize,
    pub(super) lost: oneshot::Sender<()>,
}

pub(super) struct Task {
    service: ServiceName,
    pub(super) zone: ZoneName,
    pub(super) clock: SharedClock,
    pub(super) dispatch: Dispatch,
    steer: Option<Box<dyn Steer>>,
    rng: fastrand::Rng,
    exchange: LoadExchange,
    load_updates: LoadUpdates,
    ticks: mpsc::Receiver<Tick>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    pub(super) topology: Arc<Topology>,
    pub(super) addrs: HashMap<InstanceId, SocketAddr>,
    waiting: HashMap<u64, Reply>,
    pub(super) pending_hand_overs: HashMap<u64, PendingHandOver>,
    pub(super) byte_counters: BTreeMap<usize, Arc<ByteCounter>>,
    pub(super) sender: mpsc::WeakUnboundedSender<Message>,
}

impl Task {
    pub(super) fn new(
        service: &ServiceName,
        context: &SelectorContext,
        dispatch: Dispatch,
        steer: Option<Box<dyn Steer>>,
        sender: mpsc::WeakUnboundedSender<Message>,
    ) -> Task {
        Task {
            service: service.clone(),
            zone: context.zone.clone(),
            clock: Arc::clone(&context.clock),
            dispatch,
            steer,
            rng: fastrand::Rng::new(),
            exchange: context.exchange.clone(),
            load_updates: context.exchange.incoming(),
            ticks: context.timer.subscribe(TICK_MS),
            snapshots: context.snapshots.watch(),
            topology: Arc::clone(&context.snapshots.current().topology),
            addrs: HashMap::new(),
            waiting: HashMap::new(),
            pending_hand_overs: HashMap::new(),
            byte_counters: BTreeMap::new(),
            sender,
        }
    }

    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        self.set_snapshot();
        loop {
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                update = self.load_updates.recv() => {
                    let Some(update) = update else { return };
                    self.receive_update(&update);
                }
                tick = self.ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.tick();
                }
                changed = self.snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.set_snapshot();
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.clock.now();
        match message {
            Message::Acquire { ticket, request, reply } => self.acquire(ticket, &request, reply),
            Message::CancelWaiting { ticket } => {
                if let Some(refusal) = self.dispatch.cancel_waiting(ticket) {
                    self.refuse(ticket, refusal);
                }
            }
            Message::Release { resource: LeasedResource::Slot(slot), completion } => {
                self.dispatch.release(&slot, completion, now_ms);
                self.serve_waiting(slot.group);
            }
            Message::Release {
                resource: LeasedResource::HandOver { hand_over, ticket },
                completion,
            } => {
                self.pending_hand_overs.remove(&ticket);
                self.dispatch.finish_hand_over(&hand_over, completion, now_ms);
            }
            Message::RecordLoad { slot, report } => self.dispatch.record_load(&slot, report),
            Message::RecordGroupLoad { hand_over, load } => {
                let from = self.dispatch.dispatcher_id(&hand_over).clone();
                let group = self.dispatch.group_id(hand_over.group).clone();
                self.dispatch.receive_load(&from, &group, load, false, now_ms);
            }
            Message::LoadFor { to, group, reply } => {
                let _ = reply.send(self.dispatch.load_for(&to, &group, now_ms));
            }
        }
    }

    fn receive_update(&mut self, update: &LoadUpdate) {
        if update.service == self.service {
            let now_ms = self.clock.now();
            self.dispatch.receive_load(&update.peer, &update.group, update.load, true, now_ms);
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now();
        for (&link, counter) in &self.byte_counters {
            let (request_bytes, response_bytes) = counter.totals();
            self.dispatch.record_link_bytes(link, request_bytes, response_bytes, now_ms);
        }
        let (updates, silent) = self.dispatch.tick(now_ms);
        for update in updates {
            let service = self.service.clone();
            self.exchange.send(LoadUpdate {
                peer: update.to,
                service,
                group: update.group,
                load: update.load,
            });
        }
        for peer in silent {
            self.notify_dispatcher_lost(peer);
        }
        self.serve_all_waiting();
    }

    /// Notifies the requests handed over to `peer`, so that idempotent ones are
    /// retried without waiting for their deadline.
    fn notify_dispatcher_lost(&mut self, peer: usize) {
        let lost: Vec<u64> = self
            .pending_hand_overs
            .iter()
            .filter(|(_, pending)| pending.peer == peer)
            .map(|(&ticket, _)| ticket)
            .collect();
        if lost.is_empty() {
            return;
        }
        log::warn!(
            service:% = self.service, instance:% = self.dispatch.peer_id(peer),
            requests = lost.len();
            "dispatcher stopped responding"
        );
        for ticket in lost {
            if let Some(pending) = self.pending_hand_overs.remove(&ticket) {
                let _ = pending.lost.send(());
            }
        }
    }

    fn set_snapshot(&mut self) {
        let snapshot = self.snapshots.borrow_and_update().clone();
        self.topology = Arc::clone(&snapshot.topology);
        let instances = snapshot.instances.iter();
        self.addrs = instances.map(|i| (i.id.clone(), i.traffic_addr())).collect();
        if let Some(steer) = &mut self.steer {
            steer.set_snapshot(&snapshot);
        }
        for peer in self.dispatch.away_peers_with_requests(&snapshot) {
            self.notify_dispatcher_lost(peer);
        }
        for (waiting, refusal) in self.dispatch.set_snapshot(&snapshot) {
            self.refuse(waiting.ticket, refusal);
        }
        self.serve_all_waiting();
    }

    fn acquire(&mut self, ticket: u64, request: &SlotRequest, reply: Reply) {
        let decision = match &request.incoming_hand_over {
            None => self.place(ticket, request),
            Some(incoming) => {
                let max_wait_ms = request.max_wait_ms.min(incoming.max_wait_ms);
                let dispatch_request = DispatchRequest {
                    ticket,
                    zones: &[],
                    max_wait_ms,
                    remaining_ms: request.remaining_ms,
                    body_bytes: request.body_bytes,
                    idempotent: request.idempotent,
                };
                let (from, group) = (&incoming.from, &incoming.group);
                let now_ms = self.clock.now();
                self.dispatch.place_handed_over(
                    from,
                    group,
                    &dispatch_request,
                    now_ms,
                    &mut self.rng,
                )
            }
        };
        match decision {
            Decision::Serve(slot) => self.reply_slot(reply, slot),
            Decision::HandOver(hand_over) => {
                self.reply_hand_over(reply, ticket, hand_over, request)
            }
            Decision::Wait { group } => {
                self.waiting.insert(ticket, reply);
                self.serve_waiting(group);
            }
            Decision::Refuse(refusal) => {
                let _ = reply.send(Err(refusal_error(refusal)));
            }
        }
    }

    fn place(&mut self, ticket: u64, request: &SlotRequest) -> Decision {
        let now_ms = self.clock.now();
        let SlotRequest { max_wait_ms, remaining_ms, body_bytes, idempotent, .. } = *request;
        let Some(steer) = &mut self.steer else {
            let plan = std::slice::from_ref(&self.zone);
            let dispatch_request = DispatchRequest {
                ticket,
                zones: plan,
                max_wait_ms,
                remaining_ms,
                body_bytes,
                idempotent,
            };
            return self.dispatch.place(&dispatch_request, now_ms, &mut self.rng);
        };
        let plan = steer.plan(self.clock.epoch(), now_ms);
        if plan.cap_reached {
            steer.record_placement(&plan, None, now_ms);
            return Decision::Refuse(Refusal::cap_reached());
        }
        let dispatch_request = DispatchRequest {
            ticket,
            zones: &plan.zones,
            max_wait_ms,
            remaining_ms,
            body_bytes,
            idempotent,
        };
        let decision = self.dispatch.place(&dispatch_request, now_ms, &mut self.rng);
        let group = match decision {
            Decision::Serve(slot) => Some(slot.group),
            Decision::HandOver(hand_over) => Some(hand_over.group),
            Decision::Wait { group } => Some(group),
            Decision::Refuse(_) => None,
        };
        let zone = group.map(|group| &self.dispatch.group_id(group).zone);
        steer.record_placement(&plan, zone, now_ms);
        decision
    }

    fn serve_waiting(&mut self, group: usize) {
        let now_ms = self.clock.now();
        while let Some((waiting, slot)) = self.dispatch.serve_waiting(group, now_ms, &mut self.rng)
        {
            match self.waiting.remove(&waiting.ticket) {
                // If the requester is gone, dropping the lease releases the slot.
                Some(reply) => self.reply_slot(reply, slot),
                None => self.dispatch.release(&slot, Completion::Cancelled, now_ms),
            }
        }
    }

    fn serve_all_waiting(&mut self) {
        for group in 0..self.dispatch.group_count() {
            self.serve_waiting(group);
        }
    }

    fn refuse(&mut self, ticket: u64, refusal: Refusal) {
        if let Some(reply) = self.waiting.remove(&ticket) {
            let _ = reply.send(Err(refusal_error(refusal)));
        }
    }
}

/// Converts a refusal to the error for the client.
fn refusal_error(refusal: Refusal) -> Error {
    Error::new(refusal.kind, refusal.reason).with_retry_after_ms(refusal.retry_after_ms)
}
