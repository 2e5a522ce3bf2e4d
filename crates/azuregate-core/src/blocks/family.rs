//! All blocks of one address family.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::blocks::{
    SiteId,
    chunk::{self, Chunk, Entry, MAX_ENTRIES},
};

/// Number of blocks in a new chunk; the spare room avoids splits by the first deltas.
const INITIAL_CHUNK_ENTRIES: usize = MAX_ENTRIES * 3 / 4;

/// A sorted list of blocks, divided into chunks.
#[derive(Clone, Debug, Default)]
pub(crate) struct FamilyMap {
    /// The first address of each segment, in an array of its own for a cache-friendly
    /// search.
    first_addrs: Vec<u64>,
    segments: Vec<Segment>,
    len: usize,
}

/// A chunk, and the blocks of earlier chunks that contain its first address, shortest
/// prefix first.
#[derive(Clone, Debug)]
struct Segment {
    chunk: Arc<Chunk>,
    enclosing: Option<Arc<[Entry]>>,
}

impl Segment {
    fn enclosing(&self) -> &[Entry] {
        self.enclosing.as_deref().unwrap_or_default()
    }
}

/// A change to one block; without a site, the block is removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FamilyChange {
    pub(crate) start: u64,
    pub(crate) prefix_len: u8,
    pub(crate) site: Option<SiteId>,
}

/// The changes to one chunk, by block key.
type ChunkDeltas = BTreeMap<(u64, u8), Option<SiteId>>;

impl FamilyMap {
    /// Creates a map; of duplicate blocks the last one counts.
    pub(crate) fn from_entries(mut entries: Vec<Entry>) -> FamilyMap {
        entries.sort_by_key(Entry::key);
        // The sort is stable, so the last of several duplicates comes last.
        entries.reverse();
        entries.dedup_by_key(|entry| entry.key());
        entries.reverse();
        FamilyMap::from_chunks(
            entries.chunks(INITIAL_CHUNK_ENTRIES).map(|e| Arc::new(Chunk::new(e))).collect(),
        )
    }

    fn from_chunks(chunks: Vec<Arc<Chunk>>) -> FamilyMap {
        let first_addrs = chunks.iter().map(|chunk| chunk.first()).collect();
        let len = chunks.iter().map(|chunk| chunk.len()).sum();
        let segments = chunks.into_iter().map(|chunk| Segment { chunk, enclosing: None }).collect();
        let mut family = FamilyMap { first_addrs, segments, len };
        family.update_enclosing(Vec::new(), 0, u64::MAX);
        family
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.segments.iter().flat_map(|segment| segment.chunk.entries())
    }

    pub(crate) fn lookup(&self, addr: u64) -> Option<SiteId> {
        let segment = &self.segments[self.segment_containing(addr)?];
        if let Some(site) = segment.chunk.lookup(addr) {
            return Some(site);
        }
        segment.enclosing().iter().rev().find(|entry| entry.contains(addr)).map(|entry| entry.site)
    }

    /// Returns the index of the segment in which an address is looked up.
    fn segment_containing(&self, addr: u64) -> Option<usize> {
        self.first_addrs.partition_point(|&first| first <= addr).checked_sub(1)
    }

    /// Returns the index of the segment that a block belongs to. Blocks with the same
    /// start can span two segments, so the start alone does not determine it.
    fn segment_for(&self, key: (u64, u8)) -> usize {
        let after = self.segments.partition_point(|segment| segment.chunk.entry(0).key() <= key);
        after.saturating_sub(1)
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let segments = self.segments.iter().map(|segment| {
            size_of::<Segment>() + segment.chunk.memory_bytes() + size_of_val(segment.enclosing())
        });
        self.first_addrs.len() * size_of::<u64>() + segments.sum::<usize>()
    }

    /// Returns the map after `deltas`; unchanged chunks are shared.
    pub(crate) fn apply(&self, deltas: Vec<FamilyChange>) -> FamilyMap {
        let Some(from) = deltas.iter().map(|delta| delta.start).min() else {
            return self.clone();
        };
        let to = deltas.iter().map(|delta| chunk::last_addr(delta.start, delta.prefix_len)).max();
        if self.segments.is_empty() {
            return FamilyMap::from_chunks(merge_chunks(
                &[],
                deltas.iter().map(key_and_site).collect(),
            ));
        }
        let mut by_segment: BTreeMap<usize, ChunkDeltas> = BTreeMap::new();
        for delta in deltas {
            let (key, site) = key_and_site(&delta);
            by_segment.entry(self.segment_for(key)).or_default().insert(key, site);
        }
        let (mut next, rebuilt) = self.with_rebuilt_chunks(&by_segment);
        next.update_enclosing(rebuilt, from, to.unwrap_or(u64::MAX));
        next
    }

    /// Returns the map with the changed chunks rebuilt, and the indexes of the rebuilt
    /// segments.
    fn with_rebuilt_chunks(
        &self,
        by_segment: &BTreeMap<usize, ChunkDeltas>,
    ) -> (FamilyMap, Vec<usize>) {
        let mut next = FamilyMap::default();
        let mut rebuilt = Vec::new();
        next.segments.reserve(self.segments.len() + by_segment.len());
        next.first_addrs.reserve(self.segments.len() + by_segment.len());
        for (index, segment) in self.segments.iter().enumerate() {
            match by_segment.get(&index) {
                None => next.push(segment.clone()),
                Some(deltas) => {
                    let entries: Vec<_> = segment.chunk.entries().collect();
                    for chunk in merge_chunks(&entries, deltas.clone()) {
                        rebuilt.push(next.segments.len());
                        next.push(Segment { chunk, enclosing: None });
                    }
                }
            }
        }
        (next, rebuilt)
    }

    fn push(&mut self, segment: Segment) {
        self.first_addrs.push(segment.chunk.first());
        self.len += segment.chunk.len();
        self.segments.push(segment);
    }

    /// Recomputes the enclosing blocks of the rebuilt segments and of those whose first
    /// address lies between `from` and `to`. Those of all other segments cannot have
    /// changed.
    fn update_enclosing(&mut self, rebuilt: Vec<usize>, from: u64, to: u64) {
        let begin = self.first_addrs.partition_point(|&first| first < from);
        let end = self.first_addrs.partition_point(|&first| first <= to);
        let mut stale = BTreeSet::from_iter(rebuilt);
        stale.extend(begin..end);
        // In ascending order, since each segment is computed from the previous one.
        for index in stale {
            let enclosing = self.enclosing_of(index);
            if *enclosing != *self.segments[index].enclosing() {
                self.segments[index].enclosing =
                    (!enclosing.is_empty()).then(|| Arc::from(enclosing));
            }
        }
    }

    fn enclosing_of(&self, index: usize) -> Vec<Entry> {
        let Some(before) = index.checked_sub(1) else {
            return Vec::new();
        };
        let addr = self.first_addrs[index];
        let before = &self.segments[before];
        let mut inner: Vec<_> = before.chunk.enclosing(addr).collect();
        inner.reverse();
        let enclosing = before.enclosing().iter().copied().filter(|entry| entry.contains(addr));
        enclosing.chain(inner).collect()
    }
}

fn key_and_site(delta: &FamilyChange) -> ((u64, u8), Option<SiteId>) {
    ((delta.start, delta.prefix_len), delta.site)
}

/// Returns the chunks that hold `entries` after `deltas`; none if no block is left.
fn merge_chunks(entries: &[Entry], mut deltas: ChunkDeltas) -> Vec<Arc<Chunk>> {
    let mut merged: Vec<Entry> = Vec::with_capacity(entries.len() + deltas.len());
    for &entry in entries {
        match deltas.remove(&entry.key()) {
            None => merged.push(entry),
            Some(None) => {}
            Some(Some(site)) => merged.push(Entry { site, ..entry }),
        }
    }
    let added = deltas
        .into_iter()
        .filter_map(|((start, prefix_len), site)| Some(Entry { start, prefix_len, site: site? }));
    merged.extend(added);
    merged.sort_by_key(Entry::key);
    let size = if merged.len() > MAX_ENTRIES { INITIAL_CHUNK_ENTRIES } else { MAX_ENTRIES };
    merged.chunks(size).map(|entries| Arc::new(Chunk::new(entries))).collect()
}
