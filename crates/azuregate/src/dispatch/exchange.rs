//! Carries the loads of groups between selectors and the links to other
//! instances.

use azuregate_core::{
    names::{InstanceId, ServiceName},
    route::group::{GroupId, GroupLoad},
};
use tokio::sync::broadcast;

/// How many words may wait for a slow reader before it misses the oldest.
const BACKLOG: usize = 1_024;

/// The load of a group, on its way between its dispatcher and one neighbour.
#[derive(Clone, Debug)]
pub struct Word {
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
pub struct Exchange {
    outgoing: broadcast::Sender<Word>,
    incoming: broadcast::Sender<Word>,
}

impl Default for Exchange {
    fn default() -> Exchange {
        let (outgoing, _) = broadcast::channel(BACKLOG);
        let (incoming, _) = broadcast::channel(BACKLOG);
        Exchange { outgoing, incoming }
    }
}

impl Exchange {
    /// Sends a word to a neighbour, if there is a link to it.
    pub fn say(&self, word: Word) {
        let _ = self.outgoing.send(word);
    }

    /// Passes on a word that came from a neighbour.
    pub fn heard(&self, word: Word) {
        let _ = self.incoming.send(word);
    }

    /// All words for neighbours; a link picks those for its own.
    pub fn outgoing(&self) -> Words {
        Words { receiver: self.outgoing.subscribe() }
    }

    /// All words from neighbours; a selector picks those for its service.
    pub fn incoming(&self) -> Words {
        Words { receiver: self.incoming.subscribe() }
    }
}

/// Receives words.
#[derive(Debug)]
pub struct Words {
    receiver: broadcast::Receiver<Word>,
}

impl Words {
    /// Waits for the next word; `None` when nobody can send one any more.
    /// Dropping the future loses no word.
    ///
    /// A reader that was too slow misses the oldest words: newer ones follow.
    pub async fn recv(&mut self) -> Option<Word> {
        loop {
            match self.receiver.recv().await {
                Ok(word) => return Some(word),
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }
}
