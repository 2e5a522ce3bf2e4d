//! Counts the bytes that pass over a link between regions.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes since the start, each way; the bodies count, the selector reads.
#[derive(Debug, Default)]
pub struct ByteCounter {
    request_bytes: AtomicU64,
    response_bytes: AtomicU64,
}

impl ByteCounter {
    /// Counts bytes of requests.
    pub fn add_request_bytes(&self, bytes: usize) {
        self.request_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes of answers.
    pub fn add_response_bytes(&self, bytes: usize) {
        self.response_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Both counts: requests, answers.
    pub fn totals(&self) -> (u64, u64) {
        (self.request_bytes.load(Ordering::Relaxed), self.response_bytes.load(Ordering::Relaxed))
    }
}
