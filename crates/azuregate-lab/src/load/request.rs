//! Requests and their outcomes, as their callers see them.

use serde::Serialize;

/// The class of a request.
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

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A complete response of a backend server to this request.
    Answered,
    /// A response to another request or to other content.
    MixedUp,
    /// An error response of azuregate or of a backend server.
    Refused {
        /// HTTP status.
        status: u16,
        /// The `azuregate-outcome` header, or `backend` for a backend server's
        /// error.
        outcome: String,
    },
    /// No complete response; holds the reason.
    Failed(String),
}

/// The record of one request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Request ID.
    pub name: String,
    /// Class.
    pub class: Class,
    /// Intended start, relative to the start of the run.
    pub due_ms: u64,
    /// Time from the intended start to the end of the last response, in
    /// microseconds.
    pub latency_us: u64,
    /// Number of times that the caller sent it.
    pub tries: u32,
    /// Outcome.
    pub ending: RequestOutcome,
}
