//! A connection to a server of which a bounded number of bytes is read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bounds the head of a response together with the informational responses before it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bounds the rest of a response.
pub(crate) const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// What is known of the bytes that a server sends on a connection.
#[derive(Debug, Default)]
pub(crate) struct ReadMeter {
    remaining_bytes: AtomicU64,
    has_broken: AtomicBool,
}

impl ReadMeter {
    /// Sets how many further bytes may be read. One more read fails.
    pub(crate) fn set_remaining(&self, bytes: u64) {
        self.remaining_bytes.store(bytes, Ordering::Relaxed);
    }

    fn record_read(&self, bytes: u64) {
        let subtract = |remaining_bytes: u64| Some(remaining_bytes.saturating_sub(bytes));
        let _ = self.remaining_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }

    /// Returns whether the next read fails.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.remaining_bytes.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the server has closed or reset the connection, or it timed out. Otherwise it
    /// was this instance that stopped reading.
    pub(crate) fn has_broken(&self) -> bool {
        self.has_broken.load(Ordering::Relaxed)
    }
}

/// A TCP connection whose reads a [`ReadMeter`] bounds.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ReadMeter>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, meter: Arc<ReadMeter>) -> MeteredStream {
        MeteredStream { stream, meter }
    }

    /// Notes whether an operation has found the connection broken.
    fn note<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.is_err() {
            self.meter.has_broken.store(true, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_exhausted() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response too long");
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let count = buffer.filled().len() - filled;
        if result.is_ok() && count == 0 {
            self.meter.has_broken.store(true, Ordering::Relaxed);
        }
        self.meter.record_read(count as u64);
        Poll::Ready(self.note(result))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        Poll::Ready(self.note(result))
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
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts));
        Poll::Ready(self.note(result))
    }
}
