//! A connection to a server of which a bounded number of bytes is read.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What is known of the bytes that a server sends on a connection.
#[derive(Default)]
pub(super) struct ReadMeter {
    remaining_bytes: Cell<u64>,
    has_broken: Cell<bool>,
}

impl ReadMeter {
    /// Sets how many further bytes may be read. One more read fails.
    pub(super) fn set_remaining(&self, bytes: u64) {
        self.remaining_bytes.set(bytes);
    }

    /// Returns whether the server has closed or reset the connection, or it timed out. Otherwise it
    /// was this instance that stopped reading.
    pub(super) fn has_broken(&self) -> bool {
        self.has_broken.get()
    }
}

/// A TCP connection whose reads a [`ReadMeter`] bounds.
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<ReadMeter>,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, meter: Rc<ReadMeter>) -> MeteredStream {
        MeteredStream { stream, meter }
    }

    /// Notes whether an operation has found the connection broken.
    fn note<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.is_err() {
            self.meter.has_broken.set(true);
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
        let remaining_bytes = self.meter.remaining_bytes.get();
        if remaining_bytes == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response too long");
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let count = buffer.filled().len() - filled;
        if result.is_ok() && count == 0 {
            self.meter.has_broken.set(true);
        }
        self.meter.remaining_bytes.set(remaining_bytes.saturating_sub(count as u64));
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
