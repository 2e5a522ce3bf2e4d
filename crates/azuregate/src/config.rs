//! The configuration in force: one task owns it and publishes immutable snapshots.

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

/// After a pause of this length, a process may have missed changes and must confirm its
/// configuration before it serves.
pub const PAUSE_THRESHOLD_MS: u64 = 2_000;

/// The most by which a policy version from a peer may exceed the one in force. A
/// corrupt frame with a huge version would otherwise block all later changes.
const MAX_PEER_VERSION_STEP: u64 = 1_000_000;

/// Reads the newest snapshot; cheap to clone.
#[derive(Clone)]
pub struct Snapshots {
    receiver: watch::Receiver<Arc<Snapshot>>,
    clock: SharedClock,
    last_tick_at_ms: Arc<AtomicU64>,
}

impl Snapshots {
    /// Returns the newest snapshot.
    ///
    /// After a pause of the process, the snapshot is not ready. Otherwise requests
    /// that waited in the sockets would be served with an outdated configuration
    /// before the membership task detects the pause.
    pub fn current(&self) -> Arc<Snapshot> {
        let snapshot = self.receiver.borrow().clone();
        if !snapshot.ready || !self.was_paused() {
            return snapshot;
        }
        let mut unconfirmed = Snapshot::clone(&snapshot);
        unconfirmed.set_readiness(Readiness::Resumed);
        Arc::new(unconfirmed)
    }

    /// Returns a receiver of each new snapshot.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.receiver.clone()
    }

    fn was_paused(&self) -> bool {
        let last_tick_at_ms = self.last_tick_at_ms.load(Ordering::Relaxed);
        last_tick_at_ms > 0
            && self.clock.now().0.saturating_sub(last_tick_at_ms) > PAUSE_THRESHOLD_MS
    }
}

impl std::fmt::Debug for Snapshots {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Snapshots").field("receiver", &self.receiver).finish_non_exhaustive()
    }
}

/// Where a change comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform, or a commit by this instance.
    Platform,
    /// Another instance.
    Peer,
    /// The backend server itself.
    Backend,
}

/// A change to the configuration in force.
#[derive(Clone, Debug)]
pub enum Change {
    /// A policy; ignored unless its version is higher than that in force.
    Policy(Box<Policy>, Source),
    /// The platform's instance list.
    List(InstanceList),
    /// A peer's copy of the instance list; ignored if there is a list already.
    PeerList(InstanceList),
    /// A backend server is leaving.
    Leaving(BackendId, StartNumber, Source),
    /// A backend server closed a connection after its first answer.
    ///
    /// Servers also close idle connections, and those that have carried many
    /// requests. Closing a new connection is a sign that the server is leaving.
    ConnectionClosed(BackendId, StartNumber),
    /// The start number that an instance announced.
    Started(InstanceId, StartNumber),
    /// An instance has started a planned stop.
    Stopping(InstanceId, StartNumber),
    /// The instances that get no new work, as determined from the peer links.
    Unavailable(BTreeSet<InstanceId>),
    /// The probe results of the given instance.
    Probes(InstanceId, ProbeReport),
    /// All policies of the platform have been applied.
    Confirmed,
    /// The platform is down, and this number of peers serve the same versions.
    ConfirmedByPeers(usize),
    /// This process was paused.
    PauseDetected,
    /// This process was running at this monotonic time, in milliseconds.
    WatchdogTick(u64),
}

/// A handle to the configuration task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Config {
    sender: mpsc::UnboundedSender<Change>,
}

impl Config {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(first: Snapshot) -> (Config, Snapshots) {
        Config::start_with_clock(first, Arc::new(SystemClock::new()))
    }

    /// Starts the task; `clock` is used to detect pauses of the process.
    pub fn start_with_clock(first: Snapshot, clock: SharedClock) -> (Config, Snapshots) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (publish, snapshots) = watch::channel(Arc::new(first));
        let last_tick_at_ms = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(receiver, publish, Arc::clone(&last_tick_at_ms)));
        (Config { sender }, Snapshots { receiver: snapshots, clock, last_tick_at_ms })
    }

    /// Sends a change to the task.
    pub fn change(&self, change: Change) {
        // The task runs as long as any handle exists, so sending cannot fail.
        let _ = self.sender.send(change);
    }
}

async fn serve(
    mut receiver: mpsc::UnboundedReceiver<Change>,
    publish: watch::Sender<Arc<Snapshot>>,
    last_tick_at_ms: Arc<AtomicU64>,
) {
    while let Some(change) = receiver.recv().await {
        if let Change::WatchdogTick(at_ms) = change {
            last_tick_at_ms.store(at_ms, Ordering::Relaxed);
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
        Change::PeerList(list) => snapshot.listed.is_empty() && snapshot.set_list(list),
        Change::Leaving(backend, start, source) => mark_leaving(snapshot, &backend, start, &source),
        Change::ConnectionClosed(backend, start) => {
            most_others_available(snapshot, &backend)
                && mark_leaving(snapshot, &backend, start, &Source::Backend)
        }
        Change::Started(instance, start) => snapshot.record_start(&instance, start),
        Change::Stopping(instance, start) => {
            let is_new = snapshot.stopping.insert((instance.clone(), start));
            if is_new {
                log::info!(instance:% = instance, start:% = start; "instance stopping");
            }
            is_new
        }
        Change::Unavailable(unavailable) => {
            let changed = snapshot.set_unavailable(unavailable);
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
        Change::PauseDetected => set_readiness(snapshot, Readiness::Resumed),
        Change::WatchdogTick(_) => false,
    }
}

fn apply_policy(snapshot: &mut Snapshot, policy: Policy, source: &Source) -> bool {
    let in_force = snapshot.policies.get(&policy.service).map_or(0, |p| p.version);
    let (service, version) = (policy.service.clone(), policy.version);
    if *source == Source::Peer && version.saturating_sub(in_force) > MAX_PEER_VERSION_STEP {
        log::error!(service:% = service, version = version, in_force = in_force; "policy from peer rejected: version too high");
        return false;
    }
    if let Err(e) = policy.check() {
        log::error!(service:% = service, version = version, error:% = e, source:? = source; "policy rejected");
        return false;
    }
    if *source == Source::Platform && version < in_force {
        log::warn!(service:% = service, version = version, in_force = in_force; "platform returned an older policy");
    }
    let applied = snapshot.apply_policy(policy);
    if applied {
        log::info!(service:% = service, version = version, source:? = source; "policy in force");
    }
    applied
}

fn mark_leaving(
    snapshot: &mut Snapshot,
    backend: &BackendId,
    start: StartNumber,
    source: &Source,
) -> bool {
    let is_new = snapshot.mark_leaving(backend, start);
    if is_new {
        log::info!(backend:% = backend, start:% = start, source:? = source; "backend server leaving");
    }
    is_new
}

/// Returns whether at least half of the servers of a service would be available
/// without `backend`.
///
/// If more of them close new connections, closing is usual for this service and no
/// sign of leaving.
fn most_others_available(snapshot: &Snapshot, backend: &BackendId) -> bool {
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
