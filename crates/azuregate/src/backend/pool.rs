//! Idle connections to backend servers, kept for reuse.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use tokio::sync::{mpsc, oneshot};

use crate::{backend::BackendConn, clock::SharedClock};

/// How long an idle connection is trusted without a sign of life.
///
/// A connection can go silent for good while new ones work. A request on it
/// would wait for its whole deadline. One that answered within the last second
/// is very likely still alive, and a new one costs about a millisecond.
const FRESH_MS: u64 = 1_000;

/// How many idle connections are kept for each backend server.
const IDLE_LIMIT: usize = 16;

/// A handle to the pool's task; cheap to clone.
#[derive(Clone, Debug)]
pub struct Pool {
    sender: mpsc::UnboundedSender<Message>,
}

/// A connection out of the pool.
pub struct Pooled {
    /// The connection.
    pub conn: Box<dyn BackendConn>,
}

enum Message {
    Take { addr: SocketAddr, reply: oneshot::Sender<Option<Pooled>> },
    Put { addr: SocketAddr, conn: Box<dyn BackendConn> },
    Forget { addr: SocketAddr },
}

struct Idle {
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

    /// Takes an idle connection that answered within the last second.
    pub async fn take(&self, addr: SocketAddr) -> Option<Pooled> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(Message::Take { addr, reply }).ok()?;
        answer.await.ok()?
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, addr: SocketAddr, conn: Box<dyn BackendConn>) {
        let _ = self.sender.send(Message::Put { addr, conn });
    }

    /// Closes the idle connections to a backend server that is leaving.
    pub fn forget(&self, addr: SocketAddr) {
        let _ = self.sender.send(Message::Forget { addr });
    }
}

async fn serve(clock: SharedClock, mut receiver: mpsc::UnboundedReceiver<Message>) {
    let mut idle: HashMap<SocketAddr, VecDeque<Idle>> = HashMap::new();
    while let Some(message) = receiver.recv().await {
        let now_ms = clock.now().0;
        match message {
            Message::Take { addr, reply } => {
                let _ = reply.send(take_fresh(idle.get_mut(&addr), now_ms));
            }
            Message::Put { addr, conn } => {
                let kept = idle.entry(addr).or_default();
                kept.push_back(Idle { conn, since_ms: now_ms });
                if kept.len() > IDLE_LIMIT {
                    kept.pop_front();
                }
            }
            Message::Forget { addr } => {
                idle.remove(&addr);
            }
        }
    }
}

fn take_fresh(kept: Option<&mut VecDeque<Idle>>, now_ms: u64) -> Option<Pooled> {
    let kept = kept?;
    while let Some(idle) = kept.pop_back() {
        let fresh = now_ms.saturating_sub(idle.since_ms) <= FRESH_MS;
        if !fresh {
            // All others are older.
            kept.clear();
            return None;
        }
        if idle.conn.is_idle() {
            return Some(Pooled { conn: idle.conn });
        }
    }
    None
}
