//! Counts the bytes that pass over a link between regions.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes since the start, each way; the bodies count, the selector reads.
#[derive(Debug, Default)]
pub struct Meter {
    up_bytes: AtomicU64,
    down_bytes: AtomicU64,
}

impl Meter {
    /// Counts bytes of requests.
    pub fn add_up(&self, bytes: usize) {
        self.up_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes of answers.
    pub fn add_down(&self, bytes: usize) {
        self.down_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Both counts: requests, answers.
    pub fn read(&self) -> (u64, u64) {
        (self.up_bytes.load(Ordering::Relaxed), self.down_bytes.load(Ordering::Relaxed))
    }
}
