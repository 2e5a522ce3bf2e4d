//! The error kinds and the response to each.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the caller may conclude about its request from an answer that azuregate itself
/// generated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server ran the request, and none will.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Azuregate-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the value of an `Azuregate-Outcome` header.
    pub fn parse(text: &str) -> Option<Outcome> {
        match text {
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// Whether azuregate itself may retry a failed request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Retry {
    /// Any request may be retried, since nothing ran.
    Always,
    /// Only requests with an idempotent method may be retried.
    IfIdempotent,
    /// No request may be retried.
    Never,
}

/// The response to an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// When the caller may retry, in seconds, unless the error sets a time itself.
    /// `None` if a retry does not help.
    pub retry_after_s: Option<u32>,
    /// Whether azuregate may retry.
    pub retry: Retry,
}

macro_rules! kinds {
    ($( $(#[$doc:meta])* $kind:ident => $status:literal, $outcome:ident, $after:expr, $retry:ident, $code:literal; )*) => {
        /// The reasons for which a request can fail.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum ErrorKind { $( $(#[$doc])* $kind, )* }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$( ErrorKind::$kind, )*];

            /// Returns the response to this kind.
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

            /// Returns the kind's name in answers, logs and metrics.
            pub fn code(self) -> &'static str {
                match self { $( ErrorKind::$kind => $code, )* }
            }
        }
    };
}

kinds! {
    /// The request itself is malformed, such as a timeout that is not a number.
    BadRequest => 400, NotRun, None, Never, "bad-request";
    /// There is no policy for the service.
    UnknownService => 404, NotRun, None, Never, "unknown-service";
    /// The instance has no configuration in force yet.
    NotReady => 503, NotRun, Some(1), Always, "not-ready";
    /// The instance is stopping and takes no new work.
    Stopping => 503, NotRun, Some(1), Always, "stopping";
    /// No backend server may take the request.
    NoBackend => 503, NotRun, Some(1), Always, "no-backend";
    /// The queue is full.
    QueueFull => 503, NotRun, Some(1), Always, "queue-full";
    /// The expected wait exceeds the deadline.
    TooLate => 503, NotRun, Some(1), Always, "too-late";
    /// The cap of a shift leaves no room for the request.
    CapReached => 503, NotRun, Some(1), Always, "cap-reached";
    /// No connection to a backend server could be opened.
    ConnectFailed => 503, NotRun, Some(1), Always, "connect-failed";
    /// The backend server rejected the request and reported that it did not run it.
    BackendRefused => 503, NotRun, Some(1), Always, "backend-refused";
    /// The deadline passed before any byte was sent to a backend server.
    DeadlineBeforeSend => 504, NotRun, Some(1), Never, "deadline-before-send";
    /// The deadline passed after bytes were sent to a backend server.
    DeadlineAfterSend => 504, Unknown, None, Never, "deadline-after-send";
    /// The connection broke after bytes were sent, before an answer.
    BackendLost => 502, Unknown, None, IfIdempotent, "backend-lost";
    /// The answer of the backend server is not valid HTTP.
    BackendInvalid => 502, Unknown, None, IfIdempotent, "backend-invalid";
    /// The answer was cut off or stalled. If its head was already sent, the caller's
    /// connection is closed instead.
    AnswerCut => 502, Unknown, None, Never, "answer-cut";
    /// The caller's body ended early or stalled before any byte was sent to a backend
    /// server.
    BodyIncomplete => 400, NotRun, None, Never, "body-incomplete";
    /// The caller's body ended early after bytes were sent to a backend server.
    CallerLost => 400, Unknown, None, Never, "caller-lost";
    /// The claim could not be made, and was certainly not made.
    ClaimNotMade => 503, NotRun, Some(1), Never, "claim-not-made";
    /// It is unknown whether the claim was made; nothing was sent.
    ClaimUnknown => 503, NotRun, Some(1), Never, "claim-unknown";
    /// There is no room for another claim until older ones expire.
    ClaimsFull => 503, NotRun, Some(1), Never, "claims-full";
    /// The claim belongs to a request that is in progress.
    ClaimInProgress => 409, Unknown, Some(1), Never, "claim-in-progress";
    /// The owner of the claim is gone or does not know the outcome of the request.
    ClaimOrphaned => 409, Unknown, None, Never, "claim-orphaned";
    /// The request ran, but its answer was too large to store or has been evicted.
    AnswerNotKept => 409, Unknown, None, Never, "answer-not-kept";
    /// The key was used before for a different request.
    ClaimMismatch => 422, NotRun, None, Never, "claim-mismatch";
    /// The home of the key is gone, and with it its record of the key.
    HomeGone => 409, Unknown, None, Never, "home-gone";
    /// The home of the key cannot be reached, or did not answer.
    HomeUnreachable => 503, Unknown, Some(1), Never, "home-unreachable";
    /// The home token has expired, so the key may have been evicted.
    HomeExpired => 409, Unknown, None, Never, "home-expired";
    /// An internal error of azuregate.
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
    /// Creates an error; `detail` says what happened and where.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Error {
        Error {
            kind,
            detail: detail.into(),
            retry_after_ms: None,
            has_unknown_earlier_attempt: false,
        }
    }

    /// Overrides the retry time of the table, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Error {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Marks a request whose idempotency key may have been used by an earlier attempt
    /// that could not be looked up; its outcome is then [`Outcome::Unknown`].
    ///
    /// Without it, a repeat of a request that ran, rejected before its claim was read,
    /// would get `not-run`, and the caller would send the request again under another
    /// key.
    pub fn with_unknown_earlier_attempt(mut self) -> Error {
        self.has_unknown_earlier_attempt = true;
        self
    }

    /// Returns what the caller may conclude.
    pub fn outcome(&self) -> Outcome {
        if self.has_unknown_earlier_attempt {
            Outcome::Unknown
        } else {
            self.kind.response().outcome
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns what happened and where.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns when the caller may retry, in whole seconds, rounded up.
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
