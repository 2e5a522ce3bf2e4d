/*!
Client address blocks, and the site to which the clients of each block are directed.

```
use azuregate_core::blocks::{BlockMap, Delta, SiteId};

let map = BlockMap::from_blocks(vec![
    ("10.0.0.0/8".parse()?, SiteId(1)),
    ("10.1.0.0/16".parse()?, SiteId(2)),
])?;
assert_eq!(map.lookup("10.1.2.3".parse()?), Some(SiteId(2)));

let next = map.apply(&[Delta::Remove { block: "10.1.0.0/16".parse()? }])?;
assert_eq!(next.lookup("10.1.2.3".parse()?), Some(SiteId(1)));
assert_eq!(map.lookup("10.1.2.3".parse()?), Some(SiteId(2)));
# Ok::<(), Box<dyn std::error::Error>>(())
```

# Design

A map is immutable. [`BlockMap::apply`] returns a new map that shares all unchanged
chunks, so that an update does not copy the whole map. Each address family is a sorted
list of blocks, divided into chunks of a few hundred, with an index of the first address
of each chunk. A lookup is a longest-prefix match: it searches the index, then one
chunk, then follows the parents of the block found to the first one that contains the
address. The enclosing blocks from earlier chunks are stored with each chunk, so that a
lookup reads one chunk only.

docs/design/client-blocks.md describes the alternatives.
*/

mod chunk;
mod codec;
mod family;

use std::{fmt, net::IpAddr};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::blocks::{
    chunk::Entry,
    family::{FamilyChange, FamilyMap},
};

/// Longest supported prefix of an IPv6 block; the clients within a /64 share a link.
pub const MAX_IPV6_PREFIX_LEN: u8 = 64;

/// Identifies a site to which clients are directed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SiteId(pub u16);

/// A change to one block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delta {
    /// Assigns a block to a site; adds the block if it is not in the map.
    Set {
        /// The block.
        block: IpNet,
        /// Its site.
        site: SiteId,
    },
    /// Removes a block; its clients get the site of the enclosing block.
    Remove {
        /// The block.
        block: IpNet,
    },
}

/// An invalid block or block snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlocksError {
    kind: BlocksErrorKind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum BlocksErrorKind {
    PrefixTooLong(IpNet),
    Malformed { offset_bytes: usize, reason: &'static str },
}

impl BlocksError {
    fn malformed(offset_bytes: usize, reason: &'static str) -> BlocksError {
        BlocksError { kind: BlocksErrorKind::Malformed { offset_bytes, reason } }
    }
}

impl fmt::Display for BlocksError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            BlocksErrorKind::PrefixTooLong(block) => {
                write!(f, "block {block} is longer than /{MAX_IPV6_PREFIX_LEN}")
            }
            BlocksErrorKind::Malformed { offset_bytes, reason } => {
                write!(f, "malformed block snapshot at byte {offset_bytes}: {reason}")
            }
        }
    }
}

impl std::error::Error for BlocksError {}

/// A map from client address blocks to sites; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    v4: FamilyMap,
    v6: FamilyMap,
}

impl BlockMap {
    /// Creates a map; of duplicate blocks the last one counts.
    ///
    /// # Errors
    ///
    /// When an IPv6 block has a prefix longer than [`MAX_IPV6_PREFIX_LEN`].
    pub fn from_blocks(blocks: Vec<(IpNet, SiteId)>) -> Result<BlockMap, BlocksError> {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (block, site) in blocks {
            let entry = entry(block, site)?;
            if block.addr().is_ipv4() { v4.push(entry) } else { v6.push(entry) }
        }
        Ok(BlockMap { v4: FamilyMap::from_entries(v4), v6: FamilyMap::from_entries(v6) })
    }

    /// Returns the site of the longest block that contains `addr`.
    pub fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        match addr {
            IpAddr::V4(addr) => self.v4.lookup(u64::from(addr.to_bits()) << 32),
            IpAddr::V6(addr) => self.v6.lookup((addr.to_bits() >> 64) as u64),
        }
    }

    /// Returns the map after `deltas`, applied in order.
    ///
    /// # Errors
    ///
    /// When an IPv6 block has a prefix longer than [`MAX_IPV6_PREFIX_LEN`].
    pub fn apply(&self, deltas: &[Delta]) -> Result<BlockMap, BlocksError> {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for delta in deltas {
            let (block, site) = match *delta {
                Delta::Set { block, site } => (block, Some(site)),
                Delta::Remove { block } => (block, None),
            };
            let Entry { start, prefix_len, .. } = entry(block, SiteId(0))?;
            let delta = FamilyChange { start, prefix_len, site };
            if block.addr().is_ipv4() { v4.push(delta) } else { v6.push(delta) }
        }
        Ok(BlockMap { v4: self.v4.apply(v4), v6: self.v6.apply(v6) })
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether the map has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory use of the map in bytes, including chunks shared with other
    /// maps and excluding allocator overhead.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }

    /// Encodes the map as a snapshot that can be stored as one object of the platform.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// When the bytes are truncated, corrupt, or not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<BlockMap, BlocksError> {
        codec::decode(bytes)
    }
}

/// Converts a block to an entry, with the address left-aligned in 64 bits, so that both
/// families are searched in the same way.
fn entry(block: IpNet, site: SiteId) -> Result<Entry, BlocksError> {
    let prefix_len = block.prefix_len();
    let start = match block {
        IpNet::V4(block) => u64::from(block.network().to_bits()) << 32,
        IpNet::V6(block) => (block.network().to_bits() >> 64) as u64,
    };
    if prefix_len > MAX_IPV6_PREFIX_LEN {
        return Err(BlocksError { kind: BlocksErrorKind::PrefixTooLong(block) });
    }
    Ok(Entry { start, prefix_len, site })
}
