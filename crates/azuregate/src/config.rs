//! The configuration in force: one task owns it and publishes snapshots.

use std::sync::Arc;

use azuregate_core::{
    names::{BackendId, StartNumber},
    policy::Policy,
    snapshot::{InstanceList, Snapshot},
};
use tokio::sync::{mpsc, watch};

/// Reads the newest snapshot; cheap to clone.
#[derive(Clone, Debug)]
pub struct Snapshots {
    receiver: watch::Receiver<Arc<Snapshot>>,
}

impl Snapshots {
    /// The newest snapshot.
    pub fn current(&self) -> Arc<Snapshot> {
        self.receiver.borrow().clone()
    }

    /// Tells of each new snapshot.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.receiver.clone()
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
    /// A backend server that is leaving, by any sign.
    Leaving(BackendId, StartNumber, Source),
    /// All policies that the platform holds have been taken in.
    Confirmed,
}

/// A handle to the configuration's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Config {
    sender: mpsc::UnboundedSender<Change>,
}

impl Config {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(first: Snapshot) -> (Config, Snapshots) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let (publish, snapshots) = watch::channel(Arc::new(first));
        tokio::spawn(serve(receiver, publish));
        (Config { sender }, Snapshots { receiver: snapshots })
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
) {
    while let Some(change) = receiver.recv().await {
        let mut snapshot = Snapshot::clone(&publish.borrow());
        if apply(&mut snapshot, change) {
            publish.send_replace(Arc::new(snapshot));
        }
    }
}

fn apply(snapshot: &mut Snapshot, change: Change) -> bool {
    match change {
        Change::Policy(policy, source) => {
            let (service, version) = (policy.service.clone(), policy.version);
            let applied = snapshot.apply_policy(*policy);
            if applied {
                log::info!(service:% = service, version = version, source:? = source; "policy in force");
            }
            applied
        }
        Change::List(list) => snapshot.set_list(list),
        Change::Leaving(backend, start, source) => {
            let fresh = snapshot.leaving.insert((backend.clone(), start));
            if fresh {
                log::info!(backend:% = backend, start:% = start, source:? = source; "backend server leaving");
            }
            fresh
        }
        Change::Confirmed => !std::mem::replace(&mut snapshot.ready, true),
    }
}
