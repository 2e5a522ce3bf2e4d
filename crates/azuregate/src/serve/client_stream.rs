//! A client connection that is read ahead, so that a disconnect is detected at once.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
};

use hyper::rt::{self, ReadBufCursor};
use tokio::{
    io::AsyncWrite,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Notify,
};

use super::{
    client_memory::{Charge, ConnectionMemory},
    listen::SEND_BUFFER_BYTES,
    request::RESPONSE_BYTES,
};

const READ_AHEAD_BYTES: usize = 16 << 10;
/// What is held of a response that the client does not read, by the socket and by the HTTP server.
const UNSENT_BYTES: usize = SEND_BUFFER_BYTES + RESPONSE_BYTES;

/// The buffer between [`ReadAhead`] and [`ClientStream`].
#[derive(Default)]
struct ReadBuffer {
    bytes: Vec<u8>,
    /// The number of `bytes` that the HTTP server has read.
    read_bytes: usize,
    is_eof: bool,
    /// Whether the HTTP server reads no more.
    is_discarding: bool,
    reader_waker: Option<Waker>,
}

impl ReadBuffer {
    fn unread(&self) -> &[u8] {
        &self.bytes[self.read_bytes..]
    }

    fn consume(&mut self, count: usize) {
        self.read_bytes += count;
        if self.unread().is_empty() {
            self.bytes = Vec::new();
            self.read_bytes = 0;
        }
    }

    /// Makes space for all that may be read ahead.
    fn reserve(&mut self) {
        if self.is_discarding {
            self.read_bytes = self.bytes.len();
        }
        self.bytes.drain(..std::mem::take(&mut self.read_bytes));
        self.bytes.reserve_exact(READ_AHEAD_BYTES - self.bytes.len());
    }
}

/// The stream that the HTTP server reads from and writes to.
pub(super) struct ClientStream {
    shared: Rc<RefCell<ReadBuffer>>,
    resume: Rc<Notify>,
    writer: OwnedWriteHalf,
    memory: Rc<ConnectionMemory>,
    /// Charged while the client does not read.
    unsent: Option<Charge>,
}

/// Reads from the socket into the buffer.
///
/// The HTTP server stops reading while one request is in flight and another is
/// pipelined behind it. It would therefore not detect that the client disconnected,
/// and would not cancel the request at the backend server.
pub(super) struct ReadAhead {
    shared: Rc<RefCell<ReadBuffer>>,
    resume: Rc<Notify>,
    reader: OwnedReadHalf,
}

/// Splits a connection into the HTTP server's stream and its read-ahead task.
pub(super) fn split(stream: TcpStream, memory: Rc<ConnectionMemory>) -> (ClientStream, ReadAhead) {
    let (reader, writer) = stream.into_split();
    let shared = Rc::new(RefCell::new(ReadBuffer::default()));
    let resume = Rc::new(Notify::new());
    let client = ClientStream {
        shared: Rc::clone(&shared),
        resume: Rc::clone(&resume),
        writer,
        memory,
        unsent: None,
    };
    (client, ReadAhead { shared, resume, reader })
}

impl ReadAhead {
    /// Returns what is notified to look again whether to read.
    pub(super) fn resume(&self) -> Rc<Notify> {
        Rc::clone(&self.resume)
    }

    /// Reads until the client closes the connection, passing all bytes to `on_bytes` before the HTTP server
    /// can read them. Pauses while `is_full`, after which it calls `on_bytes` without bytes. Once the HTTP server
    /// has shut the connection down, bytes are discarded.
    pub(super) async fn run(self, mut on_bytes: impl FnMut(&[u8]), is_full: impl Fn() -> bool) {
        loop {
            while self.is_buffer_full() || is_full() {
                self.resume.notified().await;
                on_bytes(&[]);
            }
            let is_readable = self.reader.readable().await.is_ok();
            let mut shared = self.shared.borrow_mut();
            shared.reserve();
            let unread = shared.bytes.len();
            let result = self.reader.try_read_buf(&mut shared.bytes);
            if result.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                // Otherwise an idle connection keeps the buffer.
                shared.consume(0);
                continue;
            }
            let is_eof = !is_readable || !matches!(result, Ok(1..));
            if !shared.is_discarding {
                on_bytes(&shared.bytes[unread..]);
            }
            shared.is_eof = is_eof;
            if let Some(waker) = shared.reader_waker.take() {
                waker.wake();
            }
            if is_eof {
                return;
            }
        }
    }

    fn is_buffer_full(&self) -> bool {
        let shared = self.shared.borrow();
        !shared.is_discarding && shared.unread().len() >= READ_AHEAD_BYTES
    }
}

impl rt::Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared.borrow_mut();
        if shared.unread().is_empty() && !shared.is_eof {
            shared.reader_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = shared.unread().len().min(buffer.remaining());
        buffer.put_slice(&shared.unread()[..count]);
        shared.consume(count);
        self.resume.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl ClientStream {
    /// Records whether the client keeps a write from being accepted.
    fn note<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        self.memory.set_write_blocked(polled.is_pending());
        match (polled.is_pending(), &self.unsent) {
            (true, None) => self.unsent = Some(self.memory.charge(UNSENT_BYTES)),
            (false, Some(_)) => self.unsent = None,
            (true, Some(_)) | (false, None) => {}
        }
        polled
    }
}

impl rt::Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.writer).poll_write(cx, bytes);
        self.note(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.writer).poll_shutdown(cx))?;
        self.shared.borrow_mut().is_discarding = true;
        self.resume.notify_one();
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.writer).poll_write_vectored(cx, parts);
        self.note(polled)
    }
}
