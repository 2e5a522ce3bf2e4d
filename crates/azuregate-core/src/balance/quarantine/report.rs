//! What instances tell each other about crashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{balance::Backend, route::hash::stable_hash};

/// How often a report is sent, since datagrams may be lost.
pub(super) const REPORT_REPETITIONS: u32 = 4;
/// Requests per datagram, so that it fits in one packet.
pub(super) const MAX_REQUESTS_PER_DATAGRAM: usize = 80;

/// Identifies a request whenever it is sent again, under whatever ID.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request that consists of `parts`.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
        Fingerprint::of_segments(parts.into_iter().map(|part| [part]))
    }

    /// Returns the fingerprint of a request that consists of `parts`, of which each is in segments. It does not
    /// depend on where a part is divided.
    pub fn of_segments<'a, Part>(parts: impl IntoIterator<Item = Part>) -> Fingerprint
    where
        Part: AsRef<[&'a [u8]]>,
    {
        let mut hasher = Xxh3::new();
        for part in parts {
            let segments = part.as_ref();
            let bytes: usize = segments.iter().map(|segment| segment.len()).sum();
            hasher.update(&(bytes as u64).to_le_bytes());
            segments.iter().for_each(|segment| hasher.update(segment));
        }
        Fingerprint(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one run of a backend server, the same on all instances.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct BackendRun(pub u64);

impl BackendRun {
    /// Returns the current run of a server.
    pub fn of(backend: &Backend) -> BackendRun {
        BackendRun(stable_hash(&[backend.id.as_str(), &backend.start_epoch_ms.to_string()]))
    }
}

/// A crashed run, the time since the crash in milliseconds, and the requests that were in flight
/// there.
pub type ReportedCrash = (BackendRun, u64, Vec<Fingerprint>);

/// A report of crashes from one instance to another, encoded by position.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CrashReport(
    /// The crashes.
    pub Vec<ReportedCrash>,
    /// Requests that a server has responded to, so that they are not the cause of the crashes
    /// reported so far.
    pub Vec<Fingerprint>,
);

/// What a [`CrashReport`] contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportScope {
    /// What was not reported yet.
    Unsent,
    /// Also repetitions of what was reported, since datagrams may be lost.
    Recent,
    /// Also the crashes of all quarantined requests, for instances that have just started.
    Quarantined,
}

impl ReportScope {
    pub(super) fn is_due(self, reports_left: u32) -> bool {
        match self {
            ReportScope::Unsent => reports_left == REPORT_REPETITIONS,
            ReportScope::Recent | ReportScope::Quarantined => reports_left > 0,
        }
    }
}
