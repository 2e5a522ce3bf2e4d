//! The request IDs that were sent on a connection.

use xxhash_rust::xxh3::xxh3_64;

/// Bounds the memory of a connection; one that has carried as many is closed.
const MAX_SENT_IDS: usize = 256;

/// The IDs of the requests that were sent on one connection to a backend server.
///
/// A faulty server may send a response once more where a later one on the connection is due. The
/// request ID tells them apart as long as the connection carries each ID once. Kept are hashes, so a
/// new ID may be taken for one that was sent.
///
/// # Example
///
/// ```
/// use azuregate_core::balance::SentIds;
///
/// let mut sent = SentIds::default();
/// sent.insert(b"9c41d07be2a35f68");
/// assert!(!sent.allows(b"9c41d07be2a35f68"));
/// assert!(sent.allows(b"3f1b60a2c4d81e97"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SentIds(Vec<u32>);

impl SentIds {
    /// Returns whether the connection may carry a request with this ID.
    pub fn allows(&self, id: &[u8]) -> bool {
        !self.is_full() && !self.0.contains(&hash(id))
    }

    /// Adds the ID of a request that is sent on the connection.
    pub fn insert(&mut self, id: &[u8]) {
        self.0.push(hash(id));
    }

    /// Returns whether the connection may carry no further request.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_SENT_IDS
    }

    /// Returns the number of requests that were sent.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// Half of the hash: a collision costs a connection only.
fn hash(id: &[u8]) -> u32 {
    xxh3_64(id) as u32
}
