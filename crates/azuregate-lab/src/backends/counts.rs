//! Counts of the requests that a backend server received and executed.

use std::{
    collections::{BTreeMap, HashMap},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

/// The length of the interval that one [`Bucket`] counts.
pub const BUCKET_MS: u64 = 100;

/// Returns the current time in milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Requests received in one interval of [`BUCKET_MS`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Bucket {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that began to run; the others were rejected.
    pub ran: u64,
}

/// Totals of one backend server since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that began to run.
    pub ran: u64,
    /// Requests that were rejected without running.
    pub shed: u64,
    /// Requests that ran to completion.
    pub completed: u64,
    /// Requests whose connection closed while they ran.
    pub cancelled: u64,
    /// Requests that were stopped at their deadline.
    pub expired: u64,
    /// Connections that were closed because the connection limit was reached.
    pub connections_refused: u64,
    /// Maximum number of slots in use at once.
    pub peak_in_use: u32,
    /// When the last request began to run, in milliseconds since the Unix epoch.
    pub last_ran_at_ms: u64,
}

/// All counts of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Number of executions of each request, by request ID.
    pub ran: HashMap<String, u64>,
    /// Number of executions of each idempotency key.
    pub keys: HashMap<String, u64>,
    /// Buckets by time since the Unix epoch, in units of [`BUCKET_MS`].
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
    /// Called before the body is read: from then on, the server must not report
    /// the request as not run.
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

    /// Clears everything but the totals.
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
