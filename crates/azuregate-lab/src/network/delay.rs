//! Delays the bytes of a connection without holding back those behind them.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::mpsc,
    time::{self, Instant},
};

/// The largest chunk that is read at once.
const CHUNK_BYTES: usize = 64 << 10;
/// How many chunks are on their way at the most.
const MAX_CHUNKS_IN_FLIGHT: usize = 128;

/// Any connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A connection whose kind does not matter.
pub type BoxStream = Box<dyn Stream>;

/// A connection that behaves as `stream` does, with `one_way_delay` of delay in each
/// direction; the end of either direction is delayed as well.
pub fn with_delay(stream: impl Stream + 'static, one_way_delay: Duration) -> BoxStream {
    if one_way_delay.is_zero() {
        return Box::new(stream);
    }
    let (local, remote) = tokio::io::duplex(CHUNK_BYTES);
    tokio::spawn(forward(stream, remote, one_way_delay));
    Box::new(local)
}

/// Carries bytes between two connections until both directions have ended.
pub(crate) async fn forward(a: impl Stream, b: impl Stream, one_way_delay: Duration) {
    let (a_read, a_write) = tokio::io::split(a);
    let (b_read, b_write) = tokio::io::split(b);
    tokio::join!(
        copy_with_delay(a_read, b_write, one_way_delay),
        copy_with_delay(b_read, a_write, one_way_delay)
    );
}

async fn copy_with_delay(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    one_way_delay: Duration,
) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(read_chunks(reader, sender, one_way_delay), write_chunks(receiver, writer));
}

async fn read_chunks(
    mut reader: impl AsyncRead + Unpin,
    sender: mpsc::Sender<(Instant, Bytes)>,
    one_way_delay: Duration,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = tokio::select! {
            read = reader.read(&mut buffer) => read.unwrap_or(0),
            // Nobody reads at the other end any more.
            () = sender.closed() => return,
        };
        let chunk = Bytes::copy_from_slice(&buffer[..count]);
        // The empty chunk stands for the end.
        let sent = sender.send((Instant::now() + one_way_delay, chunk)).await;
        if count == 0 || sent.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut writer: impl AsyncWrite + Unpin,
) {
    while let Some((due, chunk)) = receiver.recv().await {
        time::sleep_until(due).await;
        if chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
