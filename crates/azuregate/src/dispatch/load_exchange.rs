//! Carries the loads of groups between selectors and the links to other
//! instances.

use azuregate_core::{
    names::{InstanceId, ServiceName},
    route::group::{GroupId, GroupLoad},
};
use tokio::sync::broadcast;

/// How many updates may wait for a slow reader before it misses the oldest.
const CHANNEL_CAPACITY: usize = 1_024;

/// The load of a group, on its way between its dispatcher and one neighbour.
#[derive(Clone, Debug)]
pub struct LoadUpdate {
    /// The other instance: where it goes, or where it came from.
    pub peer: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: GroupId,
    /// Its load.
    pub load: GroupLoad,
}

/// Both directions; cheap to clone.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    outgoing: broadcast::Sender<LoadUpdate>,
    incoming: broadcast::Sender<LoadUpdate>,
}

impl Default for LoadExchange {
    fn default() -> LoadExchange {
        let (outgoing, _) = broadcast::channel(CHANNEL_CAPACITY);
        let (incoming, _) = broadcast::channel(CHANNEL_CAPACITY);
        LoadExchange { outgoing, incoming }
    }
}

impl LoadExchange {
    /// Sends an update to a neighbour, if there is a link to it.
    pub fn send(&self, update: LoadUpdate) {
        let _ = self.outgoing.send(update);
    }

    /// Passes on an update that came from a neighbour.
    pub fn receive(&self, update: LoadUpdate) {
        let _ = self.incoming.send(update);
    }

    /// All updates for neighbours; a link picks those for its own.
    pub fn outgoing(&self) -> LoadUpdates {
        LoadUpdates { receiver: self.outgoing.subscribe() }
    }

    /// All updates from neighbours; a selector picks those for its service.
    pub fn incoming(&self) -> LoadUpdates {
        LoadUpdates { receiver: self.incoming.subscribe() }
    }
}

/// Receives updates.
#[derive(Debug)]
pub struct LoadUpdates {
    receiver: broadcast::Receiver<LoadUpdate>,
}

impl LoadUpdates {
    /// Waits for the next update; `None` when nobody can send one any more.
    /// Dropping the future loses no update.
    ///
    /// A reader that was too slow misses the oldest updates: newer ones follow.
    pub async fn recv(&mut self) -> Option<LoadUpdate> {
        loop {
            match self.receiver.recv().await {
                Ok(update) => return Some(update),
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }
}
