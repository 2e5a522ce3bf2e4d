//! The phases of a planned stop.

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ShutdownPhase {
    /// No stop was asked for.
    Serving,
    /// Clients are told to go elsewhere, and are served meanwhile.
    Draining,
    /// Idle connections are closed.
    ClosingIdle,
    /// No more connections are taken.
    ListenerClosed,
}
