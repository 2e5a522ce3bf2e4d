//! The phases of a graceful shutdown.

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ShutdownPhase {
    /// No shutdown has been requested.
    Serving,
    /// Clients are directed to other instances, and are still served.
    Draining,
    /// Idle connections are closed.
    ClosingIdle,
    /// New connections are no longer accepted.
    ListenerClosed,
}
