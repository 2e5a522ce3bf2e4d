//! Standard output that is never waited for.

use std::{
    io::{self, Stdout, Write},
    os::fd::AsFd,
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Bytes that a pipe takes whole once it takes any.
const CHUNK_BYTES: usize = 4_096;
/// Asks without waiting.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Writes to `W` what it takes at once, and drops the rest.
///
/// The failure: whoever collects the log stops reading, the pipe fills up, and
/// the next line blocks the only thread, with all requests behind it. A pipe that
/// reports room takes 4,096 bytes without blocking, so asking
/// before each chunk is enough. What is dropped is counted, and the count is
/// written with the next line that gets through.
#[derive(Debug)]
pub struct NonBlockingWriter<W> {
    out: W,
    dropped: u64,
}

impl NonBlockingWriter<Stdout> {
    /// The standard output of this process.
    pub fn stdout() -> NonBlockingWriter<Stdout> {
        NonBlockingWriter::new(io::stdout())
    }
}

impl<W: AsFd + Write> NonBlockingWriter<W> {
    /// Writes to `out`, a pipe or a file.
    pub fn new(out: W) -> NonBlockingWriter<W> {
        NonBlockingWriter { out, dropped: 0 }
    }

    /// Writes that were dropped since the last one that got through.
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
            // Shorter than a chunk, but the pipe may be full after it.
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
