//! Charges client connections with the memory that they hold, and makes them give way.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use azuregate_core::client_memory::{
    Account, Activity, Decision, HolderId, Limits, Refused, Usage,
};
use bytes::BytesMut;
use tokio::{sync::Notify, time};

use super::{metrics, response::RequestError};

/// A body that waits for memory looks again after this time, since others stall meanwhile.
const WAIT_INTERVAL_MS: u64 = 50;

/// What became of clients since memory or connections were short.
#[derive(Debug, Default)]
pub(super) struct EvictionCounters {
    /// Connections that were not accepted.
    pub(super) refused_connections: Cell<u64>,
    /// Connections that were closed.
    pub(super) closed_connections: Cell<u64>,
    /// Requests that were refused while their body was received.
    pub(super) refused_bodies: Cell<u64>,
    /// Bodies that had to wait.
    pub(super) delayed_bodies: Cell<u64>,
}

impl EvictionCounters {
    pub(super) fn with_names(&self) -> [(&'static str, &Cell<u64>); 4] {
        [
            ("client_connections_refused", &self.refused_connections),
            ("client_connections_closed", &self.closed_connections),
            ("client_bodies_refused", &self.refused_bodies),
            ("client_bodies_delayed", &self.delayed_bodies),
        ]
    }
}

/// The port that a connection came in on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Port {
    /// For requests of clients.
    Traffic,
    /// For requests that other instances forward.
    Forwarded,
    /// For lookups, readiness and metrics.
    Endpoints,
}

/// The memory that all clients hold.
pub(super) struct ClientMemory {
    account: RefCell<Account>,
    machine: Limits,
    connections: RefCell<HashMap<HolderId, Weak<ConnectionMemory>>>,
    /// Notified when memory becomes free.
    freed: Notify,
    /// The number of connections to other instances that have not read their responses.
    unsent_forwarded: Cell<usize>,
    pub(super) counters: EvictionCounters,
    started_at: Instant,
}

impl ClientMemory {
    /// Returns the account of a machine with these limits.
    pub(super) fn new(machine: Limits) -> Rc<ClientMemory> {
        Rc::new(ClientMemory {
            account: RefCell::new(Account::new(machine)),
            machine,
            connections: RefCell::default(),
            freed: Notify::new(),
            unsent_forwarded: Cell::new(0),
            counters: EvictionCounters::default(),
            started_at: Instant::now(),
        })
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Sets the size of the largest body that the configuration allows.
    pub(super) fn set_largest_body(&self, body_bytes: usize) {
        let limits = self.machine.with_largest_body(body_bytes);
        if limits.large_bytes < body_bytes {
            log::warn!(max_body_bytes = body_bytes, memory_bytes = limits.total_bytes; "largest body exceeds the memory for clients");
        }
        self.account.borrow_mut().set_limits(limits);
    }

    /// Returns what clients hold.
    pub(super) fn usage(&self) -> Usage {
        self.account.borrow().usage()
    }

    /// Returns what they may hold.
    pub(super) fn limits(&self) -> Limits {
        self.account.borrow().limits()
    }

    /// Returns whether all responses to forwarded requests have been sent, apart from those in progress.
    pub(super) fn has_sent_forwarded(&self) -> bool {
        self.unsent_forwarded.get() == 0
    }

    /// Returns whether `bytes` more can be held without a connection giving way.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.account.borrow().has_room(bytes)
    }

    /// Charges a new connection, for which another one may be closed. Returns `None` if there is no room.
    pub(super) fn open(
        self: &Rc<Self>,
        port: Port,
        client: IpAddr,
    ) -> Option<Rc<ConnectionMemory>> {
        let id = loop {
            let opened = self.account.borrow_mut().open(self.now_ms());
            match opened {
                Ok(id) => break id,
                Err(Refused::Evict(victim)) => self.close(victim),
                Err(Refused::Full) => {
                    metrics::inc_by(&self.counters.refused_connections, 1);
                    log::info!(client:% = client, port:? = port; "client connection refused");
                    return None;
                }
            }
        };
        let connection = Rc::new(ConnectionMemory {
            memory: Rc::clone(self),
            id,
            port,
            client,
            activity: Cell::new(Activity::Receiving),
            is_write_blocked: Cell::new(false),
            segments: RefCell::default(),
            is_body_evicted: Cell::new(false),
            is_closed: Cell::new(false),
            changed: Notify::new(),
        });
        self.connections.borrow_mut().insert(id, Rc::downgrade(&connection));
        Some(connection)
    }

    fn connection(&self, id: HolderId) -> Option<Rc<ConnectionMemory>> {
        self.connections.borrow().get(&id)?.upgrade()
    }

    /// Makes a connection give way: refuses the request whose body it receives, or closes it.
    fn evict(&self, id: HolderId) {
        if !self.account.borrow().is_receiving_body(id) {
            return self.close(id);
        }
        self.account.borrow_mut().drop_body(id, self.now_ms());
        if let Some(connection) = self.connection(id) {
            metrics::inc_by(&self.counters.refused_bodies, 1);
            connection.segments.take();
            connection.is_body_evicted.set(true);
            connection.changed.notify_waiters();
        }
        self.freed.notify_waiters();
    }

    fn close(&self, id: HolderId) {
        self.account.borrow_mut().remove(id);
        if let Some(connection) = self.connection(id) {
            metrics::inc_by(&self.counters.closed_connections, 1);
            log::info!(client:% = connection.client, port:? = connection.port, activity:? = connection.activity.get(); "client connection closed for others");
            connection.is_closed.set(true);
            connection.changed.notify_waiters();
        }
        self.freed.notify_waiters();
    }
}

/// The memory that one connection holds.
pub(super) struct ConnectionMemory {
    pub(super) memory: Rc<ClientMemory>,
    id: HolderId,
    port: Port,
    client: IpAddr,
    /// What it waits for, unless the client does not read.
    activity: Cell<Activity>,
    is_write_blocked: Cell<bool>,
    /// The body that is being received.
    segments: RefCell<Vec<BytesMut>>,
    is_body_evicted: Cell<bool>,
    is_closed: Cell<bool>,
    /// Notified when the connection gives way.
    changed: Notify,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.set_write_blocked(false);
        self.memory.account.borrow_mut().remove(self.id);
        self.memory.connections.borrow_mut().remove(&self.id);
        self.memory.freed.notify_waiters();
    }
}

impl ConnectionMemory {
    /// Resolves when the connection must be closed.
    pub(super) async fn closed(&self) {
        while !self.is_closed.get() {
            self.changed.notified().await;
        }
    }

    /// Resolves when the body that is being received must be given up.
    pub(super) async fn body_evicted(&self) {
        while !self.is_body_evicted.get() {
            self.changed.notified().await;
        }
    }

    /// Records what the connection waits for from now on.
    pub(super) fn set_activity(&self, activity: Activity) {
        self.activity.set(activity);
        self.update_activity();
    }

    /// Records whether the client has left as much unread as can be sent.
    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) == is_blocked {
            return;
        }
        self.update_activity();
        if self.port == Port::Forwarded {
            let count = &self.memory.unsent_forwarded;
            count.set(if is_blocked { count.get() + 1 } else { count.get() - 1 });
        }
    }

    fn update_activity(&self) {
        let activity =
            if self.is_write_blocked.get() { Activity::Sending } else { self.activity.get() };
        let now_ms = self.memory.now_ms();
        self.memory.account.borrow_mut().set_activity(self.id, activity, now_ms);
    }

    /// Returns whether it waits for the instance or for backend servers.
    pub(super) fn is_working(&self) -> bool {
        self.activity.get() == Activity::Working
    }

    /// Records that a request is in progress until the result is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> RequestInProgress {
        self.set_activity(Activity::Working);
        RequestInProgress(Rc::clone(self))
    }

    /// Charges the buffers of a request, or releases them.
    pub(super) fn set_active(&self, is_active: bool) {
        self.memory.account.borrow_mut().set_active(self.id, is_active);
        if !is_active {
            self.memory.freed.notify_waiters();
        }
    }

    /// Returns whether the connection may go on, for which others may give way.
    pub(super) fn has_memory(&self) -> bool {
        loop {
            let decision = self.memory.account.borrow().check(self.id, self.memory.now_ms());
            match decision {
                Decision::Evict(victim) => self.memory.evict(victim),
                Decision::Granted => return true,
                Decision::Wait | Decision::Refused => return false,
            }
        }
    }

    /// Closes the connection, since there is no memory.
    pub(super) fn close(&self) {
        self.memory.close(self.id);
    }

    /// Charges `bytes` until the result is dropped, whether there is room or not.
    pub(super) fn charge(self: &Rc<Self>, bytes: usize) -> Charge {
        self.memory.account.borrow_mut().charge(self.id, bytes);
        Charge { connection: Rc::clone(self), bytes }
    }

    /// Begins a body.
    pub(super) fn begin_body(self: &Rc<Self>) -> IncomingBody {
        self.is_body_evicted.set(false);
        self.memory.account.borrow_mut().begin_body(self.id, self.memory.now_ms());
        self.activity.set(Activity::Receiving);
        IncomingBody { connection: Rc::clone(self), is_complete: false }
    }

    /// Waits until another `bytes` of the body are charged.
    async fn reserve_body(&self, bytes: usize) -> Result<(), RequestError> {
        let start_ms = self.memory.now_ms();
        let mut has_waited = false;
        while !self.is_body_evicted.get() {
            let now_ms = self.memory.now_ms();
            let decision = {
                let mut account = self.memory.account.borrow_mut();
                account.reserve_body(self.id, bytes, now_ms - start_ms, now_ms)
            };
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Evict(victim) => self.memory.evict(victim),
                Decision::Refused => {
                    metrics::inc_by(&self.memory.counters.refused_bodies, 1);
                    break;
                }
                Decision::Wait => {
                    if !std::mem::replace(&mut has_waited, true) {
                        metrics::inc_by(&self.memory.counters.delayed_bodies, 1);
                    }
                    let interval = Duration::from_millis(WAIT_INTERVAL_MS);
                    tokio::select! {
                        () = self.memory.freed.notified() => {}
                        () = self.changed.notified() => {}
                        () = time::sleep(interval) => {}
                    }
                }
            }
        }
        Err(RequestError::NoMemory)
    }
}

/// A request that is in progress until this is dropped.
pub(super) struct RequestInProgress(Rc<ConnectionMemory>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.set_activity(Activity::Idle);
        self.0.set_active(false);
    }
}

/// A body that is being received; given up if this is dropped before it is complete.
pub(super) struct IncomingBody {
    connection: Rc<ConnectionMemory>,
    is_complete: bool,
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        if !self.is_complete {
            let memory = &self.connection.memory;
            self.connection.segments.take();
            memory.account.borrow_mut().drop_body(self.connection.id, memory.now_ms());
            self.connection.activity.set(Activity::Working);
            memory.freed.notify_waiters();
        }
    }
}

impl IncomingBody {
    /// Resolves when the body must be given up.
    pub(super) async fn evicted(&self) {
        self.connection.body_evicted().await;
    }

    /// Returns the free space of the last segment.
    pub(super) fn spare_bytes(&self) -> usize {
        let segments = self.connection.segments.borrow();
        segments.last().map_or(0, |segment| segment.capacity() - segment.len())
    }

    /// Waits until another `bytes` are charged.
    ///
    /// # Errors
    ///
    /// Returns an error if the body must be given up.
    pub(super) async fn reserve(&self, bytes: usize) -> Result<(), RequestError> {
        self.connection.reserve_body(bytes).await
    }

    /// Adds a segment of `bytes`, which must have been charged.
    pub(super) fn add_segment(&self, bytes: usize) {
        // Also where nothing is charged any more, since a segment is progress.
        let memory = &self.connection.memory;
        memory.account.borrow_mut().touch(self.connection.id, memory.now_ms());
        self.connection.segments.borrow_mut().push(BytesMut::with_capacity(bytes));
    }

    /// Appends bytes for which there is space.
    pub(super) fn append(&self, bytes: &[u8]) {
        if let Some(segment) = self.connection.segments.borrow_mut().last_mut() {
            segment.extend_from_slice(bytes);
        }
    }

    /// Returns the segments, with their charge.
    ///
    /// # Errors
    ///
    /// Returns an error if the body has been given up.
    pub(super) fn complete(mut self) -> Result<(Vec<BytesMut>, Charge), RequestError> {
        if self.connection.is_body_evicted.get() {
            return Err(RequestError::NoMemory);
        }
        self.is_complete = true;
        let memory = &self.connection.memory;
        let bytes = memory.account.borrow_mut().complete_body(self.connection.id, memory.now_ms());
        self.connection.activity.set(Activity::Working);
        let segments = self.connection.segments.take();
        Ok((segments, Charge { connection: Rc::clone(&self.connection), bytes }))
    }
}

/// Memory that is charged to a connection until this is dropped.
pub(super) struct Charge {
    connection: Rc<ConnectionMemory>,
    bytes: usize,
}

impl Charge {
    /// Changes how much is charged.
    pub(super) fn set(&mut self, bytes: usize) {
        let (id, memory) = (self.connection.id, &self.connection.memory);
        let mut account = memory.account.borrow_mut();
        match bytes.checked_sub(self.bytes) {
            Some(more) => account.charge(id, more),
            None => account.release(id, self.bytes - bytes),
        }
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let memory = &self.connection.memory;
        memory.account.borrow_mut().release(self.connection.id, self.bytes);
        memory.freed.notify_waiters();
    }
}
