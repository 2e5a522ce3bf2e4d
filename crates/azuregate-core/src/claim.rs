//! Decides whether a request with an idempotency key may run.
//!
//! A claim is a row in the platform's `claim` table. It is inserted before anything
//! is sent to a backend server, and its owner never changes: a claim that could
//! lapse might do so while its owner is paused, and the request would run twice.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    error::ErrorKind,
    names::{InstanceId, StartNumber},
    route::hash,
    snapshot::{Instance, Liveness},
    time::Millis,
};

/// Identifies one attempt at running a request, so that an insert whose answer was lost
/// can be recognized.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptId {
    /// The instance that makes the attempt.
    pub instance: InstanceId,
    /// Its start number; a restarted instance is a different owner.
    pub start: StartNumber,
    /// Sequence number of the attempt within that start.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.instance, self.start, self.sequence)
    }
}

/// A row of the `claim` table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The owner.
    pub attempt: AttemptId,
    /// Hash of the request, so that a key cannot be reused for a different request.
    pub fingerprint: u64,
    /// When the claim was made, in milliseconds since the Unix epoch; used for cleanup
    /// only.
    pub made_at_ms: Millis,
    /// When the owner has certainly stopped, in milliseconds since the Unix epoch. It
    /// only selects the error of a rejected request, so a clock that jumps cannot make
    /// a request run twice.
    pub until_ms: Millis,
    /// How the request ended, once that is known.
    #[serde(default)]
    pub settled: Option<Settled>,
}

/// How long a claim is kept, in milliseconds.
///
/// Callers may rely on a key for half of this time. The other half allows for clock
/// errors: a row that is deleted too early would let its request run again.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

/// How long one instance is responsible for the cleanup, in milliseconds.
const CLEANUP_TURN_MS: u64 = 60_000;

impl Claim {
    /// Returns whether the claim has exceeded its retention.
    pub fn is_expired(&self, now_ms: Millis) -> bool {
        now_ms.since(self.made_at_ms).0 > RETENTION_MS
    }
}

/// Returns the live instance that is responsible for deleting expired claims at
/// `now_ms`.
pub fn cleanup_instance(instances: &[Instance], now_ms: Millis) -> Option<&InstanceId> {
    let turn = (now_ms.0 / CLEANUP_TURN_MS).to_string();
    let live = instances.iter().filter(|instance| instance.liveness == Liveness::Live);
    live.map(|instance| &instance.id).max_by_key(|id| hash::stable_hash(&[id.as_str(), &turn]))
}

/// How the request of a claim ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// It ran, and this is its response.
    Answer(StoredResponse),
    /// It ran, and its response is not stored.
    NotKept,
    /// It may have run.
    Unknown,
}

/// A response that is stored to be replayed to repeats of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values that the caller receives.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: StoredBody,
}

impl StoredResponse {
    /// Returns its size in memory, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let body = match &self.body {
            StoredBody::Inline(bytes) => bytes.len(),
            StoredBody::Object(name) => name.len(),
        };
        headers + body
    }
}

/// The body of a stored response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBody {
    /// Stored with the response.
    Inline(Vec<u8>),
    /// Stored in the object store, under this name.
    Object(String),
}

/// Whether a request with an idempotency key may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It owns the claim and may run.
    Run,
    /// It ran before: replay the stored response.
    Replay(StoredResponse),
    /// It may not run, and there is no response to replay.
    Reject(ErrorKind),
}

/// What is known of the body of a request when the request is claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyDigest<'a> {
    /// The whole body.
    Full(&'a [u8]),
    /// The length in bytes, if it is known: the body is streamed and cannot be hashed
    /// in advance.
    Length(Option<u64>),
}

/// Extends the hash of a request's head to one of the whole request.
pub fn fingerprint(head: u64, body: BodyDigest<'_>) -> u64 {
    let mut hasher = Xxh3::with_seed(head);
    match body {
        BodyDigest::Full(bytes) => hasher.update(bytes),
        BodyDigest::Length(length) => {
            hasher.update(b"length");
            hasher.update(&length.map_or(0, |length| length + 1).to_be_bytes());
        }
    }
    hasher.digest()
}

/// Decides about a request from the row that the platform holds for its key.
///
/// `is_owner_live` says whether the owner of the row may still be running the request.
pub fn decide(
    row: &Claim,
    own_attempt: &AttemptId,
    fingerprint: u64,
    is_owner_live: bool,
) -> Decision {
    if row.attempt == *own_attempt {
        return Decision::Run;
    }
    let in_progress =
        if is_owner_live { ErrorKind::ClaimInProgress } else { ErrorKind::ClaimOrphaned };
    decide_settled(row.fingerprint == fingerprint, row.settled.as_ref(), in_progress)
}

/// Decides about a repeat from how the first request with its key ended.
pub(crate) fn decide_settled(
    is_same_request: bool,
    settled: Option<&Settled>,
    in_progress: ErrorKind,
) -> Decision {
    if !is_same_request {
        return Decision::Reject(ErrorKind::ClaimMismatch);
    }
    match settled {
        Some(Settled::Answer(answer)) => Decision::Replay(answer.clone()),
        Some(Settled::NotKept) => Decision::Reject(ErrorKind::AnswerNotKept),
        Some(Settled::Unknown) => Decision::Reject(ErrorKind::ClaimOrphaned),
        None => Decision::Reject(in_progress),
    }
}
