//! Keeps a link to each neighbour.

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
    dispatch::Exchange,
    membership::Members,
    peer::{
        WsLink,
        link::{self, Expected, LinkParts},
    },
    timer::Timer,
};

/// How often missing links are dialled.
const DIAL_MS: u64 = 500;
/// How long the instance that comes later in the order of names waits for the
/// other to dial. It must dial in the end: the other may not know of it, or its
/// way may be blocked in that direction.
const DIAL_WAIT_MS: u64 = 1_500;

/// Opens and takes links.
pub struct Mesh {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// The IP number that links come from.
    pub ip: IpAddr,
    /// Takes in what neighbours send.
    pub config: Config,
    /// What is sent to neighbours.
    pub snapshots: Snapshots,
    /// Takes in heartbeats.
    pub members: Members,
    /// The clock.
    pub clock: SharedClock,
    /// Loads of groups, to and from neighbours.
    pub exchange: Exchange,
    /// When to dial and to send heartbeats.
    pub timer: Timer,
}

/// The links of an instance, open and being dialled.
#[derive(Default)]
struct Links {
    tasks: JoinSet<Ended>,
    open: BTreeMap<InstanceId, usize>,
    dialling: BTreeSet<InstanceId>,
    missing_since_ms: BTreeMap<InstanceId, Millis>,
    listed: Arc<[Instance]>,
    neighbours: BTreeSet<InstanceId>,
}

/// How a link ended.
struct Ended {
    /// Whom it was dialled to.
    dialled: Option<InstanceId>,
    /// Who was at the other end.
    neighbour: Option<InstanceId>,
}

impl Mesh {
    /// Serves until the task is aborted.
    pub async fn serve(self, listener: TcpListener) {
        let mut dials = self.timer.subscribe(DIAL_MS);
        let mut links = Links::default();
        let (opened, mut openings) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                (stream, from) = accept::next(&listener) => {
                    let parts = self.link_parts(Expected::At(from.ip()), &opened);
                    links.tasks.spawn(accept(stream, parts));
                }
                Some(neighbour) = openings.recv() => links.open(neighbour),
                Some(ended) = links.tasks.join_next(), if !links.tasks.is_empty() => {
                    links.end(ended.ok());
                }
                tick = dials.recv() => {
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
            if !links.is_due(&self.instance, &instance.id, now_ms) {
                continue;
            }
            links.dialling.insert(instance.id.clone());
            let expected = Expected::Instance(instance.id.clone());
            let parts = self.link_parts(expected, opened);
            links.tasks.spawn(dial(self.ip, instance.peer_addr(), instance.id.clone(), parts));
        }
    }

    fn link_parts(
        &self,
        expected: Expected,
        opened: &mpsc::UnboundedSender<InstanceId>,
    ) -> LinkParts {
        let timing = HeartbeatTiming::for_deployment(self.snapshots.current().listed.len());
        LinkParts {
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
    fn set_listed(&mut self, me: &InstanceId, listed: &Arc<[Instance]>) {
        if Arc::ptr_eq(&self.listed, listed) {
            return;
        }
        self.listed = Arc::clone(listed);
        self.neighbours = neighbours::neighbours(me, listed);
        let neighbours = &self.neighbours;
        self.missing_since_ms.retain(|id, _| neighbours.contains(id));
    }

    /// Whether `me` should dial `other` now.
    fn is_due(&mut self, me: &InstanceId, other: &InstanceId, now_ms: Millis) -> bool {
        if !self.neighbours.contains(other) || self.open.contains_key(other) {
            self.missing_since_ms.remove(other);
            return false;
        }
        let since_ms = *self.missing_since_ms.entry(other.clone()).or_insert(now_ms);
        // Two that dial each other at once would end with two links.
        let is_first = me < other || now_ms.since(since_ms).0 >= DIAL_WAIT_MS;
        is_first && !self.dialling.contains(other)
    }

    fn open(&mut self, neighbour: InstanceId) {
        *self.open.entry(neighbour).or_default() += 1;
    }

    fn end(&mut self, ended: Option<Ended>) {
        let Some(ended) = ended else { return };
        if let Some(dialled) = &ended.dialled {
            self.dialling.remove(dialled);
        }
        let Some(neighbour) = ended.neighbour else { return };
        if let Some(count) = self.open.get_mut(&neighbour) {
            *count = count.saturating_sub(1);
        }
        self.open.retain(|_, count| *count > 0);
    }
}

async fn accept(stream: TcpStream, parts: LinkParts) -> Ended {
    let neighbour = match WsLink::accept(stream).await {
        Ok(link) => link::serve(Box::new(link), parts).await,
        Err(e) => {
            log::debug!(error:% = e; "peer not taken");
            None
        }
    };
    Ended { dialled: None, neighbour }
}

async fn dial(from: IpAddr, addr: SocketAddr, id: InstanceId, parts: LinkParts) -> Ended {
    let neighbour = match WsLink::dial(from, addr).await {
        Ok(link) => link::serve(Box::new(link), parts).await,
        Err(e) => {
            log::debug!(addr:% = addr, error:% = e; "peer not reached");
            None
        }
    };
    Ended { dialled: Some(id), neighbour }
}
