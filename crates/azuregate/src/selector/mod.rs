/*!
Selects backend servers. For each service, one task owns the slots of its backend
servers, the queues and the loads reported by other instances.
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

/// Interval at which queues are checked and load updates are sent.
const TICK_MS: u64 = 50;

/// The state and handles that selectors use.
#[derive(Clone)]
pub struct SelectorContext {
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// How backend servers are selected.
    pub routing_mode: RoutingMode,
    /// The clock.
    pub clock: SharedClock,
    /// Publishes the configuration in force.
    pub snapshots: Snapshots,
    /// Exchanges loads of groups with other instances.
    pub exchange: LoadExchange,
    /// Provides the ticks.
    pub timer: Timer,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Maximum time to wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Length of its body in bytes, as far as it is known.
    pub body_bytes: u64,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
    /// Set if another instance handed it over.
    pub incoming_hand_over: Option<IncomingHandOver>,
}

/// A request that another instance handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IncomingHandOver {
    /// The instance that handed it over.
    pub from: InstanceId,
    /// The group that it is for.
    pub group: GroupId,
    /// Maximum time to wait for a slot, in milliseconds.
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

    /// Acquires a slot here, or a hand-over to another dispatcher.
    ///
    /// # Errors
    ///
    /// Fails if no server is available, the queue is full, or the wait was or would
    /// be too long. Nothing has been sent in any of these cases.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Lease, Error> {
        let stopped = || Error::new(ErrorKind::Stopping, "the instance is stopping");
        let wait = Duration::from_millis(request.max_wait_ms);
        let (reply, mut answer) = oneshot::channel();
        let ticket = task::next_ticket();
        self.sender.send(Message::Acquire { ticket, request, reply }).map_err(|_| stopped())?;
        // Dropping this future removes the request from the queue.
        let mut cancel_on_drop = CancelOnDrop { ticket, sender: Some(&self.sender) };
        if let Ok(answer) = time::timeout(wait, &mut answer).await {
            cancel_on_drop.sender = None;
            return answer.map_err(|_| stopped())?;
        }
        // A slot may have been assigned meanwhile; the task replies either way.
        drop(cancel_on_drop);
        answer.await.map_err(|_| stopped())?
    }

    /// Returns the load of a group, to report to the instance that handed a request
    /// over.
    pub async fn load_for(&self, incoming_hand_over: &IncomingHandOver) -> Option<GroupLoad> {
        let (reply, answer) = oneshot::channel();
        let (to, group) = (incoming_hand_over.from.clone(), incoming_hand_over.group.clone());
        self.sender.send(Message::LoadFor { to, group, reply }).ok()?;
        answer.await.ok()?
    }
}

/// Removes a request from the queue when dropped, unless `sender` was cleared.
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

/// The selectors of all services, started on first use.
///
/// Look-ups are lock-free, so that requests never block each other.
pub struct Selectors {
    context: SelectorContext,
    by_service: ArcSwap<HashMap<ServiceName, Selector>>,
}

impl Selectors {
    /// Creates an empty collection.
    pub fn new(context: SelectorContext) -> Selectors {
        Selectors { context, by_service: ArcSwap::default() }
    }

    /// Returns the selector of a service, starting it if necessary.
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
        // Two requests may race to start one. The first inserted is kept; the other
        // ends when its handle is dropped.
        self.by_service.load().get(service).cloned().unwrap_or(started)
    }
}
