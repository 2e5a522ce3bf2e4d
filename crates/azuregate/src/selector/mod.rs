/*!
Selectors: for each service one task owns the slots of its backend servers, the
queues and what other instances say of theirs.
*/

mod byte_counter;
mod lease;
mod reply;
mod task;

use std::{collections::HashMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use azuregate_core::{
    error::{Error, ErrorKind},
    names::{InstanceId, ServiceName, StartNumber, ZoneName},
    route::{
        SlotTable,
        dispatch::{Config, Dispatch, Grouping},
        group::{GroupId, GroupLoad},
    },
    steer::{CappedSteer, Steer},
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    clock::SharedClock,
    config::Snapshots,
    dispatch::{LoadExchange, RoutingMode},
    timer::Timer,
};

use self::{lease::Message, task::Task};

pub use byte_counter::ByteCounter;
pub use lease::{Lease, OutgoingHandOver};

/// How often the queues and the updates to other instances are looked at.
const TICK_MS: u64 = 50;

/// What selectors work with.
#[derive(Clone)]
pub struct SelectorContext {
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// How backend servers are chosen.
    pub routing_mode: RoutingMode,
    /// The clock.
    pub clock: SharedClock,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Loads of groups, to and from other instances.
    pub exchange: LoadExchange,
    /// When to look at the queues.
    pub timer: Timer,
}

/// A request that wants a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// How long it may wait for one.
    pub max_wait_ms: u64,
    /// How long its caller waits for the answer.
    pub remaining_ms: u64,
    /// The length of its body, as far as it is known.
    pub body_bytes: u64,
    /// Whether it may be sent twice.
    pub idempotent: bool,
    /// Who handed it over, if it is here on its second hop.
    pub incoming_hand_over: Option<IncomingHandOver>,
}

/// A request that another instance handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IncomingHandOver {
    /// The other instance.
    pub from: InstanceId,
    /// The group that it is for.
    pub group: GroupId,
    /// How long it may wait for a slot.
    pub max_wait_ms: u64,
}

/// A handle to a selector's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Selector {
    sender: mpsc::UnboundedSender<Message>,
}

impl Selector {
    /// Starts a selector for `service`; it ends when the last handle is dropped.
    pub fn start(service: &ServiceName, context: &SelectorContext) -> Selector {
        let (sender, receiver) = mpsc::unbounded_channel();
        let config = |grouping, make_router| Config {
            service: service.clone(),
            instance: context.instance.clone(),
            zone: context.zone.clone(),
            start: context.start,
            grouping,
            make_router,
        };
        let (config, steer): (Config, Option<Box<dyn Steer>>) = match &context.routing_mode {
            RoutingMode::Dispatch => {
                let make_router = Box::new(|| Box::new(SlotTable::default()) as _);
                let steer = Box::new(CappedSteer::new(service, &context.instance, &context.zone));
                (config(Grouping::PerZone, make_router), Some(steer))
            }
            RoutingMode::Independent(make_router) => {
                let make_router = Arc::clone(make_router);
                (config(Grouping::WholeService, Box::new(move || make_router())), None)
            }
        };
        let task = Task::new(service, context, Dispatch::new(config), steer, sender.downgrade());
        tokio::spawn(task.run(receiver));
        Selector { sender }
    }

    /// Takes a slot, here or at the dispatcher of another group.
    ///
    /// # Errors
    ///
    /// All mean that nothing was sent: no server may serve, the queue is full,
    /// or the wait was or would be too long.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Lease, Error> {
        let stopped = || Error::new(ErrorKind::Stopping, "the instance is stopping");
        let wait = Duration::from_millis(request.max_wait_ms);
        let (reply, mut answer) = oneshot::channel();
        let ticket = task::next_ticket();
        self.sender.send(Message::Acquire { ticket, request, reply }).map_err(|_| stopped())?;
        // A caller that leaves while it waits leaves the queue as well.
        let mut cancel_on_drop = CancelOnDrop { ticket, sender: Some(&self.sender) };
        if let Ok(answer) = time::timeout(wait, &mut answer).await {
            cancel_on_drop.sender = None;
            return answer.map_err(|_| stopped())?;
        }
        // A slot may be on its way: the task settles which came first.
        drop(cancel_on_drop);
        answer.await.map_err(|_| stopped())?
    }

    /// The load of a group, for the instance that handed a request over.
    pub async fn load_for(&self, incoming_hand_over: &IncomingHandOver) -> Option<GroupLoad> {
        let (reply, answer) = oneshot::channel();
        let (to, group) = (incoming_hand_over.from.clone(), incoming_hand_over.group.clone());
        self.sender.send(Message::LoadFor { to, group, reply }).ok()?;
        answer.await.ok()?
    }
}

/// Gives up a place in the queue when dropped, unless the sender was taken out.
struct CancelOnDrop<'a> {
    ticket: u64,
    sender: Option<&'a mpsc::UnboundedSender<Message>>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(sender) = self.sender {
            let _ = sender.send(Message::CancelWaiting { ticket: self.ticket });
        }
    }
}

/// The selectors of all services, started when they are first asked for.
///
/// Looking one up takes no lock: a request must not wait for another.
pub struct Selectors {
    context: SelectorContext,
    by_service: ArcSwap<HashMap<ServiceName, Selector>>,
}

impl Selectors {
    /// Makes the collection; no selector is started yet.
    pub fn new(context: SelectorContext) -> Selectors {
        Selectors { context, by_service: ArcSwap::default() }
    }

    /// The selector of a service.
    pub fn get(&self, service: &ServiceName) -> Selector {
        if let Some(selector) = self.by_service.load().get(service) {
            return selector.clone();
        }
        let started = Selector::start(service, &self.context);
        self.by_service.rcu(|selectors| {
            let mut selectors = HashMap::clone(selectors);
            selectors.entry(service.clone()).or_insert_with(|| started.clone());
            selectors
        });
        // Two requests may have started one each. The first to be entered stays;
        // the other ends with its handle.
        self.by_service.load().get(service).cloned().unwrap_or(started)
    }
}
