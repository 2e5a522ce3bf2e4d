//! Writer that drops output instead of blocking.

use std::{
    io::{self, Stdout, Write},
    os::fd::AsFd,
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// `PIPE_BUF` on Linux: a writable pipe accepts this many bytes without blocking.
const CHUNK_BYTES: usize = 4_096;
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Writer that drops what `W` does not accept without blocking.
///
/// If the log collector stops reading, the pipe fills up, and a blocking write would
/// stop the only thread and all requests on it. The writer therefore polls before each
/// chunk. It counts dropped chunks and writes the count before the next chunk that the
/// pipe accepts.
#[derive(Debug)]
pub struct NonBlockingWriter<W> {
    out: W,
    dropped: u64,
}

impl NonBlockingWriter<Stdout> {
    /// Creates a writer to the standard output of this process.
    pub fn stdout() -> NonBlockingWriter<Stdout> {
        NonBlockingWriter::new(io::stdout())
    }
}

impl<W: AsFd + Write> NonBlockingWriter<W> {
    /// Creates a writer to `out`, a pipe or a file.
    pub fn new(out: W) -> NonBlockingWriter<W> {
        NonBlockingWriter { out, dropped: 0 }
    }

    /// Returns the number of chunks dropped since the last successful write.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn has_room(&self) -> bool {
        let mut fds = [PollFd::new(&self.out, PollFlags::OUT)];
        matches!(poll(&mut fds, Some(&NO_WAIT)), Ok(1..))
            && fds[0].revents().contains(PollFlags::OUT)
    }

    fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        if !self.has_room() {
            self.dropped += 1;
            return Ok(());
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            // The pipe may be full after this line, so poll again.
            self.out.write_all(format!("lines dropped count={dropped}\n").as_bytes())?;
            return self.write_chunk(chunk);
        }
        self.out.write_all(chunk)?;
        self.out.flush()
    }
}

impl<W: AsFd + Write> Write for NonBlockingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for chunk in bytes.chunks(CHUNK_BYTES) {
            self.write_chunk(chunk)?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}
