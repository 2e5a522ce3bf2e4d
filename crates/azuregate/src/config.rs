//! The configuration in force: one task owns it and publishes snapshots.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use azuregate_core::{
    names::{BackendId, InstanceId, StartNumber},
    policy::Policy,
    probe::ProbeReport,
    snapshot::{InstanceList, Readiness, Snapshot},
};
use tokio::sync::{mpsc, watch};

use crate::clock::{SharedClock, SystemClock};

/// A process that did not get to run for this long may have missed changes.
pub const PAUSE_MS: u64 = 2_000;

/// The highest step that a peer's version may take over the one in force. One
/// frame with an absurd version would keep out all later changes for good.
const VERSION_STEP: u64 = 1_000_000;

/// Reads the newest snapshot; cheap to clone.
#[derive(Clone)]
pub struct Snapshots {
    receiver: watch::Receiver<Arc<Snapshot>>,
    clock: SharedClock,
    beat_at_ms: Arc<AtomicU64>,
}

impl Snapshots {
    /// The newest snapshot.
    ///
    /// After a pause of the whole process it is not ready. Requests that waited
    /// in its sockets would otherwise be served by a configuration that may have
    /// been replaced long ago, before any task finds out.
    pub fn current(&self) -> Arc<Snapshot> {
        let snapshot = self.receiver.borrow().clone();
        if !snapshot.ready || !self.was_paused() {
            return snapshot;
        }
        let mut woken = Snapshot::clone(&snapshot);
        woken.set_readiness(Readiness::Resumed);
        Arc::new(woken)
    }

    /// Tells of each new snapshot.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.receiver.clone()
    }

    fn was_paused(&self) -> bool {
        let beat_at_ms = self.beat_at_ms.load(Ordering::Relaxed);
        beat_at_ms > 0 && self.clock.now().0.saturating_sub(beat_at_ms) > PAUSE_MS
    }
}

impl std::fmt::Debug for Snapshots {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Snapshots").field("receiver", &self.receiver).finish_non_exhaustive()
    }
}

/// Where a change was heard of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// From the platform, or from the commit of this instance.
    Platform,
    /// From another instance.
    Peer,
    /// From the backend server itself.
    Backend,
}

/// A change to the configuration in force.
#[derive(Clone, Debug)]
pub enum Change {
    /// A policy; ignored unless its version is higher than the one in force.
    Policy(Box<Policy>, Source),
    /// The platform's list.
    List(InstanceList),
    /// A peer's copy of the platform's list; ignored if there is one already.
    ListOfPeer(InstanceList),
    /// A backend server that is leaving, by any sign.
    Leaving(BackendId, StartNumber, Source),
    /// A backend server that closed a connection after its first answer.
    ///
    /// A server that closes an idle connection, or one that has carried enough
    /// requests, says nothing about itself; one that closes fresh connections
    /// wants no more work.
    Closed(BackendId, StartNumber),
    /// A start of an instance, as it told itself.
    Started(InstanceId, StartNumber),
    /// An instance that has started a planned stop.
    Stopping(InstanceId, StartNumber),
    /// The instances that get no new work, as far as the peer links tell.
    Away(BTreeSet<InstanceId>),
    /// What a watcher of backend servers says.
    Probes(InstanceId, ProbeReport),
    /// All policies that the platform holds have been taken in.
    Confirmed,
    /// The platform is down, and so many peers serve with the same versions.
    ConfirmedByPeers(usize),
    /// This process was paused.
    Woken,
    /// This process runs, at this monotonic time.
    Beat(u64),
}

/// A handle to the configuration's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Config {
    sender: mpsc::UnboundedSender<Change>,
}

impl Config {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(first: Snapshot) -> (Config, Snapshots) {
        Config::start_with_clock(first, Arc::new(SystemClock::new()))
    }

    /// Starts the task; `clock` tells whether the process was paused.
    pub fn start_with_clock(first: Snapshot, clock: SharedClock) -> (Config, Snapshots) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (publish, snapshots) = watch::channel(Arc::new(first));
        let beat_at_ms = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(receiver, publish, Arc::clone(&beat_at_ms)));
        (Config { sender }, Snapshots { receiver: snapshots, clock, beat_at_ms })
    }

    /// Sends a change to the task.
    pub fn change(&self, change: Change) {
        // The task ends only after the last handle, and this is a handle.
        let _ = self.sender.send(change);
    }
}

async fn serve(
    mut receiver: mpsc::UnboundedReceiver<Change>,
    publish: watch::Sender<Arc<Snapshot>>,
    beat_at_ms: Arc<AtomicU64>,
) {
    while let Some(change) = receiver.recv().await {
        if let Change::Beat(at_ms) = change {
            beat_at_ms.store(at_ms, Ordering::Relaxed);
            continue;
        }
        let mut snapshot = Snapshot::clone(&publish.borrow());
        if apply(&mut snapshot, change) {
            publish.send_replace(Arc::new(snapshot));
        }
    }
}

fn apply(snapshot: &mut Snapshot, change: Change) -> bool {
    match change {
        Change::Policy(policy, source) => apply_policy(snapshot, *policy, &source),
        Change::List(list) => snapshot.set_list(list),
        Change::ListOfPeer(list) => snapshot.listed.is_empty() && snapshot.set_list(list),
        Change::Leaving(backend, start, source) => leave(snapshot, &backend, start, &source),
        Change::Closed(backend, start) => {
            most_stay(snapshot, &backend) && leave(snapshot, &backend, start, &Source::Backend)
        }
        Change::Started(instance, start) => snapshot.record_start(&instance, start),
        Change::Stopping(instance, start) => {
            let fresh = snapshot.stopping.insert((instance.clone(), start));
            if fresh {
                log::info!(instance:% = instance, start:% = start; "instance stopping");
            }
            fresh
        }
        Change::Away(away) => {
            let changed = snapshot.set_unavailable(away);
            if changed {
                log::info!(away:? = snapshot.unavailable; "instances away");
            }
            changed
        }
        Change::Probes(watcher, report) => apply_probes(snapshot, &watcher, report),
        Change::Confirmed => set_readiness(snapshot, Readiness::Platform),
        Change::ConfirmedByPeers(count) => {
            !snapshot.ready && set_readiness(snapshot, Readiness::Peers(count))
        }
        Change::Woken => set_readiness(snapshot, Readiness::Resumed),
        Change::Beat(_) => false,
    }
}

fn apply_policy(snapshot: &mut Snapshot, policy: Policy, source: &Source) -> bool {
    let in_force = snapshot.policies.get(&policy.service).map_or(0, |p| p.version);
    let (service, version) = (policy.service.clone(), policy.version);
    if *source == Source::Peer && version.saturating_sub(in_force) > VERSION_STEP {
        log::error!(service:% = service, version = version, in_force = in_force; "policy of a peer refused");
        return false;
    }
    if let Err(e) = policy.check() {
        log::error!(service:% = service, version = version, error:% = e, source:? = source; "policy refused");
        return false;
    }
    if *source == Source::Platform && version < in_force {
        log::warn!(service:% = service, version = version, in_force = in_force; "platform answered an older policy");
    }
    let applied = snapshot.apply_policy(policy);
    if applied {
        log::info!(service:% = service, version = version, source:? = source; "policy in force");
    }
    applied
}

fn leave(
    snapshot: &mut Snapshot,
    backend: &BackendId,
    start: StartNumber,
    source: &Source,
) -> bool {
    let fresh = snapshot.mark_leaving(backend, start);
    if fresh {
        log::info!(backend:% = backend, start:% = start, source:? = source; "backend server leaving");
    }
    fresh
}

/// Whether most servers of a service would still take work without `backend`.
///
/// If most close their connections, that is their habit and no sign of leaving.
fn most_stay(snapshot: &Snapshot, backend: &BackendId) -> bool {
    let Some(server) = snapshot.backend(backend) else {
        return false;
    };
    let servers = snapshot.route_servers(&server.service);
    let open =
        servers.iter().filter(|other| other.available && other.server.id != *backend).count();
    open * 2 >= servers.len()
}

fn apply_probes(snapshot: &mut Snapshot, watcher: &InstanceId, report: ProbeReport) -> bool {
    let before = snapshot.unreachable.clone();
    let changed = snapshot.record_probe_report(watcher, report);
    if before != snapshot.unreachable {
        log::warn!(backends:? = snapshot.unreachable; "backend servers unreachable");
    }
    changed
}

fn set_readiness(snapshot: &mut Snapshot, readiness: Readiness) -> bool {
    let changed = snapshot.set_readiness(readiness);
    if changed {
        log::info!(ready = snapshot.ready, reason:% = readiness; "readiness");
    }
    changed
}
