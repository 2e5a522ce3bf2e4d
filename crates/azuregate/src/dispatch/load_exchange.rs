//! Channels for the loads of groups between selectors and peer links.

use azuregate_core::{
    names::{InstanceId, ServiceName},
    route::group::{GroupId, GroupLoad},
};
use tokio::sync::broadcast;

/// Number of updates buffered for a slow receiver before it misses the oldest.
const CHANNEL_CAPACITY: usize = 1_024;

/// The load of a group, sent between its dispatcher and a neighbour.
#[derive(Clone, Debug)]
pub struct LoadUpdate {
    /// The neighbour: the destination of an outgoing update, the source of an
    /// incoming one.
    pub peer: InstanceId,
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: GroupId,
    /// Its load.
    pub load: GroupLoad,
}

/// Load updates to and from neighbours; cheap to clone.
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
    /// Sends an update to a neighbour; dropped if there is no link to it.
    pub fn send(&self, update: LoadUpdate) {
        let _ = self.outgoing.send(update);
    }

    /// Delivers an update that a neighbour sent to the selectors.
    pub fn receive(&self, update: LoadUpdate) {
        let _ = self.incoming.send(update);
    }

    /// Subscribes to the updates for all neighbours; a link filters those for its
    /// own.
    pub fn outgoing(&self) -> LoadUpdates {
        LoadUpdates { receiver: self.outgoing.subscribe() }
    }

    /// Subscribes to the updates from all neighbours; a selector filters those for
    /// its service.
    pub fn incoming(&self) -> LoadUpdates {
        LoadUpdates { receiver: self.incoming.subscribe() }
    }
}

/// A subscription to load updates.
#[derive(Debug)]
pub struct LoadUpdates {
    receiver: broadcast::Receiver<LoadUpdate>,
}

impl LoadUpdates {
    /// Waits for the next update; returns `None` once all senders are dropped.
    ///
    /// Cancel safe. A receiver that falls behind misses the oldest updates.
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
