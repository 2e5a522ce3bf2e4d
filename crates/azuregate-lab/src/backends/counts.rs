//! What truly ran at a backend server.

use std::{
    collections::{BTreeMap, HashMap},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

/// The length of one [`Bucket`].
pub const BUCKET_MS: u64 = 100;

/// Milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What came in during a short time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Bucket {
    /// Requests that arrived.
    pub arrived: u64,
    /// Those that ran; the others were refused.
    pub ran: u64,
}

/// Totals of one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that began to run.
    pub ran: u64,
    /// Requests that were refused as not run.
    pub shed: u64,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests whose connection closed while they ran.
    pub cancelled: u64,
    /// Requests that stopped at their deadline.
    pub expired: u64,
    /// Connections that were turned away.
    pub connections_refused: u64,
    /// The most slots in use at once.
    pub peak_in_use: u32,
    /// When the last request began to run, in milliseconds since the Unix epoch.
    pub last_ran_at_ms: u64,
}

/// Everything that is counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// How often each request ran, by the name that the caller gave it.
    pub ran: HashMap<String, u64>,
    /// How often each idempotency key ran.
    pub keys: HashMap<String, u64>,
    /// By time since the Unix epoch, in units of [`BUCKET_MS`].
    pub buckets: BTreeMap<u64, Bucket>,
    /// The service time of each request, whether or not it was cancelled later,
    /// in microseconds.
    pub service_us: Vec<u32>,
    /// Totals.
    pub stats: Stats,
}

impl Counts {
    /// Counts a request that arrived.
    pub fn record_arrival(&mut self) {
        self.stats.arrived += 1;
        self.bucket().arrived += 1;
    }

    /// Counts a request that begins to run with `in_use` slots in use.
    ///
    /// It counts from its first byte: a server that has begun cannot say that
    /// nothing ran.
    pub fn record_start(&mut self, name: &str, key: Option<&str>, in_use: u32) {
        self.stats.ran += 1;
        self.stats.peak_in_use = self.stats.peak_in_use.max(in_use);
        self.stats.last_ran_at_ms = epoch_ms();
        self.bucket().ran += 1;
        *self.ran.entry(name.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Forgets everything but the totals.
    pub fn clear_details(&mut self) {
        self.ran.clear();
        self.keys.clear();
        self.buckets.clear();
        self.service_us.clear();
    }

    fn bucket(&mut self) -> &mut Bucket {
        self.buckets.entry(epoch_ms() / BUCKET_MS).or_default()
    }
}
