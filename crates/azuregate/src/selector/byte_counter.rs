//! Byte counts of links between regions.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes transferred over a link since the start, in each direction.
#[derive(Debug, Default)]
pub struct ByteCounter {
    request_bytes: AtomicU64,
    response_bytes: AtomicU64,
}

impl ByteCounter {
    /// Adds bytes of request bodies.
    pub fn add_request_bytes(&self, bytes: usize) {
        self.request_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes of response bodies.
    pub fn add_response_bytes(&self, bytes: usize) {
        self.response_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the totals of request and response bytes.
    pub fn totals(&self) -> (u64, u64) {
        (self.request_bytes.load(Ordering::Relaxed), self.response_bytes.load(Ordering::Relaxed))
    }
}
