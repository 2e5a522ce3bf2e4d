//! Nearest first, with a limit for each server learnt from its refusals.
//!
//! Each instance chooses alone. It is the baseline for the dispatchers.

use crate::{
    names::BackendId,
    route::{Capacity, Completion, LoadReport, Locality, Router, ServerStatus},
    time::Millis,
    topology::Distance,
};

/// How long a limit that was lowered by a refusal stays lowered.
const HOLD_MS: Millis = Millis(200);

/// Chooses the nearest server with a free slot, the least used first.
#[derive(Debug, Default)]
pub struct Nearest {
    slots: Vec<Slots>,
}

#[derive(Debug)]
struct Slots {
    id: BackendId,
    distance: Distance,
    open: bool,
    total: u32,
    limit: u32,
    in_use: u32,
    raise_at_ms: Millis,
}

impl Slots {
    fn has_room(&self) -> bool {
        self.open && self.in_use < self.limit
    }
}

impl Router for Nearest {
    fn set_servers(&mut self, locality: Locality<'_>, servers: &[ServerStatus]) {
        for slots in &mut self.slots {
            slots.open = false;
        }
        for server in servers {
            let distance = locality.topology.distance(locality.zone, &server.server.zone);
            let total = server.server.slots;
            let known = self.slots.iter_mut().find(|slots| slots.id == server.server.id);
            if let Some(slots) = known {
                slots.distance = distance;
                slots.open = server.available;
                slots.total = total;
                slots.limit = slots.limit.min(total);
                continue;
            }
            self.slots.push(Slots {
                id: server.server.id.clone(),
                distance,
                open: server.available,
                total,
                limit: total,
                in_use: 0,
                raise_at_ms: Millis(0),
            });
        }
    }

    fn acquire(&mut self, now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize> {
        for slots in &mut self.slots {
            if slots.limit < slots.total && slots.raise_at_ms <= now_ms {
                slots.limit += 1;
                slots.raise_at_ms = now_ms + HOLD_MS;
            }
        }
        // Ties are broken by a random start, or all instances would fill the
        // first server of the list at once.
        let count = self.slots.len();
        let start = if count == 0 { 0 } else { rng.usize(..count) };
        let key = (0..count)
            .map(|offset| (start + offset) % count)
            .filter(|&key| self.slots[key].has_room())
            .min_by_key(|&key| (self.slots[key].distance, self.slots[key].in_use))?;
        self.slots[key].in_use += 1;
        Some(key)
    }

    fn id(&self, key: usize) -> &BackendId {
        &self.slots[key].id
    }

    fn release(&mut self, key: usize, completion: Completion, now_ms: Millis) {
        let slots = &mut self.slots[key];
        slots.in_use = slots.in_use.saturating_sub(1);
        if matches!(completion, Completion::Refused | Completion::Failed) {
            slots.limit = slots.in_use.clamp(1, slots.total.max(1));
            slots.raise_at_ms = now_ms + HOLD_MS;
        }
    }

    fn record_load(&mut self, _key: usize, _report: LoadReport) {}

    fn capacity(&self) -> Capacity {
        let open = || self.slots.iter().filter(|slots| slots.open);
        Capacity {
            free: open().map(|slots| slots.limit.saturating_sub(slots.in_use)).sum(),
            total: open().map(|slots| slots.total).sum(),
        }
    }
}
