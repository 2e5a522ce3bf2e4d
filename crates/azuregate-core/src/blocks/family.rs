//! All blocks of one address family.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::blocks::{
    SiteId,
    chunk::{self, Chunk, Entry, MAX_ENTRIES},
};

/// How full chunks are made at first: some room keeps early deltas from
/// splitting every chunk that they touch.
const FILL: usize = MAX_ENTRIES * 3 / 4;

/// Blocks in order, cut into chunks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Family {
    /// The first address of each part, apart from the parts so that a search
    /// reads one short array.
    firsts: Vec<u64>,
    parts: Vec<Part>,
    len: usize,
}

/// A chunk, and the blocks of earlier chunks that hold its first address,
/// shortest first.
#[derive(Clone, Debug)]
struct Part {
    chunk: Arc<Chunk>,
    outer: Option<Arc<[Entry]>>,
}

impl Part {
    fn outer(&self) -> &[Entry] {
        self.outer.as_deref().unwrap_or_default()
    }
}

/// A change to one block; no site forgets it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FamilyDelta {
    pub(crate) start: u64,
    pub(crate) len: u8,
    pub(crate) site: Option<SiteId>,
}

/// The changes that fall on one chunk, by the order of blocks.
type ChunkDeltas = BTreeMap<(u64, u8), Option<SiteId>>;

impl Family {
    /// Makes a family; of blocks given twice the last one counts.
    pub(crate) fn from_entries(mut entries: Vec<Entry>) -> Family {
        entries.sort_by_key(Entry::order);
        // The sort is stable, so of equal blocks the last given comes last.
        entries.reverse();
        entries.dedup_by_key(|entry| entry.order());
        entries.reverse();
        Family::from_chunks(entries.chunks(FILL).map(|e| Arc::new(Chunk::new(e))).collect())
    }

    fn from_chunks(chunks: Vec<Arc<Chunk>>) -> Family {
        let firsts = chunks.iter().map(|chunk| chunk.first()).collect();
        let len = chunks.iter().map(|chunk| chunk.len()).sum();
        let parts = chunks.into_iter().map(|chunk| Part { chunk, outer: None }).collect();
        let mut family = Family { firsts, parts, len };
        family.link(Vec::new(), 0, u64::MAX);
        family
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.parts.iter().flat_map(|part| part.chunk.entries())
    }

    pub(crate) fn lookup(&self, addr: u64) -> Option<SiteId> {
        let part = &self.parts[self.part_of(addr)?];
        if let Some(site) = part.chunk.lookup(addr) {
            return Some(site);
        }
        part.outer().iter().rev().find(|entry| entry.holds(addr)).map(|entry| entry.site)
    }

    /// The part that an address is looked up in.
    fn part_of(&self, addr: u64) -> Option<usize> {
        self.firsts.partition_point(|&first| first <= addr).checked_sub(1)
    }

    /// The part that a block belongs in; blocks of one start may be spread over
    /// two parts, so that the start alone does not tell.
    fn part_for(&self, order: (u64, u8)) -> usize {
        let after = self.parts.partition_point(|part| part.chunk.entry(0).order() <= order);
        after.saturating_sub(1)
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let parts = self
            .parts
            .iter()
            .map(|part| size_of::<Part>() + part.chunk.memory_bytes() + size_of_val(part.outer()));
        self.firsts.len() * size_of::<u64>() + parts.sum::<usize>()
    }

    /// The family after `deltas`. Chunks that none falls on are shared.
    pub(crate) fn apply(&self, deltas: Vec<FamilyDelta>) -> Family {
        let Some(from) = deltas.iter().map(|delta| delta.start).min() else {
            return self.clone();
        };
        let to = deltas.iter().map(|delta| chunk::last(delta.start, delta.len)).max();
        if self.parts.is_empty() {
            return Family::from_chunks(merge(&[], deltas.iter().map(keyed).collect()));
        }
        let mut by_part: BTreeMap<usize, ChunkDeltas> = BTreeMap::new();
        for delta in deltas {
            let (order, site) = keyed(&delta);
            by_part.entry(self.part_for(order)).or_default().insert(order, site);
        }
        let (mut next, rebuilt) = self.with_parts(&by_part);
        next.link(rebuilt, from, to.unwrap_or(u64::MAX));
        next
    }

    /// The family with the changed chunks rebuilt, and the indexes of these.
    fn with_parts(&self, by_part: &BTreeMap<usize, ChunkDeltas>) -> (Family, Vec<usize>) {
        let mut next = Family::default();
        let mut rebuilt = Vec::new();
        next.parts.reserve(self.parts.len() + by_part.len());
        next.firsts.reserve(self.parts.len() + by_part.len());
        for (index, part) in self.parts.iter().enumerate() {
            match by_part.get(&index) {
                None => next.push(part.clone()),
                Some(deltas) => {
                    let entries: Vec<_> = part.chunk.entries().collect();
                    for chunk in merge(&entries, deltas.clone()) {
                        rebuilt.push(next.parts.len());
                        next.push(Part { chunk, outer: None });
                    }
                }
            }
        }
        (next, rebuilt)
    }

    fn push(&mut self, part: Part) {
        self.firsts.push(part.chunk.first());
        self.len += part.chunk.len();
        self.parts.push(part);
    }

    /// Finds the outer blocks anew of the parts that were rebuilt and of those
    /// whose first address lies within the changed blocks. The outer blocks of
    /// all others are as they were.
    fn link(&mut self, rebuilt: Vec<usize>, from: u64, to: u64) {
        let begin = self.firsts.partition_point(|&first| first < from);
        let end = self.firsts.partition_point(|&first| first <= to);
        let mut stale = BTreeSet::from_iter(rebuilt);
        stale.extend(begin..end);
        // Upwards, since each is worked out from the one before.
        for index in stale {
            let outer = self.outer_of(index);
            if *outer != *self.parts[index].outer() {
                self.parts[index].outer = (!outer.is_empty()).then(|| Arc::from(outer));
            }
        }
    }

    fn outer_of(&self, index: usize) -> Vec<Entry> {
        let Some(before) = index.checked_sub(1) else {
            return Vec::new();
        };
        let addr = self.firsts[index];
        let before = &self.parts[before];
        let mut inner: Vec<_> = before.chunk.enclosing(addr).collect();
        inner.reverse();
        let outer = before.outer().iter().copied().filter(|entry| entry.holds(addr));
        outer.chain(inner).collect()
    }
}

fn keyed(delta: &FamilyDelta) -> ((u64, u8), Option<SiteId>) {
    ((delta.start, delta.len), delta.site)
}

/// The chunks that hold `entries` after `deltas`; none if no block is left.
fn merge(entries: &[Entry], mut deltas: ChunkDeltas) -> Vec<Arc<Chunk>> {
    let mut merged: Vec<Entry> = Vec::with_capacity(entries.len() + deltas.len());
    for &entry in entries {
        match deltas.remove(&entry.order()) {
            None => merged.push(entry),
            Some(None) => {}
            Some(Some(site)) => merged.push(Entry { site, ..entry }),
        }
    }
    let fresh = deltas
        .into_iter()
        .filter_map(|((start, len), site)| Some(Entry { start, len, site: site? }));
    merged.extend(fresh);
    merged.sort_by_key(Entry::order);
    let size = if merged.len() > MAX_ENTRIES { FILL } else { MAX_ENTRIES };
    merged.chunks(size).map(|entries| Arc::new(Chunk::new(entries))).collect()
}
