//! Pools of idle connections to backend servers and to other instances.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    hash::Hash,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use azuregate_core::balance::SentIds;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    task::{AbortHandle, spawn_local},
    time,
};

use super::{connector::Connector, outgoing_request::OutgoingRequest, request_body::RequestBody};
use crate::metered_stream::{MAX_HEAD_BYTES, MeteredStream, ReadMeter};

/// Several times the longest round-trip time between regions.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// How long a connection may be idle and still be reused. Backend servers close idle
/// connections after a few seconds, and a request sent at that moment may have been
/// executed.
const MAX_IDLE_MS: u64 = 4_000;
/// The same limit for non-idempotent requests, which cannot be retried if the
/// connection turns out to be dead.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 1_000;
const MAX_IDLE_PER_SERVER: usize = 6;
pub(super) const EVICTION_INTERVAL_MS: u64 = 1_000;

/// A connection to a server, used for one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    /// Whether the connection has already served a request.
    pub(super) is_reused: bool,
    /// Identifies the connection in the log.
    pub(super) number: u64,
    /// The requests that were sent on it.
    pub(super) sent_ids: SentIds,
    /// Bounds what is read.
    pub(super) meter: Arc<ReadMeter>,
    task: AbortHandle,
    idle_since_ms: u64,
    /// The number of open connections to the server, idle or in use.
    open_count: Rc<Cell<usize>>,
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request if there is no such head.
    pub(super) async fn send(
        &mut self,
        id: &[u8],
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sent_ids.insert(id);
        self.meter.set_remaining(MAX_HEAD_BYTES as u64);
        let mut error = match self.sender.try_send_request(request).await {
            Ok(head) => return Ok(head),
            Err(error) => error,
        };
        match error.take_message() {
            Some(_) => Err(SendError::NotSent),
            None if self.meter.has_broken() => Err(SendError::ConnectionBroken),
            None => Err(SendError::Malformed),
        }
    }
}

impl Drop for Connection {
    /// Closes the connection even if a request is in flight, so that the backend server
    /// cancels the request.
    fn drop(&mut self) {
        self.task.abort();
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendError {
    /// No byte of it was sent.
    NotSent,
    /// The connection broke after bytes of it may have been sent.
    ConnectionBroken,
    /// The server sent bytes that are no response head, or too many of them.
    Malformed,
}

/// Connections to servers that keys of the type `K` identify.
pub(super) struct ConnectionPool<K> {
    connector: Box<dyn Connector>,
    idle: RefCell<HashMap<K, Vec<Connection>>>,
    last_number: Cell<u64>,
    open_counts: RefCell<HashMap<K, Rc<Cell<usize>>>>,
    /// Servers whose connections are not reused.
    closing: RefCell<HashSet<K>>,
}

impl<K: Copy + Eq + Hash> ConnectionPool<K> {
    pub(super) fn new(connector: Box<dyn Connector>) -> ConnectionPool<K> {
        ConnectionPool {
            connector,
            idle: RefCell::default(),
            last_number: Cell::new(0),
            open_counts: RefCell::default(),
            closing: RefCell::default(),
        }
    }

    /// Takes the most recently used idle connection to a server that may carry a request.
    pub(super) fn take(
        &self,
        key: K,
        request: &OutgoingRequest,
        now_ms: u64,
    ) -> Option<Connection> {
        let max_idle_ms =
            if request.is_idempotent { MAX_IDLE_MS } else { MAX_IDLE_NON_IDEMPOTENT_MS };
        let is_usable = |connection: &Connection| {
            now_ms.saturating_sub(connection.idle_since_ms) <= max_idle_ms
                && connection.sender.is_ready()
                && connection.sent_ids.allows(request.id())
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| !connection.sender.is_closed());
        let position = connections.iter().rposition(is_usable)?;
        Some(connections.remove(position))
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(super) fn put(&self, key: K, mut connection: Connection, now_ms: u64) {
        let is_usable = !connection.sender.is_closed() && !connection.sent_ids.is_full();
        if !is_usable || self.closing.borrow().contains(&key) {
            return;
        }
        connection.idle_since_ms = now_ms;
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to a server, and those in use when their requests end.
    pub(super) fn close(&self, key: K) {
        self.idle.borrow_mut().remove(&key);
        self.closing.borrow_mut().insert(key);
    }

    /// Drops connections that the server closed or that exceed the idle limit.
    pub(super) fn evict_idle(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let idle_ms = now_ms.saturating_sub(connection.idle_since_ms);
                idle_ms <= MAX_IDLE_MS && !connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        let mut open_counts = self.open_counts.borrow_mut();
        open_counts.retain(|_, open_count| open_count.get() > 0);
        self.closing.borrow_mut().retain(|key| open_counts.contains_key(key));
    }

    /// Returns whether any connection to a server is open.
    pub(super) fn has_open(&self, key: K) -> bool {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&key) {
            connections.retain(|connection| !connection.sender.is_closed());
        }
        self.open_counts.borrow().get(&key).is_some_and(|open_count| open_count.get() > 0)
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established within `CONNECT_TIMEOUT_MS`.
    pub(super) async fn connect(&self, key: K, addr: SocketAddr) -> std::io::Result<Connection> {
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = time::timeout(connect_timeout, self.connector.connect(addr)).await??;
        let meter = Arc::<ReadMeter>::default();
        meter.set_remaining(MAX_HEAD_BYTES as u64);
        let stream = MeteredStream::new(stream, Arc::clone(&meter));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = spawn_local(async move {
            // Errors are reported through the connection's sender.
            let _ = connection.await;
        });
        let open_count = Rc::clone(self.open_counts.borrow_mut().entry(key).or_default());
        open_count.set(open_count.get() + 1);
        self.last_number.set(self.last_number.get() + 1);
        Ok(Connection {
            sender,
            is_reused: false,
            number: self.last_number.get(),
            sent_ids: SentIds::default(),
            meter,
            task: task.abort_handle(),
            idle_since_ms: 0,
            open_count,
        })
    }
}
