//! How a request ended, as its caller sees it.

use serde::Serialize;

/// The kinds of request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A read.
    Read,
    /// An order with an idempotency key.
    Keyed,
    /// An upload, without a key.
    Upload,
}

/// What the caller got.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The whole answer of a backend server to this very request.
    Answered,
    /// An answer that belongs to another request, or to other content.
    MixedUp,
    /// An answer of azuregate itself, or an error of a backend server.
    Refused {
        /// HTTP status.
        status: u16,
        /// What it says of the request; `backend` for a backend server's error.
        outcome: String,
    },
    /// No whole answer.
    Failed(String),
}

/// One request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub class: Class,
    /// When it was due, since the start.
    pub due_ms: u64,
    /// From when it was due to the end of the last answer, in microseconds.
    pub latency_us: u64,
    /// How often the caller sent it.
    pub tries: u32,
    /// What came of it.
    pub ending: RequestOutcome,
}
