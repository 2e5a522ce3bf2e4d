//! Whether a request with an idempotency key may run.
//!
//! A claim is one row in the platform's `claim` table. It is inserted before
//! anything is sent to a backend server, and it is never given to a second
//! owner: a claim that lapses could lapse while its owner is paused, and the
//! request would run twice.

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

/// One attempt at running a request: tells who owns a claim when the answer to
/// its insert was lost.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptId {
    /// The instance that makes the attempt.
    pub instance: InstanceId,
    /// Its start number: a restarted instance is another owner.
    pub start: StartNumber,
    /// Counts the attempts of that start.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.instance, self.start, self.sequence)
    }
}

/// A claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The owner.
    pub attempt: AttemptId,
    /// Hash of the request: one key names one request.
    pub fingerprint: u64,
    /// When it was made, in milliseconds since the Unix epoch; for clean-up only.
    pub made_at_ms: Millis,
    /// When its owner has certainly stopped, in milliseconds since the Unix
    /// epoch. It only chooses between two refusals, and never lets anyone run the
    /// request, so a clock that jumps does no harm.
    pub until_ms: Millis,
    /// How the request ended, once that is known.
    #[serde(default)]
    pub settled: Option<Settled>,
}

/// How long a claim is kept, in milliseconds.
///
/// Callers are told that a key is good for half of it. The other half is for
/// clocks: a row deleted too early would let its request run again.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

/// How long one instance does the cleaning before it is another's turn.
const TURN_MS: u64 = 60_000;

impl Claim {
    /// Whether it is past its retention.
    pub fn is_old(&self, now_ms: Millis) -> bool {
        now_ms.since(self.made_at_ms).0 > RETENTION_MS
    }
}

/// Whose turn it is to delete old claims: one live instance at a time.
pub fn cleaner(instances: &[Instance], now_ms: Millis) -> Option<&InstanceId> {
    let turn = (now_ms.0 / TURN_MS).to_string();
    let live = instances.iter().filter(|instance| instance.liveness == Liveness::Live);
    live.map(|instance| &instance.id).max_by_key(|id| hash::stable_hash(&[id.as_str(), &turn]))
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settled {
    /// It ran, and this is its answer.
    Answer(KeptAnswer),
    /// It ran, and its answer is not kept.
    NotKept,
    /// It may have run.
    Unknown,
}

/// An answer kept so that a repeated request gets the same one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values that the caller gets.
    pub headers: Vec<(String, String)>,
    /// The body: small ones here, larger ones in the object store.
    pub body: KeptBody,
}

impl KeptAnswer {
    /// What it takes in memory, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let body = match &self.body {
            KeptBody::Inline(bytes) => bytes.len(),
            KeptBody::Object(name) => name.len(),
        };
        headers + body
    }
}

/// Where the body of a kept answer is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeptBody {
    /// Here, as bytes.
    Inline(Vec<u8>),
    /// In the object store, under this name.
    Object(String),
}

/// What a request with a key may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It owns the claim: run it.
    Run,
    /// It ran before: give the kept answer.
    Repeat(KeptAnswer),
    /// It may not run, and there is no answer to give.
    Refuse(ErrorKind),
}

/// What is known of the body of a request when it is claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyDigest<'a> {
    /// All of it.
    Whole(&'a [u8]),
    /// Its length in bytes, if that: it streams, and is gone by the time its hash
    /// is known.
    Length(Option<u64>),
}

/// Goes on from a hash of a request's head to one of the whole request.
pub fn fingerprint(head: u64, body: BodyDigest<'_>) -> u64 {
    let mut hasher = Xxh3::with_seed(head);
    match body {
        BodyDigest::Whole(bytes) => hasher.update(bytes),
        BodyDigest::Length(length) => {
            hasher.update(b"length");
            hasher.update(&length.map_or(0, |length| length + 1).to_be_bytes());
        }
    }
    hasher.digest()
}

/// Decides from the row that the platform holds for the key.
///
/// `owner_live` says whether the owner may still be running the request.
pub fn judge(row: &Claim, mine: &AttemptId, fingerprint: u64, owner_live: bool) -> Verdict {
    if row.attempt == *mine {
        return Verdict::Run;
    }
    let in_progress =
        if owner_live { ErrorKind::ClaimInProgress } else { ErrorKind::ClaimOrphaned };
    judge_settled(row.fingerprint == fingerprint, row.settled.as_ref(), in_progress)
}

/// Decides from how the request of a key that was used before ended.
pub(crate) fn judge_settled(
    same_request: bool,
    settled: Option<&Settled>,
    in_progress: ErrorKind,
) -> Verdict {
    if !same_request {
        return Verdict::Refuse(ErrorKind::ClaimMismatch);
    }
    match settled {
        Some(Settled::Answer(answer)) => Verdict::Repeat(answer.clone()),
        Some(Settled::NotKept) => Verdict::Refuse(ErrorKind::AnswerNotKept),
        Some(Settled::Unknown) => Verdict::Refuse(ErrorKind::ClaimOrphaned),
        None => Verdict::Refuse(in_progress),
    }
}
