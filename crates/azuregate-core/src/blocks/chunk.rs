//! A chunk: up to a few hundred blocks in order, with the parent of each.

use crate::blocks::SiteId;

/// Maximum number of blocks in a chunk; a larger chunk is split.
pub(crate) const MAX_ENTRIES: usize = 512;

/// Parent of a block that no other block of its chunk encloses.
const NO_PARENT: u16 = u16::MAX;

/// A block: its first address, left-aligned in 64 bits, and its prefix length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) start: u64,
    pub(crate) prefix_len: u8,
    pub(crate) site: SiteId,
}

impl Entry {
    /// Returns the sort key, which orders enclosing blocks before those that they
    /// enclose.
    pub(crate) fn key(&self) -> (u64, u8) {
        (self.start, self.prefix_len)
    }

    pub(crate) fn contains(&self, addr: u64) -> bool {
        self.start <= addr && addr <= last_addr(self.start, self.prefix_len)
    }
}

/// Returns the last address of a block.
pub(crate) fn last_addr(start: u64, prefix_len: u8) -> u64 {
    // A shift by all 64 bits overflows; a block with that prefix length is one address.
    start | u64::MAX.checked_shr(u32::from(prefix_len)).unwrap_or(0)
}

/// A sorted list of blocks, in columns, so that a search only reads the start
/// addresses.
#[derive(Debug)]
pub(crate) struct Chunk {
    starts: Box<[u64]>,
    prefix_lens: Box<[u8]>,
    sites: Box<[SiteId]>,
    parents: Box<[u16]>,
}

impl Chunk {
    /// Creates a chunk of at least one block; `entries` must be sorted.
    pub(crate) fn new(entries: &[Entry]) -> Chunk {
        debug_assert!(!entries.is_empty() && entries.len() <= MAX_ENTRIES);
        Chunk {
            starts: entries.iter().map(|entry| entry.start).collect(),
            prefix_lens: entries.iter().map(|entry| entry.prefix_len).collect(),
            sites: entries.iter().map(|entry| entry.site).collect(),
            parents: parents(entries),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    pub(crate) fn first(&self) -> u64 {
        self.starts[0]
    }

    pub(crate) fn entry(&self, index: usize) -> Entry {
        Entry {
            start: self.starts[index],
            prefix_len: self.prefix_lens[index],
            site: self.sites[index],
        }
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        (0..self.len()).map(|index| self.entry(index))
    }

    /// Returns the site of the longest matching block of this chunk.
    pub(crate) fn lookup(&self, addr: u64) -> Option<SiteId> {
        // Every block that contains `addr` also contains the start of the last block
        // that starts at or before `addr`, so the match is that block or one of its
        // ancestors.
        let after = self.starts.partition_point(|&start| start <= addr);
        let mut index = after.checked_sub(1)?;
        loop {
            if addr <= last_addr(self.starts[index], self.prefix_lens[index]) {
                return Some(self.sites[index]);
            }
            index = self.parent(index)?;
        }
    }

    /// Returns the blocks of this chunk that contain `addr`, longest prefix first.
    /// `addr` must come after all starts of the chunk.
    pub(crate) fn enclosing(&self, addr: u64) -> impl Iterator<Item = Entry> + '_ {
        let mut next = Some(self.len() - 1);
        let ancestors = std::iter::from_fn(move || {
            let index = next?;
            next = self.parent(index);
            Some(self.entry(index))
        });
        ancestors.filter(move |entry| entry.contains(addr))
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let row = size_of::<u64>() + size_of::<u8>() + size_of::<SiteId>() + size_of::<u16>();
        size_of::<Chunk>() + self.len() * row
    }

    fn parent(&self, index: usize) -> Option<usize> {
        let parent = self.parents[index];
        (parent != NO_PARENT).then_some(usize::from(parent))
    }
}

fn parents(entries: &[Entry]) -> Box<[u16]> {
    let mut ancestors: Vec<u16> = Vec::new();
    let mut parents = Vec::with_capacity(entries.len());
    for (index, entry) in (0_u16..).zip(entries) {
        while ancestors
            .last()
            .is_some_and(|&last| !entries[usize::from(last)].contains(entry.start))
        {
            ancestors.pop();
        }
        parents.push(ancestors.last().copied().unwrap_or(NO_PARENT));
        ancestors.push(index);
    }
    parents.into()
}
