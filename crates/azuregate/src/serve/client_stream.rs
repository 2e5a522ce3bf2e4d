//! A client's connection, read ahead so that its end is noticed at once.

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

/// Bytes that are read ahead of the server at the most.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Bytes for which there is room before each read.
const MIN_READ_CAPACITY_BYTES: usize = 4 << 10;

/// What both halves share.
#[derive(Default)]
struct ReadBuffer {
    bytes: BytesMut,
    is_eof: bool,
    reader_waker: Option<Waker>,
}

/// The side that the HTTP server reads and writes.
pub(super) struct ClientStream {
    shared: Rc<RefCell<ReadBuffer>>,
    space_available: Rc<Notify>,
    writer: OwnedWriteHalf,
}

/// The side that reads from the socket.
///
/// The HTTP server reads no further while a request is at work and another one
/// waits behind it, so it would not notice that the client has left, and the
/// backend server would work on for nobody.
pub(super) struct ReadAhead {
    shared: Rc<RefCell<ReadBuffer>>,
    space_available: Rc<Notify>,
    reader: OwnedReadHalf,
}

/// Splits a connection into what the HTTP server uses and what reads ahead.
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
    /// Reads until the client closes the connection; `on_bytes` sees all bytes
    /// before the HTTP server.
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
