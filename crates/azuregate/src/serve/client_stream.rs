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
const READ_AHEAD_BYTES: usize = 64 << 10;
/// Bytes for which there is room before each read.
const READ_BYTES: usize = 4 << 10;

/// What both halves share.
#[derive(Default)]
struct Shared {
    bytes: BytesMut,
    is_ended: bool,
    waiting: Option<Waker>,
}

/// The side that the HTTP server reads and writes.
pub(super) struct ClientStream {
    shared: Rc<RefCell<Shared>>,
    room: Rc<Notify>,
    out: OwnedWriteHalf,
}

/// The side that reads from the socket.
///
/// The HTTP server reads no further while a request is at work and another one
/// waits behind it, so it would not notice that the client has left, and the
/// backend server would work on for nobody.
pub(super) struct ReadAhead {
    shared: Rc<RefCell<Shared>>,
    room: Rc<Notify>,
    socket: OwnedReadHalf,
}

/// Splits a connection into what the HTTP server uses and what reads ahead.
pub(super) fn split(stream: TcpStream) -> (ClientStream, ReadAhead) {
    let (socket, out) = stream.into_split();
    let shared = Rc::new(RefCell::new(Shared::default()));
    let room = Rc::new(Notify::new());
    let client = ClientStream { shared: Rc::clone(&shared), room: Rc::clone(&room), out };
    (client, ReadAhead { shared, room, socket })
}

impl ReadAhead {
    /// Reads until the client closes the connection; `arrived` sees all bytes
    /// before the HTTP server.
    pub(super) async fn run(mut self, mut arrived: impl FnMut(&[u8])) {
        let mut bytes = BytesMut::new();
        loop {
            while self.shared.borrow().bytes.len() >= READ_AHEAD_BYTES {
                self.room.notified().await;
            }
            bytes.reserve(READ_BYTES);
            let is_ended = !matches!(self.socket.read_buf(&mut bytes).await, Ok(1..));
            arrived(&bytes);
            let mut shared = self.shared.borrow_mut();
            shared.is_ended = is_ended;
            shared.bytes.unsplit(bytes.split());
            if let Some(waker) = shared.waiting.take() {
                waker.wake();
            }
            if is_ended {
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
        if shared.bytes.is_empty() && !shared.is_ended {
            shared.waiting = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = shared.bytes.len().min(buffer.remaining());
        buffer.put_slice(&shared.bytes[..count]);
        shared.bytes.advance(count);
        self.room.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl rt::Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.out).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.out).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.out).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.out).poll_write_vectored(cx, parts)
    }
}
