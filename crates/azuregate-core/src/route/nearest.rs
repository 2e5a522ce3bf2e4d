//! Nearest-first selection with a concurrency limit per server.
//!
//! Each instance selects independently. This is the baseline that the
//! dispatchers are compared with.

use crate::{
    names::BackendId,
    route::{Capacity, Completion, LoadReport, Locality, Router, ServerStatus},
    time::Millis,
    topology::Distance,
};

/// Interval between increases of a limit that a refusal lowered.
const BACKOFF_MS: Millis = Millis(200);

/// Selects the nearest server with a free slot; of several, the one with the
/// fewest requests in progress.
#[derive(Debug, Default)]
pub struct Nearest {
    servers: Vec<Server>,
}

#[derive(Debug)]
struct Server {
    id: BackendId,
    distance: Distance,
    available: bool,
    total: u32,
    limit: u32,
    in_use: u32,
    next_increase_at_ms: Millis,
}

impl Server {
    fn has_room(&self) -> bool {
        self.available && self.in_use < self.limit
    }
}

impl Router for Nearest {
    fn set_servers(&mut self, locality: Locality<'_>, servers: &[ServerStatus]) {
        for server in &mut self.servers {
            server.available = false;
        }
        for listed in servers {
            let distance = locality.topology.distance(locality.zone, &listed.server.zone);
            let total = listed.server.slots;
            let known = self.servers.iter_mut().find(|known| known.id == listed.server.id);
            if let Some(known) = known {
                known.distance = distance;
                known.available = listed.available;
                known.total = total;
                known.limit = known.limit.min(total);
                continue;
            }
            self.servers.push(Server {
                id: listed.server.id.clone(),
                distance,
                available: listed.available,
                total,
                limit: total,
                in_use: 0,
                next_increase_at_ms: Millis(0),
            });
        }
    }

    fn acquire(&mut self, now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        for server in &mut self.servers {
            if server.limit < server.total && server.next_increase_at_ms <= now_ms {
                server.limit += 1;
                server.next_increase_at_ms = now_ms + BACKOFF_MS;
            }
        }
        // A random start breaks ties; otherwise all instances would fill the
        // first listed server at once.
        let count = self.servers.len();
        let start = if count == 0 { 0 } else { rng.usize(..count) };
        let key = (0..count)
            .map(|offset| (start + offset) % count)
            .filter(|&key| self.servers[key].has_room())
            .min_by_key(|&key| (self.servers[key].distance, self.servers[key].in_use))?;
        self.servers[key].in_use += 1;
        Some(key)
    }

    fn id(&self, key: usize) -> &BackendId {
        &self.servers[key].id
    }

    fn release(&mut self, key: usize, completion: Completion, now_ms: Millis) {
        let server = &mut self.servers[key];
        server.in_use = server.in_use.saturating_sub(1);
        if matches!(completion, Completion::Refused | Completion::Failed) {
            server.limit = server.in_use.clamp(1, server.total.max(1));
            server.next_increase_at_ms = now_ms + BACKOFF_MS;
        }
    }

    fn record_load(&mut self, _key: usize, _report: LoadReport) {}

    fn capacity(&self) -> Capacity {
        let available = || self.servers.iter().filter(|server| server.available);
        Capacity {
            free: available().map(|server| server.limit.saturating_sub(server.in_use)).sum(),
            total: available().map(|server| server.total).sum(),
        }
    }
}
