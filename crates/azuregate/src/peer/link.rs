//! Protocol of one link: sends the changes that the neighbour lacks and applies those
//! that it sends.

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
    dispatch::{LoadExchange, LoadUpdate, LoadUpdates},
    membership::Members,
    peer::{Frame, LinkError, PeerLink},
    timer::Tick,
};

/// Without this timeout, sending to a frozen neighbour would never return.
const SEND_TIMEOUT_MS: u64 = 2_000;
/// Time without a received frame after which a link is closed.
const IDLE_TIMEOUT_MS: u64 = 5_000;
/// Consecutive heartbeats with a different digest after which versions are compared. A
/// single difference may be a change in transit.
const MISMATCHES_BEFORE_DIGEST: u32 = 2;

/// The state and channels that a link uses.
pub(crate) struct LinkContext {
    pub(crate) instance: InstanceId,
    pub(crate) start: StartNumber,
    pub(crate) config: Config,
    pub(crate) snapshots: Snapshots,
    pub(crate) members: Members,
    pub(crate) clock: SharedClock,
    /// Passes loads of groups to and from the neighbour.
    pub(crate) exchange: LoadExchange,
    /// Ticks at which to send a heartbeat.
    pub(crate) heartbeats: mpsc::Receiver<Tick>,
    /// Which neighbour to accept.
    pub(crate) expected: ExpectedPeer,
    /// Receives the neighbour's name once it is known.
    pub(crate) opened: mpsc::UnboundedSender<InstanceId>,
}

/// Which neighbour a link accepts.
pub(crate) enum ExpectedPeer {
    /// The dialled instance.
    Instance(InstanceId),
    /// The instance listed with this IP address, from which the link was opened.
    ListedAt(IpAddr),
}

/// The changes that the neighbour is known to have.
#[derive(Default)]
struct RemoteState {
    neighbour: Option<(InstanceId, StartNumber)>,
    lacks_list: bool,
    versions: BTreeMap<ServiceName, u64>,
    leaving: BTreeSet<(BackendId, StartNumber)>,
    stopping: BTreeSet<(InstanceId, StartNumber)>,
    probes: BTreeMap<InstanceId, ProbeReport>,
    digest_mismatches: u32,
}

struct Session {
    link: Box<dyn PeerLink>,
    context: LinkContext,
    remote: RemoteState,
    last_frame_at_ms: Millis,
}

/// Serves a link until it is closed; returns the neighbour, if it identified itself.
pub(crate) async fn serve(link: Box<dyn PeerLink>, context: LinkContext) -> Option<InstanceId> {
    let snapshots = context.snapshots.watch();
    let updates = context.exchange.outgoing();
    let last_frame_at_ms = context.clock.now();
    let mut session = Session { link, context, remote: RemoteState::default(), last_frame_at_ms };
    if let Err(e) = session.serve(snapshots, updates).await {
        log::info!(error:% = e; "peer link ended");
    }
    session.remote.neighbour.map(|(neighbour, _)| neighbour)
}

impl Session {
    async fn serve(
        &mut self,
        mut snapshots: watch::Receiver<std::sync::Arc<Snapshot>>,
        mut updates: LoadUpdates,
    ) -> Result<(), LinkError> {
        let first = snapshots.borrow_and_update().clone();
        self.send_hello(&first).await?;
        loop {
            tokio::select! {
                frame = self.link.recv() => {
                    let Some(frame) = frame? else { return Ok(()) };
                    self.last_frame_at_ms = self.context.clock.now();
                    self.handle_frame(frame).await?;
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
                    self.forward_load(update).await?;
                }
                tick = self.context.heartbeats.recv() => {
                    if tick.is_none() {
                        return Ok(());
                    }
                    self.send_heartbeat().await?;
                }
            }
        }
    }

    async fn send_hello(&mut self, snapshot: &Snapshot) -> Result<(), LinkError> {
        let hello = Frame::Hello {
            instance: self.context.instance.clone(),
            start: self.context.start,
            has_list: !snapshot.listed.is_empty(),
        };
        self.send(&hello).await?;
        self.send(&digest_frame(snapshot)).await?;
        self.send_heartbeat().await
    }

    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let sent =
            time::timeout(Duration::from_millis(SEND_TIMEOUT_MS), self.link.send(frame)).await;
        sent.unwrap_or_else(|_| Err(LinkError::new("sending a frame timed out")))
    }

    async fn send_heartbeat(&mut self) -> Result<(), LinkError> {
        let now_ms = self.context.clock.now();
        if now_ms.since(self.last_frame_at_ms).0 > IDLE_TIMEOUT_MS {
            return Err(LinkError::new("no frame received before the idle timeout"));
        }
        let snapshot = self.context.snapshots.current();
        let confirmed_at_ms = self.context.members.confirmed_at_ms();
        let heartbeat = Heartbeat {
            ready: snapshot.ready,
            confirmed_age_ms: confirmed_at_ms.map(|at_ms| now_ms.since(at_ms).0),
            digest: snapshot.digest(),
        };
        self.send(&Frame::Heartbeat(heartbeat)).await
    }

    async fn forward_load(&mut self, update: LoadUpdate) -> Result<(), LinkError> {
        let Some((neighbour, _)) = &self.remote.neighbour else {
            return Ok(());
        };
        if *neighbour != update.peer {
            return Ok(());
        }
        let LoadUpdate { service, group, load, .. } = update;
        self.send(&Frame::Load { service, group, load }).await
    }

    async fn handle_frame(&mut self, frame: Frame) -> Result<(), LinkError> {
        if let Frame::Hello { instance, start, has_list } = frame {
            return self.handle_hello(instance, start, has_list).await;
        }
        let Some((neighbour, start)) = self.remote.neighbour.clone() else {
            return Err(LinkError::new("the first frame is not Hello"));
        };
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat(heartbeat) => {
                self.context.members.heartbeat_received(&neighbour, start, heartbeat);
                return self.compare_digest(heartbeat).await;
            }
            Frame::Digest { versions } => {
                self.remote.versions = versions;
                let snapshot = self.context.snapshots.current();
                return self.send_missing(&snapshot).await;
            }
            Frame::Policy(policy) => {
                let version = self.remote.versions.entry(policy.service.clone()).or_default();
                *version = policy.version.max(*version);
                self.context.config.change(Change::Policy(policy, Source::Peer));
            }
            Frame::List(list) => self.context.config.change(Change::PeerList(list)),
            Frame::Leaving { backend, start } => {
                self.remote.leaving.insert((backend.clone(), start));
                self.context.config.change(Change::Leaving(backend, start, Source::Peer));
            }
            Frame::Stopping { instance, start } => {
                self.remote.stopping.insert((instance.clone(), start));
                self.context.config.change(Change::Stopping(instance, start));
            }
            Frame::Probes { watcher, report } => {
                self.remote.probes.insert(watcher.clone(), report.clone());
                self.context.config.change(Change::Probes(watcher, report));
            }
            Frame::Load { service, group, load } => {
                self.context.exchange.receive(LoadUpdate { peer: neighbour, service, group, load });
            }
        }
        Ok(())
    }

    /// Checks the identity of the neighbour and sends the changes that it lacks.
    ///
    /// Only listed instances are accepted, so that other processes that reach the port
    /// cannot inject policies. An instance without a list accepts any neighbour, since
    /// the platform may be down when it starts; it becomes ready only once several
    /// neighbours agree.
    async fn handle_hello(
        &mut self,
        instance: InstanceId,
        start: StartNumber,
        has_list: bool,
    ) -> Result<(), LinkError> {
        let snapshot = self.context.snapshots.current();
        let listed = snapshot.listed.iter().find(|listed| listed.id == instance);
        let is_expected = match &self.context.expected {
            ExpectedPeer::Instance(expected) => *expected == instance,
            ExpectedPeer::ListedAt(ip) => {
                snapshot.listed.is_empty() || listed.is_some_and(|listed| listed.ip == *ip)
            }
        };
        if !is_expected {
            return Err(LinkError::new(format!("unexpected neighbour {instance}")));
        }
        log::info!(peer:% = instance, start:% = start; "peer link open");
        let _ = self.context.opened.send(instance.clone());
        self.context.config.change(Change::Started(instance.clone(), start));
        self.remote.neighbour = Some((instance, start));
        self.remote.lacks_list = !has_list;
        self.send_missing(&snapshot).await
    }

    /// Sends a digest if the versions of the neighbour differ repeatedly.
    async fn compare_digest(&mut self, heartbeat: Heartbeat) -> Result<(), LinkError> {
        let snapshot = self.context.snapshots.current();
        if heartbeat.digest == snapshot.digest() {
            self.remote.digest_mismatches = 0;
            return Ok(());
        }
        self.remote.digest_mismatches += 1;
        if self.remote.digest_mismatches < MISMATCHES_BEFORE_DIGEST {
            return Ok(());
        }
        self.remote.digest_mismatches = 0;
        self.send(&digest_frame(&snapshot)).await
    }

    async fn send_missing(&mut self, snapshot: &Snapshot) -> Result<(), LinkError> {
        if self.remote.neighbour.is_none() {
            return Ok(());
        }
        for frame in self.remote.missing_frames(snapshot) {
            self.send(&frame).await?;
        }
        Ok(())
    }
}

impl RemoteState {
    /// Returns the frames that the neighbour lacks, and marks them as sent.
    fn missing_frames(&mut self, snapshot: &Snapshot) -> Vec<Frame> {
        let mut frames = Vec::new();
        if self.lacks_list && !snapshot.listed.is_empty() {
            self.lacks_list = false;
            frames.push(Frame::List(instance_list(snapshot)));
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

fn instance_list(snapshot: &Snapshot) -> InstanceList {
    let backends = snapshot.backends.values().flat_map(|servers| servers.iter().cloned());
    InstanceList { instances: snapshot.listed.to_vec(), backends: backends.collect() }
}

fn digest_frame(snapshot: &Snapshot) -> Frame {
    let versions = snapshot.policies.values().map(|p| (p.service.clone(), p.version)).collect();
    Frame::Digest { versions }
}
