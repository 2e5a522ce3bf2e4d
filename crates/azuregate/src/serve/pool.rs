//! Connections to backend servers.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use azuregate_core::balance::BackendHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time,
};

/// How long opening a connection may take: several times the longest way there
/// and back between regions.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// How long sent bytes may stay without acknowledgement. A server that lost power
/// keeps silent, and requests to it would wait until their time is over.
const UNACKED_DATA_TIMEOUT_MS: u64 = 350;
/// How long a connection may be idle and still be used. Servers close theirs
/// after some seconds, and a request that meets the close may have run.
const MAX_IDLE_MS: u64 = 4_000;
/// The same for requests that must not run twice, for which a connection that
/// went silent costs an answer and not just time.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 1_000;
/// Idle connections that are kept to one server.
const MAX_IDLE_PER_SERVER: usize = 6;
/// How often idle connections are to be looked through.
pub(super) const EVICTION_INTERVAL_MS: u64 = 1_000;

/// A connection that is used for one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(super) is_reused: bool,
    task: AbortHandle,
    idle_since_ms: u64,
}

impl Drop for Connection {
    /// Closes the connection even when a request is at work, so that the backend
    /// server stops working on what nobody waits for.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to all backend servers.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: RefCell<HashMap<BackendHandle, Vec<Connection>>>,
}

impl ConnectionPool {
    /// An idle connection that is fit for use, the one used last.
    pub(super) fn take(
        &self,
        handle: BackendHandle,
        is_non_idempotent: bool,
        now_ms: u64,
    ) -> Option<Connection> {
        let max_idle_ms = if is_non_idempotent { MAX_IDLE_NON_IDEMPOTENT_MS } else { MAX_IDLE_MS };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&handle)?;
        while let Some(connection) = connections.pop() {
            if now_ms.saturating_sub(connection.idle_since_ms) > max_idle_ms {
                connections.push(connection);
                return None;
            }
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn put(&self, handle: BackendHandle, mut connection: Connection, now_ms: u64) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since_ms = now_ms;
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(handle).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Closes connections that were idle for too long.
    pub(super) fn evict_idle(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let idle_ms = now_ms.saturating_sub(connection.idle_since_ms);
                idle_ms <= MAX_IDLE_MS && !connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }
}

/// Opens a connection to a backend server.
///
/// # Errors
///
/// When there is none in time.
pub(super) async fn connect(addr: SocketAddr) -> std::io::Result<Connection> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = time::timeout(connect_timeout, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let unacked_timeout = Duration::from_millis(UNACKED_DATA_TIMEOUT_MS);
    SockRef::from(&stream).set_tcp_user_timeout(Some(unacked_timeout))?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = spawn_local(async move {
        // Whoever uses the connection learns of errors from its sender.
        let _ = connection.await;
    });
    Ok(Connection { sender, is_reused: false, task: task.abort_handle(), idle_since_ms: 0 })
}
