//! Who holds memory, and who gives way.

use std::collections::HashMap;

use super::limits::{
    ACTIVE_BYTES, CONNECTION_BYTES, IDLE_MS, Limits, MAX_WAIT_MS, SMALL_BODY_BYTES, STALL_MS,
};

/// Identifies a connection; never used again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// For the next request of a client that has completed one.
    Idle,
    /// For a request, or for the rest of one.
    Receiving,
    /// For memory, before the first byte of a body.
    WaitingForMemory,
    /// For backend servers, or for this instance.
    Working,
    /// For the client to read its response.
    Sending,
}

/// What to do about a request for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The memory is charged.
    Granted,
    /// This connection gives way. The request is decided anew once it has been told so.
    Evict(HolderId),
    /// The memory may become free soon.
    Wait,
    /// There is no memory.
    Refused,
}

/// The error of a connection that cannot be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// There is room once this connection has given way.
    Evict(HolderId),
    /// No connection can give way.
    Full,
}

/// What clients hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Memory.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    /// The part of `bytes` that is a body which is being received.
    body_bytes: usize,
    is_receiving_body: bool,
    is_active: bool,
    activity: Activity,
    /// When the connection last made progress.
    since_ms: u64,
}

impl Holder {
    fn stalled_ms(&self, now_ms: u64) -> Option<u64> {
        let waits_for_client = matches!(self.activity, Activity::Receiving | Activity::Sending);
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        (waits_for_client && waited_ms >= STALL_MS).then_some(waited_ms)
    }
}

/// The account of all clients.
#[derive(Debug)]
pub struct Account {
    limits: Limits,
    used_bytes: usize,
    holders: HashMap<HolderId, Holder>,
    next_id: u64,
}

impl Account {
    /// Returns an account without connections.
    pub fn new(limits: Limits) -> Account {
        Account { limits, used_bytes: 0, holders: HashMap::new(), next_id: 0 }
    }

    /// Replaces the limits. Connections that exceed them remain.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns what clients hold.
    pub fn usage(&self) -> Usage {
        Usage { bytes: self.used_bytes, connections: self.holders.len() }
    }

    /// Adds a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, with the connection that can make some.
    pub fn open(&mut self, now_ms: u64) -> Result<HolderId, Refused> {
        let is_full = self.holders.len() >= self.limits.connections;
        if is_full || !self.has_room(CONNECTION_BYTES) {
            return Err(self.evictable(None, now_ms).map_or(Refused::Full, Refused::Evict));
        }
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.used_bytes += CONNECTION_BYTES;
        let holder = Holder {
            bytes: CONNECTION_BYTES,
            body_bytes: 0,
            is_receiving_body: false,
            is_active: false,
            activity: Activity::Receiving,
            since_ms: now_ms,
        };
        self.holders.insert(id, holder);
        Ok(id)
    }

    /// Removes a connection with all that it holds.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used_bytes -= holder.bytes;
        }
    }

    /// Returns whether `bytes` can be charged without a connection giving way.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.used_bytes.saturating_add(bytes) <= self.limits.total_bytes
    }

    /// Records what a connection waits for from now on.
    pub fn set_activity(&mut self, id: HolderId, activity: Activity, now_ms: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if holder.activity != activity {
            holder.activity = activity;
            holder.since_ms = now_ms;
        }
    }

    /// Records that a connection has made progress.
    pub fn touch(&mut self, id: HolderId, now_ms: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.since_ms = now_ms;
        }
    }

    /// Charges the buffers of a request to a connection, or releases them.
    pub fn set_active(&mut self, id: HolderId, is_active: bool) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if std::mem::replace(&mut holder.is_active, is_active) == is_active {
            return;
        }
        match is_active {
            true => self.charge(id, ACTIVE_BYTES),
            false => self.release(id, ACTIVE_BYTES),
        }
    }

    /// Charges `bytes` to a connection, whether there is room or not.
    pub fn charge(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used_bytes += bytes;
        }
    }

    /// Releases `bytes` of a connection.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes -= bytes;
            self.used_bytes -= bytes;
        }
    }

    /// Decides whether a connection may go on while the account is exceeded.
    pub fn check(&self, id: HolderId, now_ms: u64) -> Decision {
        if self.has_room(0) {
            return Decision::Granted;
        }
        self.evictable(Some(id), now_ms).map_or(Decision::Refused, Decision::Evict)
    }

    /// Begins the body of a request.
    pub fn begin_body(&mut self, id: HolderId, now_ms: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_receiving_body = true;
        }
        self.set_activity(id, Activity::Receiving, now_ms);
        self.touch(id, now_ms);
    }

    /// Decides whether a body may use another `bytes`, for which it has waited `waited_ms`.
    ///
    /// It never waits while it holds memory, so no two bodies wait for each other.
    pub fn reserve_body(
        &mut self,
        id: HolderId,
        bytes: usize,
        waited_ms: u64,
        now_ms: u64,
    ) -> Decision {
        let Some(holder) = self.holders.get(&id) else { return Decision::Refused };
        let is_large = holder.body_bytes + bytes > SMALL_BODY_BYTES;
        let limit_bytes = if is_large { self.limits.large_bytes } else { self.limits.total_bytes };
        if self.used_bytes + bytes <= limit_bytes {
            self.charge(id, bytes);
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.body_bytes += bytes;
            }
            self.set_activity(id, Activity::Receiving, now_ms);
            self.touch(id, now_ms);
            return Decision::Granted;
        }
        let holds_memory = holder.body_bytes > 0;
        if let Some(victim) = self.stalled(Some(id), now_ms) {
            return Decision::Evict(victim);
        }
        if holds_memory || waited_ms >= MAX_WAIT_MS {
            return Decision::Refused;
        }
        self.set_activity(id, Activity::WaitingForMemory, now_ms);
        Decision::Wait
    }

    /// Ends a body that was received. Its memory remains charged to the connection.
    pub fn complete_body(&mut self, id: HolderId, now_ms: u64) -> usize {
        self.set_activity(id, Activity::Working, now_ms);
        let Some(holder) = self.holders.get_mut(&id) else { return 0 };
        holder.is_receiving_body = false;
        std::mem::take(&mut holder.body_bytes)
    }

    /// Returns whether a connection is receiving a body.
    pub fn is_receiving_body(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.is_receiving_body)
    }

    /// Ends a body that is given up, and releases its memory.
    pub fn drop_body(&mut self, id: HolderId, now_ms: u64) {
        let bytes = self.complete_body(id, now_ms);
        self.release(id, bytes);
    }

    /// Returns the connection that gives way first, other than `except`.
    fn evictable(&self, except: Option<HolderId>, now_ms: u64) -> Option<HolderId> {
        self.stalled(except, now_ms).or_else(|| self.longest_idle(except, now_ms))
    }

    fn stalled(&self, except: Option<HolderId>, now_ms: u64) -> Option<HolderId> {
        let others = self.holders.iter().filter(|(id, _)| Some(**id) != except);
        let stalled = others.filter_map(|(id, holder)| {
            let stalled_ms = holder.stalled_ms(now_ms)?;
            Some((holder.bytes as u64 * stalled_ms, *id))
        });
        stalled.max().map(|(_, id)| id)
    }

    fn longest_idle(&self, except: Option<HolderId>, now_ms: u64) -> Option<HolderId> {
        let idle = self.holders.iter().filter(|(id, holder)| {
            let idle_ms = now_ms.saturating_sub(holder.since_ms);
            Some(**id) != except && holder.activity == Activity::Idle && idle_ms >= IDLE_MS
        });
        idle.min_by_key(|(id, holder)| (holder.since_ms, **id)).map(|(id, _)| *id)
    }
}
