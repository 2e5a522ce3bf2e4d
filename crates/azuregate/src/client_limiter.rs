//! Limits the connections and the memory that clients of the traffic port make an instance hold.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Instant,
};

use azuregate_core::client_memory::{Account, Activity, Decision, HolderId, Limits, Refused};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// The account of all client connections.
pub struct ClientLimiter {
    account: Mutex<Account>,
    connections: Mutex<HashMap<HolderId, Arc<Notify>>>,
    started_at: Instant,
    counts: Counts,
}

/// What became of clients since memory or connections were short.
#[derive(Debug, Default)]
struct Counts {
    closed: AtomicU64,
    refused: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientLimiter {
    /// Returns a limiter without connections.
    pub fn new(limits: Limits) -> Arc<ClientLimiter> {
        Arc::new(ClientLimiter {
            account: Mutex::new(Account::new(limits)),
            connections: Mutex::default(),
            started_at: Instant::now(),
            counts: Counts::default(),
        })
    }

    /// Returns the connections that were closed, and those that were not accepted.
    pub fn evictions(&self) -> (u64, u64) {
        let Counts { closed, refused } = &self.counts;
        (closed.load(Ordering::Relaxed), refused.load(Ordering::Relaxed))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Charges a new connection, for which another one may be closed. Returns `None` if there is no room.
    pub(crate) fn open(self: &Arc<Self>, client: SocketAddr) -> Option<Arc<ClientConnection>> {
        let id = loop {
            let opened = lock(&self.account).open(self.now_ms());
            match opened {
                Ok(id) => break id,
                Err(Refused::Evict(victim)) => self.close(victim),
                Err(Refused::Full) => {
                    self.counts.refused.fetch_add(1, Ordering::Relaxed);
                    log::info!(client:% = client.ip(); "client connection refused");
                    return None;
                }
            }
        };
        let closed = Arc::<Notify>::default();
        lock(&self.connections).insert(id, Arc::clone(&closed));
        let state = ConnectionState { activity: Activity::Receiving, is_write_blocked: false };
        let state = Mutex::new(state);
        Some(Arc::new(ClientConnection { limiter: Arc::clone(self), id, state, closed }))
    }

    fn close(&self, id: HolderId) {
        lock(&self.account).remove(id);
        if let Some(closed) = lock(&self.connections).remove(&id) {
            self.counts.closed.fetch_add(1, Ordering::Relaxed);
            log::info!("client connection closed for others");
            closed.notify_one();
        }
    }
}

/// What is charged to one connection, until this is dropped.
pub(crate) struct ClientConnection {
    limiter: Arc<ClientLimiter>,
    id: HolderId,
    state: Mutex<ConnectionState>,
    closed: Arc<Notify>,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    /// What it waits for, unless the client does not read.
    activity: Activity,
    is_write_blocked: bool,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        lock(&self.limiter.account).remove(self.id);
        lock(&self.limiter.connections).remove(&self.id);
    }
}

impl ClientConnection {
    /// Resolves when the connection must be closed. May be called once.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Records that a request has been received.
    pub(crate) fn begin_request(&self) {
        lock(&self.limiter.account).set_active(self.id, true);
        self.set_activity(Activity::Working);
    }

    /// Records that there is a response.
    pub(crate) fn end_request(&self) {
        lock(&self.limiter.account).set_active(self.id, false);
        self.set_activity(Activity::Idle);
    }

    fn set_activity(&self, activity: Activity) {
        self.update(|state| state.activity = activity);
    }

    fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut state = lock(&self.state);
        change(&mut state);
        let activity = if state.is_write_blocked { Activity::Sending } else { state.activity };
        lock(&self.limiter.account).set_activity(self.id, activity, self.limiter.now_ms());
    }

    /// Records that bytes have arrived, and closes the connection if there is no memory for a head.
    fn record_read(&self) {
        let activity = lock(&self.state).activity;
        if !matches!(activity, Activity::Idle | Activity::Receiving) {
            return;
        }
        lock(&self.limiter.account).set_active(self.id, true);
        self.set_activity(Activity::Receiving);
        loop {
            let decision = lock(&self.limiter.account).check(self.id, self.limiter.now_ms());
            match decision {
                Decision::Evict(victim) => self.limiter.close(victim),
                Decision::Granted => return,
                Decision::Wait | Decision::Refused => return self.limiter.close(self.id),
            }
        }
    }
}

/// The stream of a connection, which records what it waits for.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> ClientStream {
        ClientStream { stream, connection }
    }

    fn note<T>(&self, polled: Poll<T>) -> Poll<T> {
        let is_blocked = polled.is_pending();
        if lock(&self.connection.state).is_write_blocked != is_blocked {
            self.connection.update(|state| state.is_write_blocked = is_blocked);
        }
        polled
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.connection.record_read();
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.note(polled)
    }
}

/// The body of a request, which records whether it waits for the client.
pub(crate) struct ClientBody {
    incoming: Incoming,
    connection: Arc<ClientConnection>,
}

impl ClientBody {
    pub(crate) fn new(incoming: Incoming, connection: Arc<ClientConnection>) -> ClientBody {
        ClientBody { incoming, connection }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let is_waiting = polled.is_pending();
        self.connection.set_activity(if is_waiting {
            Activity::Receiving
        } else {
            Activity::Working
        });
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
