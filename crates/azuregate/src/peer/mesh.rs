//! Maintains a link to each neighbour.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use azuregate_core::{
    membership::HeartbeatTiming,
    names::{InstanceId, StartNumber},
    neighbours,
    snapshot::Instance,
    time::Millis,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
};

use crate::{
    accept,
    clock::SharedClock,
    config::{Config, Snapshots},
    dispatch::LoadExchange,
    membership::Members,
    peer::{
        WsLink,
        link::{self, ExpectedPeer, LinkContext},
    },
    timer::Timer,
};

/// Interval at which missing links are dialled.
const DIAL_INTERVAL_MS: u64 = 500;
/// Time after which the instance with the greater name dials as well. The other one may
/// not know of it, or may be unable to connect in that direction.
const PASSIVE_DIAL_DELAY_MS: u64 = 1_500;

/// Opens and accepts the links of an instance.
pub struct Mesh {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// The IP address from which links are opened.
    pub ip: IpAddr,
    /// Applies the changes that neighbours send.
    pub config: Config,
    /// The changes to send to neighbours.
    pub snapshots: Snapshots,
    /// Receives heartbeats.
    pub members: Members,
    /// The clock.
    pub clock: SharedClock,
    /// Passes loads of groups to and from neighbours.
    pub exchange: LoadExchange,
    /// Schedules dialling and heartbeats.
    pub timer: Timer,
}

/// The open links of an instance and those being dialled.
#[derive(Default)]
struct Links {
    tasks: JoinSet<ClosedLink>,
    open: BTreeMap<InstanceId, usize>,
    dialling: BTreeSet<InstanceId>,
    missing_since_ms: BTreeMap<InstanceId, Millis>,
    listed: Arc<[Instance]>,
    neighbours: BTreeSet<InstanceId>,
}

/// A link whose task has ended.
struct ClosedLink {
    /// The instance that was dialled, `None` for an accepted link.
    dialled: Option<InstanceId>,
    /// The neighbour, if it identified itself.
    neighbour: Option<InstanceId>,
}

impl Mesh {
    /// Accepts and opens links until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        let mut dial_ticks = self.timer.subscribe(DIAL_INTERVAL_MS);
        let mut links = Links::default();
        let (opened, mut opened_links) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                (stream, from) = accept::next(&listener) => {
                    let context = self.link_context(ExpectedPeer::ListedAt(from.ip()), &opened);
                    links.tasks.spawn(accept(stream, context));
                }
                Some(neighbour) = opened_links.recv() => links.add_open(neighbour),
                Some(closed) = links.tasks.join_next(), if !links.tasks.is_empty() => {
                    links.remove_closed(closed.ok());
                }
                tick = dial_ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.dial_missing(&mut links, &opened);
                }
            }
        }
    }

    fn dial_missing(&self, links: &mut Links, opened: &mpsc::UnboundedSender<InstanceId>) {
        let snapshot = self.snapshots.current();
        let now_ms = self.clock.now();
        links.set_listed(&self.instance, &snapshot.listed);
        for instance in snapshot.listed.iter() {
            if !links.should_dial(&self.instance, &instance.id, now_ms) {
                continue;
            }
            links.dialling.insert(instance.id.clone());
            let expected = ExpectedPeer::Instance(instance.id.clone());
            let context = self.link_context(expected, opened);
            links.tasks.spawn(dial(self.ip, instance.peer_addr(), instance.id.clone(), context));
        }
    }

    fn link_context(
        &self,
        expected: ExpectedPeer,
        opened: &mpsc::UnboundedSender<InstanceId>,
    ) -> LinkContext {
        let timing = HeartbeatTiming::for_deployment(self.snapshots.current().listed.len());
        LinkContext {
            instance: self.instance.clone(),
            start: self.start,
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            members: self.members.clone(),
            clock: Arc::clone(&self.clock),
            exchange: self.exchange.clone(),
            heartbeats: self.timer.subscribe(timing.heartbeat_ms),
            expected,
            opened: opened.clone(),
        }
    }
}

impl Links {
    fn set_listed(&mut self, local: &InstanceId, listed: &Arc<[Instance]>) {
        if Arc::ptr_eq(&self.listed, listed) {
            return;
        }
        self.listed = Arc::clone(listed);
        self.neighbours = neighbours::neighbours(local, listed);
        let neighbours = &self.neighbours;
        self.missing_since_ms.retain(|id, _| neighbours.contains(id));
    }

    /// Whether `local` should dial `other` now.
    fn should_dial(&mut self, local: &InstanceId, other: &InstanceId, now_ms: Millis) -> bool {
        if !self.neighbours.contains(other) || self.open.contains_key(other) {
            self.missing_since_ms.remove(other);
            return false;
        }
        let since_ms = *self.missing_since_ms.entry(other.clone()).or_insert(now_ms);
        // Two instances that dial each other at the same time would open two links.
        let should_initiate = local < other || now_ms.since(since_ms).0 >= PASSIVE_DIAL_DELAY_MS;
        should_initiate && !self.dialling.contains(other)
    }

    fn add_open(&mut self, neighbour: InstanceId) {
        *self.open.entry(neighbour).or_default() += 1;
    }

    fn remove_closed(&mut self, closed: Option<ClosedLink>) {
        let Some(closed) = closed else { return };
        if let Some(dialled) = &closed.dialled {
            self.dialling.remove(dialled);
        }
        let Some(neighbour) = closed.neighbour else { return };
        if let Some(count) = self.open.get_mut(&neighbour) {
            *count = count.saturating_sub(1);
        }
        self.open.retain(|_, count| *count > 0);
    }
}

async fn accept(stream: TcpStream, context: LinkContext) -> ClosedLink {
    let neighbour = match WsLink::accept(stream).await {
        Ok(link) => link::serve(Box::new(link), context).await,
        Err(e) => {
            log::debug!(error:% = e; "accepting a peer link failed");
            None
        }
    };
    ClosedLink { dialled: None, neighbour }
}

async fn dial(from: IpAddr, addr: SocketAddr, id: InstanceId, context: LinkContext) -> ClosedLink {
    let neighbour = match WsLink::dial(from, addr).await {
        Ok(link) => link::serve(Box::new(link), context).await,
        Err(e) => {
            log::debug!(addr:% = addr, error:% = e; "opening a peer link failed");
            None
        }
    };
    ClosedLink { dialled: Some(id), neighbour }
}
