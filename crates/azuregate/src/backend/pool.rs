//! A pool of idle connections to backend servers.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use tokio::sync::{mpsc, oneshot};

use crate::{backend::BackendConn, clock::SharedClock};

/// Time after which an idle connection is no longer reused.
///
/// A connection can silently die while idle, and a request on it would wait for its
/// whole deadline. A new connection costs about a millisecond.
const MAX_IDLE_MS: u64 = 1_000;

const MAX_IDLE_PER_SERVER: usize = 16;

/// A handle to the pool's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Pool {
    sender: mpsc::UnboundedSender<Message>,
}

/// A connection taken from the pool.
pub struct PooledConn {
    /// The connection.
    pub conn: Box<dyn BackendConn>,
}

enum Message {
    Take { addr: SocketAddr, reply: oneshot::Sender<Option<PooledConn>> },
    Put { addr: SocketAddr, conn: Box<dyn BackendConn> },
    CloseIdle { addr: SocketAddr },
}

struct IdleConn {
    conn: Box<dyn BackendConn>,
    since_ms: u64,
}

impl Pool {
    /// Starts the pool as a task; it ends when the last handle is dropped.
    pub fn start(clock: SharedClock) -> Pool {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(serve(clock, receiver));
        Pool { sender }
    }

    /// Takes an idle connection, if there is one that was used within the last
    /// second.
    pub async fn take(&self, addr: SocketAddr) -> Option<PooledConn> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(Message::Take { addr, reply }).ok()?;
        answer.await.ok()?
    }

    /// Returns a connection to the pool. Its last response must have been read
    /// completely.
    pub fn put(&self, addr: SocketAddr, conn: Box<dyn BackendConn>) {
        let _ = self.sender.send(Message::Put { addr, conn });
    }

    /// Closes the idle connections to a backend server.
    pub fn close_idle(&self, addr: SocketAddr) {
        let _ = self.sender.send(Message::CloseIdle { addr });
    }
}

async fn serve(clock: SharedClock, mut receiver: mpsc::UnboundedReceiver<Message>) {
    let mut idle: HashMap<SocketAddr, VecDeque<IdleConn>> = HashMap::new();
    while let Some(message) = receiver.recv().await {
        let now_ms = clock.now().0;
        match message {
            Message::Take { addr, reply } => {
                let _ = reply.send(take_idle(idle.get_mut(&addr), now_ms));
            }
            Message::Put { addr, conn } => {
                let connections = idle.entry(addr).or_default();
                connections.push_back(IdleConn { conn, since_ms: now_ms });
                if connections.len() > MAX_IDLE_PER_SERVER {
                    connections.pop_front();
                }
            }
            Message::CloseIdle { addr } => {
                idle.remove(&addr);
            }
        }
    }
}

fn take_idle(connections: Option<&mut VecDeque<IdleConn>>, now_ms: u64) -> Option<PooledConn> {
    let connections = connections?;
    while let Some(idle) = connections.pop_back() {
        let fresh = now_ms.saturating_sub(idle.since_ms) <= MAX_IDLE_MS;
        if !fresh {
            // The remaining connections are older.
            connections.clear();
            return None;
        }
        if idle.conn.is_idle() {
            return Some(PooledConn { conn: idle.conn });
        }
    }
    None
}
