//! Least-loaded selection by free slots.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use crate::{
    names::BackendId,
    route::{
        Capacity, Completion, LoadReport, Locality, Router, ServerStatus, limit::ConcurrencyLimit,
    },
    time::Millis,
};

/// The last bucket, which holds all servers with at least this many free slots.
const MAX_BUCKET: usize = 63;
/// Weight of a new sample in the mean latency of the group.
const EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Selects the server with the most free slots; ties are broken at random.
///
/// Servers are kept in buckets by their number of free slots, with a bitmap of
/// the nonempty buckets, so selection takes constant time and does not allocate.
#[derive(Debug)]
pub struct SlotTable {
    servers: Vec<Server>,
    by_id: HashMap<BackendId, usize>,
    /// Keys of servers, indexed by free slots.
    buckets: Vec<Vec<usize>>,
    /// Bitmap of nonempty buckets; the bit of bucket 0 is never set.
    nonempty: u64,
    /// Servers with a limit of zero, ordered by when they may be tried again.
    closed: BinaryHeap<Reverse<(Millis, usize)>>,
    mean_latency_ms: f64,
    capacity: Capacity,
}

#[derive(Debug)]
struct Server {
    id: BackendId,
    limit: ConcurrencyLimit,
    available: bool,
    in_use: u32,
    bucket: usize,
    position: usize,
}

impl Server {
    fn free_slots(&self) -> u32 {
        if self.available { self.limit.get().saturating_sub(self.in_use) } else { 0 }
    }

    fn total_slots(&self) -> u32 {
        if self.available { self.limit.get() } else { 0 }
    }
}

impl Default for SlotTable {
    fn default() -> SlotTable {
        SlotTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            buckets: vec![Vec::new(); MAX_BUCKET + 1],
            nonempty: 0,
            closed: BinaryHeap::new(),
            mean_latency_ms: 0.0,
            capacity: Capacity::default(),
        }
    }
}

impl SlotTable {
    /// Changes a server and updates its bucket and the capacity.
    fn update(&mut self, key: usize, change: impl FnOnce(&mut Server)) {
        let server = &mut self.servers[key];
        let (free, total) = (server.free_slots(), server.total_slots());
        change(server);
        self.capacity.free = self.capacity.free - free + server.free_slots();
        self.capacity.total = self.capacity.total - total + server.total_slots();
        let bucket = (server.free_slots() as usize).min(MAX_BUCKET);
        if bucket != server.bucket {
            self.remove_from_bucket(key);
            self.insert_into_bucket(key, bucket);
        }
    }

    fn remove_from_bucket(&mut self, key: usize) {
        let Server { bucket, position, .. } = self.servers[key];
        self.buckets[bucket].swap_remove(position);
        if let Some(&moved) = self.buckets[bucket].get(position) {
            self.servers[moved].position = position;
        }
        if self.buckets[bucket].is_empty() {
            self.nonempty &= !(1 << bucket);
        }
    }

    fn insert_into_bucket(&mut self, key: usize, bucket: usize) {
        self.servers[key].bucket = bucket;
        self.servers[key].position = self.buckets[bucket].len();
        self.buckets[bucket].push(key);
        if bucket > 0 {
            self.nonempty |= 1 << bucket;
        }
    }

    fn add(&mut self, id: &BackendId, limit: ConcurrencyLimit) -> usize {
        let key = self.servers.len();
        self.servers.push(Server {
            id: id.clone(),
            limit,
            available: false,
            in_use: 0,
            bucket: 0,
            position: 0,
        });
        self.by_id.insert(id.clone(), key);
        self.insert_into_bucket(key, 0);
        // Any bucket may hold all servers; reserved here, so that selection does
        // not allocate.
        let count = self.servers.len();
        for bucket in &mut self.buckets {
            bucket.reserve(count - bucket.len());
        }
        self.closed.reserve(count * 2);
        key
    }

    fn reopen_due(&mut self, now_ms: Millis) {
        while let Some(&Reverse((at_ms, key))) = self.closed.peek() {
            if at_ms > now_ms {
                return;
            }
            self.closed.pop();
            self.update(key, |server| server.limit.reopen(now_ms));
        }
    }

    /// Updates the mean latency of the group. The first sample sets it, since
    /// any latency would be slow compared with zero.
    fn record_latency(&mut self, latency_ms: f64) {
        let weight = if self.mean_latency_ms == 0.0 { 1.0 } else { EWMA_WEIGHT };
        self.mean_latency_ms += weight * (latency_ms - self.mean_latency_ms);
    }

    fn schedule_reopen(&mut self, key: usize) {
        let limit = &self.servers[key].limit;
        if limit.get() == 0 {
            self.closed.push(Reverse((limit.next_increase_at_ms(), key)));
        }
    }
}

impl Router for SlotTable {
    fn set_servers(&mut self, _locality: Locality<'_>, servers: &[ServerStatus]) {
        for key in 0..self.servers.len() {
            self.update(key, |server| server.available = false);
        }
        // Servers of the first list were in service before this instance
        // started. Treating them as cold would refuse requests that they can take.
        let first_list = self.servers.is_empty();
        for ServerStatus { server, available } in servers {
            let new_limit =
                if first_list { ConcurrencyLimit::warm } else { ConcurrencyLimit::cold };
            let known = self.by_id.get(&server.id).copied();
            let key = known
                .unwrap_or_else(|| self.add(&server.id, new_limit(server.start, server.slots)));
            self.update(key, |known| {
                known.limit.update_server(server.start, server.slots);
                known.available = *available;
            });
        }
    }

    fn acquire(&mut self, now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        self.reopen_due(now_ms);
        let bucket = self.nonempty.checked_ilog2()? as usize;
        let nth = rng.usize(..self.buckets[bucket].len());
        let key = self.buckets[bucket][nth];
        self.update(key, |server| {
            if server.in_use == 0 {
                server.limit.reset_if_idle(now_ms);
            }
            server.in_use += 1;
        });
        Some(key)
    }

    fn id(&self, key: usize) -> &BackendId {
        &self.servers[key].id
    }

    fn release(&mut self, key: usize, completion: Completion, now_ms: Millis) {
        if let Completion::Responded { latency_ms } = completion {
            self.record_latency(latency_ms as f64);
        }
        let mean_latency_ms = self.mean_latency_ms;
        self.update(key, |server| {
            debug_assert!(server.in_use > 0, "slot released twice");
            server.in_use = server.in_use.saturating_sub(1);
            match completion {
                Completion::Responded { latency_ms } => {
                    server.limit.record_response(latency_ms, mean_latency_ms, now_ms);
                }
                Completion::Refused | Completion::Failed => {
                    server.limit.record_refusal(server.in_use, now_ms)
                }
                Completion::Cancelled => {}
            }
        });
        self.schedule_reopen(key);
    }

    /// Ignores the report: slots in use are counted exactly here, while reports
    /// lag. Requests from other instances show up as refusals.
    fn record_load(&mut self, _key: usize, _report: LoadReport) {}

    fn capacity(&self) -> Capacity {
        self.capacity
    }
}
