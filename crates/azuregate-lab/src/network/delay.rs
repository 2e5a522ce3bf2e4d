//! Delays the bytes of a connection without holding back those behind them.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::mpsc,
    time::{self, Instant},
};

/// The largest piece that is read at once.
const PIECE_BYTES: usize = 64 << 10;
/// How many pieces are on their way at the most.
const PIECES: usize = 128;

/// Any connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A connection whose kind does not matter.
pub type BoxStream = Box<dyn Stream>;

/// A connection that behaves as `stream` does, with `one_way` of delay in each
/// direction; the end of either direction is delayed as well.
pub fn stretch(stream: impl Stream + 'static, one_way: Duration) -> BoxStream {
    if one_way.is_zero() {
        return Box::new(stream);
    }
    let (near, far) = tokio::io::duplex(PIECE_BYTES);
    tokio::spawn(carry(stream, far, one_way));
    Box::new(near)
}

/// Carries bytes between two connections until both directions have ended.
pub(crate) async fn carry(a: impl Stream, b: impl Stream, one_way: Duration) {
    let (a_read, a_write) = tokio::io::split(a);
    let (b_read, b_write) = tokio::io::split(b);
    tokio::join!(pump(a_read, b_write, one_way), pump(b_read, a_write, one_way));
}

async fn pump(reader: impl AsyncRead + Unpin, writer: impl AsyncWrite + Unpin, one_way: Duration) {
    let (sender, receiver) = mpsc::channel(PIECES);
    tokio::join!(take(reader, sender, one_way), put(receiver, writer));
}

async fn take(
    mut reader: impl AsyncRead + Unpin,
    sender: mpsc::Sender<(Instant, Bytes)>,
    one_way: Duration,
) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let count = tokio::select! {
            read = reader.read(&mut buffer) => read.unwrap_or(0),
            // Nobody reads at the other end any more.
            () = sender.closed() => return,
        };
        let piece = Bytes::copy_from_slice(&buffer[..count]);
        // The empty piece stands for the end.
        let sent = sender.send((Instant::now() + one_way, piece)).await;
        if count == 0 || sent.is_err() {
            return;
        }
    }
}

async fn put(mut receiver: mpsc::Receiver<(Instant, Bytes)>, mut writer: impl AsyncWrite + Unpin) {
    while let Some((due, piece)) = receiver.recv().await {
        time::sleep_until(due).await;
        if piece.is_empty() || writer.write_all(&piece).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
