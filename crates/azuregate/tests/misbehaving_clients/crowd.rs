//! Clients that send what they are told to, read nothing and stay connected.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time,
};

/// A small buffer, so that what the process sends stays there.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// A small buffer, so that what is sent is on its way.
const SEND_BUFFER_BYTES: u32 = 16 << 10;

const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);

/// What each client of a crowd sends, piece by piece.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    pub(crate) head: String,
    /// Sent again and again.
    pub(crate) piece: Arc<Vec<u8>>,
    /// How often it is sent.
    pub(crate) pieces: usize,
    /// Sent at the end.
    pub(crate) rest: Arc<Vec<u8>>,
    /// The time between two pieces.
    pub(crate) interval: Duration,
    /// Whether a byte is sent now and then afterwards.
    pub(crate) trickles: bool,
}

/// A crowd; its connections are closed when this is dropped.
pub(crate) struct Crowd {
    pub(crate) sent_bytes: Arc<AtomicU64>,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects `count` clients, whose heads have `{n}` replaced by the number of the client.
    pub(crate) fn start(addr: SocketAddr, count: usize, payload: &Payload) -> Crowd {
        let sent_bytes = Arc::<AtomicU64>::default();
        let mut clients = JoinSet::new();
        for number in 0..count {
            let head = payload.head.replace("{n}", &number.to_string());
            let payload = Payload { head, ..payload.clone() };
            clients.spawn(run(addr, payload, Arc::clone(&sent_bytes)));
        }
        Crowd { sent_bytes, _clients: clients }
    }
}

async fn run(addr: SocketAddr, payload: Payload, sent_bytes: Arc<AtomicU64>) {
    let Some(mut stream) = connect(addr).await else { return };
    // A client that sends nothing counts as well.
    sent_bytes.fetch_add(1, Ordering::Relaxed);
    let is_sent = send(&mut stream, &payload, &sent_bytes).await;
    while is_sent.is_some() && payload.trickles {
        time::sleep(TRICKLE_INTERVAL).await;
        if stream.write_all(b"x").await.is_err() {
            return;
        }
    }
    if is_sent.is_some() {
        // Stays connected without reading.
        std::future::pending::<()>().await;
    }
}

async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    socket.connect(addr).await.ok()
}

/// Returns `None` once the connection is closed.
async fn send(stream: &mut TcpStream, payload: &Payload, sent_bytes: &AtomicU64) -> Option<()> {
    let sent = |bytes: &[u8]| sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    stream.write_all(payload.head.as_bytes()).await.ok()?;
    sent(payload.head.as_bytes());
    for _ in 0..payload.pieces {
        stream.write_all(&payload.piece).await.ok()?;
        sent(&payload.piece);
        if !payload.interval.is_zero() {
            time::sleep(payload.interval).await;
        }
    }
    stream.write_all(&payload.rest).await.ok()?;
    sent(&payload.rest);
    Some(())
}
