//! Adds latency to a connection without limiting its throughput to one chunk per
//! delay.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    sync::mpsc,
    time::{self, Instant},
};

/// The maximum size of a chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// The maximum number of chunks in flight in each direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 128;

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A boxed bidirectional byte stream.
pub type BoxStream = Box<dyn Stream>;

/// Returns a stream that delays the bytes of `stream` by `one_way_delay` in each
/// direction. End of stream is delayed as well.
pub fn with_delay(stream: impl Stream + 'static, one_way_delay: Duration) -> BoxStream {
    if one_way_delay.is_zero() {
        return Box::new(stream);
    }
    let (local, remote) = tokio::io::duplex(CHUNK_BYTES);
    tokio::spawn(forward(stream, remote, one_way_delay));
    Box::new(local)
}

/// Forwards bytes between two streams until both directions have ended.
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
            // The other end no longer reads.
            () = sender.closed() => return,
        };
        let chunk = Bytes::copy_from_slice(&buffer[..count]);
        // An empty chunk marks the end of the stream.
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
