//! One link: sends what the neighbour does not have, takes in what it sends.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::Duration,
};

use azuregate_core::{
    membership::Heartbeat,
    names::{BackendId, InstanceId, ServiceName, StartNumber},
    policy::Policy,
    probe::ProbeReport,
    snapshot::{InstanceList, Snapshot},
    time::Millis,
};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{
    clock::SharedClock,
    config::{Change, Config, Snapshots, Source},
    dispatch::{Exchange, LoadUpdate, LoadUpdates},
    membership::Members,
    peer::{Frame, LinkError, PeerLink},
    timer::Tick,
};

/// How long a frame may take to be sent. A neighbour that is frozen takes
/// nothing, and the link would wait for ever.
const SEND_MS: u64 = 2_000;
/// A link on which nothing came for this long has gone silent.
const SILENT_MS: u64 = 5_000;
/// How many heartbeats may differ in their versions before versions are
/// compared: a change may just be on its way.
const DIFFERENCES: u32 = 2;

/// What a link works with.
pub(crate) struct LinkParts {
    pub(crate) instance: InstanceId,
    pub(crate) start: StartNumber,
    pub(crate) config: Config,
    pub(crate) snapshots: Snapshots,
    pub(crate) members: Members,
    pub(crate) clock: SharedClock,
    /// Loads of groups, to and from the neighbour.
    pub(crate) exchange: Exchange,
    /// When to send a heartbeat.
    pub(crate) heartbeats: mpsc::Receiver<Tick>,
    /// Who is expected at the other end.
    pub(crate) expected: Expected,
    /// Told of the neighbour's name.
    pub(crate) opened: mpsc::UnboundedSender<InstanceId>,
}

/// Who may be at the other end of a link.
pub(crate) enum Expected {
    /// The instance that was dialled.
    Instance(InstanceId),
    /// The instance listed with the IP number that the link came from.
    At(IpAddr),
}

/// What the neighbour is known to have.
#[derive(Default)]
struct Known {
    neighbour: Option<(InstanceId, StartNumber)>,
    lacks_list: bool,
    versions: BTreeMap<ServiceName, u64>,
    leaving: BTreeSet<(BackendId, StartNumber)>,
    stopping: BTreeSet<(InstanceId, StartNumber)>,
    probes: BTreeMap<InstanceId, ProbeReport>,
    differences: u32,
}

struct Serving {
    link: Box<dyn PeerLink>,
    parts: LinkParts,
    known: Known,
    heard_at_ms: Millis,
}

/// Serves a link until it breaks or closes; returns who was at the other end.
pub(crate) async fn serve(link: Box<dyn PeerLink>, parts: LinkParts) -> Option<InstanceId> {
    let snapshots = parts.snapshots.watch();
    let updates = parts.exchange.outgoing();
    let heard_at_ms = parts.clock.now();
    let mut serving = Serving { link, parts, known: Known::default(), heard_at_ms };
    if let Err(e) = serving.serve(snapshots, updates).await {
        log::info!(error:% = e; "peer link ended");
    }
    serving.known.neighbour.map(|(neighbour, _)| neighbour)
}

impl Serving {
    async fn serve(
        &mut self,
        mut snapshots: watch::Receiver<std::sync::Arc<Snapshot>>,
        mut updates: LoadUpdates,
    ) -> Result<(), LinkError> {
        let first = snapshots.borrow_and_update().clone();
        self.greet(&first).await?;
        loop {
            tokio::select! {
                frame = self.link.recv() => {
                    let Some(frame) = frame? else { return Ok(()) };
                    self.heard_at_ms = self.parts.clock.now();
                    self.take(frame).await?;
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let snapshot = snapshots.borrow_and_update().clone();
                    self.send_missing(&snapshot).await?;
                }
                update = updates.recv() => {
                    let Some(update) = update else { return Ok(()) };
                    self.pass_on(update).await?;
                }
                tick = self.parts.heartbeats.recv() => {
                    if tick.is_none() {
                        return Ok(());
                    }
                    self.beat().await?;
                }
            }
        }
    }

    async fn greet(&mut self, snapshot: &Snapshot) -> Result<(), LinkError> {
        let hello = Frame::Hello {
            instance: self.parts.instance.clone(),
            start: self.parts.start,
            has_list: !snapshot.listed.is_empty(),
        };
        self.send(&hello).await?;
        self.send(&digest(snapshot)).await?;
        self.beat().await
    }

    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let sent = time::timeout(Duration::from_millis(SEND_MS), self.link.send(frame)).await;
        sent.unwrap_or_else(|_| Err(LinkError::new("the neighbour takes nothing")))
    }

    async fn beat(&mut self) -> Result<(), LinkError> {
        let now_ms = self.parts.clock.now();
        if now_ms.since(self.heard_at_ms).0 > SILENT_MS {
            return Err(LinkError::new("the neighbour has gone silent"));
        }
        let snapshot = self.parts.snapshots.current();
        let confirmed_at_ms = self.parts.members.confirmed_at_ms();
        let heartbeat = Heartbeat {
            ready: snapshot.ready,
            confirmed_age_ms: confirmed_at_ms.map(|at_ms| now_ms.since(at_ms).0),
            digest: snapshot.digest(),
        };
        self.send(&Frame::Heartbeat(heartbeat)).await
    }

    async fn pass_on(&mut self, update: LoadUpdate) -> Result<(), LinkError> {
        let Some((neighbour, _)) = &self.known.neighbour else {
            return Ok(());
        };
        if *neighbour != update.peer {
            return Ok(());
        }
        let LoadUpdate { service, group, load, .. } = update;
        self.send(&Frame::Load { service, group, load }).await
    }

    async fn take(&mut self, frame: Frame) -> Result<(), LinkError> {
        if let Frame::Hello { instance, start, has_list } = frame {
            return self.meet(instance, start, has_list).await;
        }
        let Some((neighbour, start)) = self.known.neighbour.clone() else {
            return Err(LinkError::new("the first frame is no greeting"));
        };
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat(heartbeat) => {
                self.parts.members.heard(&neighbour, start, heartbeat);
                return self.compare(heartbeat).await;
            }
            Frame::Digest { versions } => {
                self.known.versions = versions;
                let snapshot = self.parts.snapshots.current();
                return self.send_missing(&snapshot).await;
            }
            Frame::Policy(policy) => {
                let version = self.known.versions.entry(policy.service.clone()).or_default();
                *version = policy.version.max(*version);
                self.parts.config.change(Change::Policy(policy, Source::Peer));
            }
            Frame::List(list) => self.parts.config.change(Change::ListOfPeer(list)),
            Frame::Leaving { backend, start } => {
                self.known.leaving.insert((backend.clone(), start));
                self.parts.config.change(Change::Leaving(backend, start, Source::Peer));
            }
            Frame::Stopping { instance, start } => {
                self.known.stopping.insert((instance.clone(), start));
                self.parts.config.change(Change::Stopping(instance, start));
            }
            Frame::Probes { watcher, report } => {
                self.known.probes.insert(watcher.clone(), report.clone());
                self.parts.config.change(Change::Probes(watcher, report));
            }
            Frame::Load { service, group, load } => {
                self.parts.exchange.heard(LoadUpdate { peer: neighbour, service, group, load });
            }
        }
        Ok(())
    }

    /// Takes in who the neighbour is.
    ///
    /// Only listed instances are neighbours: anything else that reaches the port
    /// could bring policies that no operator made. An instance that has no list
    /// yet, since the platform is down, takes whoever comes, and serves only when
    /// several agree.
    async fn meet(
        &mut self,
        instance: InstanceId,
        start: StartNumber,
        has_list: bool,
    ) -> Result<(), LinkError> {
        let snapshot = self.parts.snapshots.current();
        let listed = snapshot.listed.iter().find(|listed| listed.id == instance);
        let is_expected = match &self.parts.expected {
            Expected::Instance(expected) => *expected == instance,
            Expected::At(ip) => {
                snapshot.listed.is_empty() || listed.is_some_and(|listed| listed.ip == *ip)
            }
        };
        if !is_expected {
            return Err(LinkError::new(format!("{instance} is not expected there")));
        }
        log::info!(peer:% = instance, start:% = start; "peer link open");
        let _ = self.parts.opened.send(instance.clone());
        self.parts.config.change(Change::Started(instance.clone(), start));
        self.known.neighbour = Some((instance, start));
        self.known.lacks_list = !has_list;
        self.send_missing(&snapshot).await
    }

    /// Compares versions with a neighbour that goes on having different ones.
    async fn compare(&mut self, heartbeat: Heartbeat) -> Result<(), LinkError> {
        let snapshot = self.parts.snapshots.current();
        if heartbeat.digest == snapshot.digest() {
            self.known.differences = 0;
            return Ok(());
        }
        self.known.differences += 1;
        if self.known.differences < DIFFERENCES {
            return Ok(());
        }
        self.known.differences = 0;
        self.send(&digest(&snapshot)).await
    }

    async fn send_missing(&mut self, snapshot: &Snapshot) -> Result<(), LinkError> {
        if self.known.neighbour.is_none() {
            return Ok(());
        }
        for frame in self.known.missing(snapshot) {
            self.send(&frame).await?;
        }
        Ok(())
    }
}

impl Known {
    /// The frames that the neighbour lacks; from now on it is known to have them.
    fn missing(&mut self, snapshot: &Snapshot) -> Vec<Frame> {
        let mut frames = Vec::new();
        if self.lacks_list && !snapshot.listed.is_empty() {
            self.lacks_list = false;
            frames.push(Frame::List(list(snapshot)));
        }
        for policy in snapshot.policies.values() {
            let version = self.versions.entry(policy.service.clone()).or_default();
            if policy.version > *version {
                *version = policy.version;
                frames.push(Frame::Policy(Box::new(Policy::clone(policy))));
            }
        }
        for (backend, start) in &snapshot.leaving {
            if self.leaving.insert((backend.clone(), *start)) {
                frames.push(Frame::Leaving { backend: backend.clone(), start: *start });
            }
        }
        for (instance, start) in &snapshot.stopping {
            if self.stopping.insert((instance.clone(), *start)) {
                frames.push(Frame::Stopping { instance: instance.clone(), start: *start });
            }
        }
        for (watcher, report) in &snapshot.probes {
            if self.probes.get(watcher).is_none_or(|known| report.is_newer(known)) {
                self.probes.insert(watcher.clone(), report.clone());
                frames.push(Frame::Probes { watcher: watcher.clone(), report: report.clone() });
            }
        }
        frames
    }
}

fn list(snapshot: &Snapshot) -> InstanceList {
    let backends = snapshot.backends.values().flat_map(|servers| servers.iter().cloned());
    InstanceList { instances: snapshot.listed.to_vec(), backends: backends.collect() }
}

fn digest(snapshot: &Snapshot) -> Frame {
    let versions = snapshot.policies.values().map(|p| (p.service.clone(), p.version)).collect();
    Frame::Digest { versions }
}
