//! A client connection that is read ahead, so that a disconnect is detected at once.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::{Buf, BytesMut};
use hyper::rt::{self, ReadBufCursor};
use tokio::{
    io::{AsyncReadExt, AsyncWrite},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Notify,
};

const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
const MIN_READ_CAPACITY_BYTES: usize = 4 << 10;

/// The buffer between [`ReadAhead`] and [`ClientStream`].
#[derive(Default)]
struct ReadBuffer {
    bytes: BytesMut,
    is_eof: bool,
    reader_waker: Option<Waker>,
}

/// The stream that the HTTP server reads from and writes to.
pub(super) struct ClientStream {
    shared: Rc<RefCell<ReadBuffer>>,
    space_available: Rc<Notify>,
    writer: OwnedWriteHalf,
}

/// Reads from the socket into the buffer.
///
/// The HTTP server stops reading while one request is in flight and another is
/// pipelined behind it. It would therefore not detect that the client disconnected,
/// and would not cancel the request at the backend server.
pub(super) struct ReadAhead {
    shared: Rc<RefCell<ReadBuffer>>,
    space_available: Rc<Notify>,
    reader: OwnedReadHalf,
}

/// Splits a connection into the HTTP server's stream and its read-ahead task.
pub(super) fn split(stream: TcpStream) -> (ClientStream, ReadAhead) {
    let (reader, writer) = stream.into_split();
    let shared = Rc::new(RefCell::new(ReadBuffer::default()));
    let space_available = Rc::new(Notify::new());
    let client = ClientStream {
        shared: Rc::clone(&shared),
        space_available: Rc::clone(&space_available),
        writer,
    };
    (client, ReadAhead { shared, space_available, reader })
}

impl ReadAhead {
    /// Reads until the client closes the connection, passing all bytes to `on_bytes`
    /// before the HTTP server can read them.
    pub(super) async fn run(mut self, mut on_bytes: impl FnMut(&[u8])) {
        let mut bytes = BytesMut::new();
        loop {
            while self.shared.borrow().bytes.len() >= MAX_READ_AHEAD_BYTES {
                self.space_available.notified().await;
            }
            bytes.reserve(MIN_READ_CAPACITY_BYTES);
            let is_eof = !matches!(self.reader.read_buf(&mut bytes).await, Ok(1..));
            on_bytes(&bytes);
            let mut shared = self.shared.borrow_mut();
            shared.is_eof = is_eof;
            shared.bytes.unsplit(bytes.split());
            if let Some(waker) = shared.reader_waker.take() {
                waker.wake();
            }
            if is_eof {
                return;
            }
        }
    }
}

impl rt::Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared.borrow_mut();
        if shared.bytes.is_empty() && !shared.is_eof {
            shared.reader_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = shared.bytes.len().min(buffer.remaining());
        buffer.put_slice(&shared.bytes[..count]);
        shared.bytes.advance(count);
        self.space_available.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl rt::Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(cx, parts)
    }
}
