//! Whether a request with an idempotency key may run.
//!
//! A claim is one row in the platform's `claim` table. It is inserted before
//! anything is sent to a backend server, and it is never given to a second
//! owner: a claim that lapses could lapse while its owner is paused, and the
//! request would run twice.

use serde::{Deserialize, Serialize};

use crate::{
    error::ErrorKind,
    names::{InstanceId, StartNumber},
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

/// A claim row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The owner.
    pub attempt: AttemptId,
    /// Hash of method, path and service: one key names one request.
    pub fingerprint: u64,
    /// When it was made, in milliseconds since the Unix epoch; for clean-up only.
    pub made_at_ms: Millis,
    /// The kept answer, once there is one.
    #[serde(default)]
    pub answer: Option<KeptAnswer>,
}

/// An answer kept so that a repeated request gets the same one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values that the caller gets.
    pub headers: Vec<(String, String)>,
    /// The body: small ones as text here, larger ones in the object store.
    pub body: KeptBody,
}

/// Where the body of a kept answer is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeptBody {
    /// In the row, as bytes.
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

/// Decides from the row that the platform holds for the key.
///
/// `owner_live` says whether the owner's start is known to be still running.
pub fn judge(row: &Claim, mine: &AttemptId, fingerprint: u64, owner_live: bool) -> Verdict {
    if row.fingerprint != fingerprint {
        return Verdict::Refuse(ErrorKind::ClaimMismatch);
    }
    if let Some(answer) = &row.answer {
        return Verdict::Repeat(answer.clone());
    }
    if row.attempt == *mine {
        return Verdict::Run;
    }
    if owner_live {
        return Verdict::Refuse(ErrorKind::ClaimInProgress);
    }
    Verdict::Refuse(ErrorKind::ClaimOrphaned)
}
