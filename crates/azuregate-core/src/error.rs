//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the caller may conclude about its request from an answer that azuregate
/// made itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server ran the request, and none will.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// The value of the `Azuregate-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the value of an `Azuregate-Outcome` header.
    pub fn parse(text: &str) -> Option<Outcome> {
        match text {
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// Whether azuregate itself may try a failed request again elsewhere.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Retry {
    /// Any request may be tried again, since nothing ran.
    Always,
    /// Only a request that is idempotent by its method.
    IfIdempotent,
    /// The answer is final.
    Never,
}

/// How azuregate answers an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// When the caller may come back, in seconds, unless the place of the error
    /// knows better. Absent where coming back does not help.
    pub retry_after_s: Option<u32>,
    /// Whether azuregate may try again.
    pub retry: Retry,
}

macro_rules! kinds {
    ($( $(#[$doc:meta])* $kind:ident => $status:literal, $outcome:ident, $after:expr, $retry:ident, $code:literal; )*) => {
        /// Everything that can go wrong with a request.
        ///
        /// The list is closed: each kind has its row in the table of answers.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum ErrorKind { $( $(#[$doc])* $kind, )* }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$( ErrorKind::$kind, )*];

            /// The kind's row in the table of answers.
            pub fn response(self) -> ErrorResponse {
                match self {
                    $( ErrorKind::$kind => ErrorResponse {
                        status: $status,
                        outcome: Outcome::$outcome,
                        retry_after_s: $after,
                        retry: Retry::$retry,
                    }, )*
                }
            }

            /// The kind's name in answers, logs and metrics.
            pub fn code(self) -> &'static str {
                match self { $( ErrorKind::$kind => $code, )* }
            }
        }
    };
}

kinds! {
    /// The request itself is malformed, such as a timeout that is no number.
    BadRequest => 400, NotRun, None, Never, "bad-request";
    /// No policy names the service.
    UnknownService => 404, NotRun, None, Never, "unknown-service";
    /// The instance has no configuration in force yet.
    NotReady => 503, NotRun, Some(1), Always, "not-ready";
    /// The instance is stopping and takes no new work.
    Stopping => 503, NotRun, Some(1), Always, "stopping";
    /// No backend server may take the request.
    NoBackend => 503, NotRun, Some(1), Always, "no-backend";
    /// The queue holds as much as it may.
    QueueFull => 503, NotRun, Some(1), Always, "queue-full";
    /// The expected wait is longer than the deadline allows.
    TooLate => 503, NotRun, Some(1), Always, "too-late";
    /// The cap of a shift leaves no room for this request.
    CapReached => 503, NotRun, Some(1), Always, "cap-reached";
    /// No connection to a backend server could be opened.
    ConnectFailed => 503, NotRun, Some(1), Always, "connect-failed";
    /// The backend server refused, and said that it did not run the request.
    BackendRefused => 503, NotRun, Some(1), Always, "backend-refused";
    /// The deadline passed before any byte left for a backend server.
    DeadlineBeforeSend => 504, NotRun, Some(1), Never, "deadline-before-send";
    /// The deadline passed after bytes had left for a backend server.
    DeadlineAfterSend => 504, Unknown, None, Never, "deadline-after-send";
    /// The connection broke after bytes had left, before an answer.
    BackendLost => 502, Unknown, None, IfIdempotent, "backend-lost";
    /// The backend server answered with something that is not HTTP.
    BackendInvalid => 502, Unknown, None, IfIdempotent, "backend-invalid";
    /// The answer broke off or stalled. Where its head is with the caller
    /// already, the caller sees its connection cut instead.
    AnswerCut => 502, Unknown, None, Never, "answer-cut";
    /// The caller's body ended early or stalled before any byte left for a
    /// backend server.
    BodyIncomplete => 400, NotRun, None, Never, "body-incomplete";
    /// The caller's body ended early after bytes had left for a backend server.
    CallerLost => 400, Unknown, None, Never, "caller-lost";
    /// The claim could not be made, and was certainly not made.
    ClaimNotMade => 503, NotRun, Some(1), Never, "claim-not-made";
    /// It is not known whether the claim was made; nothing was sent.
    ClaimUnknown => 503, NotRun, Some(1), Never, "claim-unknown";
    /// No room for another claim until older ones pass their retention.
    ClaimsFull => 503, NotRun, Some(1), Never, "claims-full";
    /// The claim belongs to a request that is in progress.
    ClaimInProgress => 409, Unknown, Some(1), Never, "claim-in-progress";
    /// The claim's owner is gone or never learnt what became of the request.
    ClaimOrphaned => 409, Unknown, None, Never, "claim-orphaned";
    /// The request ran, but its answer was too large to keep or is kept no
    /// longer.
    AnswerNotKept => 409, Unknown, None, Never, "answer-not-kept";
    /// The key was used before for a different request.
    ClaimMismatch => 422, NotRun, None, Never, "claim-mismatch";
    /// The home of the key is gone, and with it what it knew of the key.
    HomeGone => 409, Unknown, None, Never, "home-gone";
    /// The home of the key cannot be reached, or did not answer.
    HomeUnreachable => 503, Unknown, Some(1), Never, "home-unreachable";
    /// The home was named too long ago for the key to be known still.
    HomeExpired => 409, Unknown, None, Never, "home-expired";
    /// A defect in azuregate.
    Internal => 500, Unknown, None, Never, "internal";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// An error of one request: its kind, and what happened where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
    retry_after_ms: Option<u64>,
    has_unknown_earlier_attempt: bool,
}

impl Error {
    /// Makes an error; `detail` says what happened and where.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Error {
        Error {
            kind,
            detail: detail.into(),
            retry_after_ms: None,
            has_unknown_earlier_attempt: false,
        }
    }

    /// Sets a better time to come back than the table's, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Error {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Marks the error of a request whose idempotency key may have been used
    /// before, which nobody could look up.
    ///
    /// The failure: a caller lost the answer to an order that ran, sends it
    /// again, and is refused before its claim was read. `not-run` would be true
    /// of the second sending alone; the caller would order anew under another
    /// key. Hence such a refusal says `unknown`, and the same key stays safe.
    pub fn with_unknown_earlier_attempt(mut self) -> Error {
        self.has_unknown_earlier_attempt = true;
        self
    }

    /// What the caller may conclude.
    pub fn outcome(&self) -> Outcome {
        if self.has_unknown_earlier_attempt {
            Outcome::Unknown
        } else {
            self.kind.response().outcome
        }
    }

    /// The row of the table that applies.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// What happened and where.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// When the caller may come back, in whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u32> {
        let from_table = self.kind.response().retry_after_s?;
        let Some(ms) = self.retry_after_ms else {
            return Some(from_table);
        };
        Some(u32::try_from(ms.div_ceil(1_000)).unwrap_or(u32::MAX).max(1))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}
