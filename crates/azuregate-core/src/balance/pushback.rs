//! Pauses that backend servers ask for.
//!
//! A server that rejects a request may ask this instance to send nothing for a time. The pause belongs
//! to the run of the server that asked for it and binds this instance only. After its end one request
//! is sent to learn whether the server accepts requests again; the others follow when it has responded.

use super::Outcome;

/// Longer pauses end after this time, so that a wrong value does not exclude a server for good.
const MAX_PAUSE_MS: u64 = 24 * 60 * 60 * 1_000;
/// The clock of an instance is truncated to milliseconds.
const CLOCK_ROUNDING_MS: u64 = 1;
/// Time after which the first request after a pause counts as accepted: servers reject requests
/// without delay.
const TRIAL_TIMEOUT_MS: u64 = 250;

/// The pause that one run of a backend server has asked this instance for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pushback {
    /// The end of the pause; 0 if the server has not asked for one, or has accepted a request since.
    until_ms: u64,
    /// When the first request after the pause was sent.
    trial_sent_at_ms: Option<u64>,
}

impl Pushback {
    /// Records that the server asks for a pause from now on. A shorter one does not end a longer one.
    pub(super) fn record(&mut self, pause_ms: u64, now_ms: u64) {
        if pause_ms == 0 {
            return;
        }
        let end_ms = now_ms + pause_ms.min(MAX_PAUSE_MS) + CLOCK_ROUNDING_MS;
        self.until_ms = self.until_ms.max(end_ms);
        self.trial_sent_at_ms = None;
    }

    /// Returns whether the server has not asked for a pause, or has accepted a request since.
    pub(super) fn is_clear(&self) -> bool {
        self.until_ms == 0
    }

    /// Returns the rest of the pause; `None` if there is none.
    pub(super) fn remaining_ms(&self, now_ms: u64) -> Option<u64> {
        self.until_ms.checked_sub(now_ms).filter(|&remaining_ms| remaining_ms > 0)
    }

    /// Returns the time until a request may be sent, 0 if it may be sent now.
    pub(super) fn wait_ms(&self, now_ms: u64) -> u64 {
        let trial_ends_at_ms = self.trial_sent_at_ms.map_or(0, |at_ms| at_ms + TRIAL_TIMEOUT_MS);
        self.until_ms.max(trial_ends_at_ms).saturating_sub(now_ms)
    }

    /// Records a request that is sent to the server.
    pub(super) fn record_sent(&mut self, now_ms: u64) {
        if self.is_clear() {
            return;
        }
        match self.trial_sent_at_ms {
            None => self.trial_sent_at_ms = Some(now_ms),
            // The trial has taken longer than a rejection does.
            Some(_) => *self = Pushback::default(),
        }
    }

    /// Records the end of a request to the server.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        if self.trial_sent_at_ms.take().is_none() {
            return;
        }
        match outcome {
            Outcome::Succeeded { .. }
            | Outcome::Failed
            | Outcome::Rejected
            | Outcome::TimedOut { .. } => *self = Pushback::default(),
            // These say nothing of whether the server accepts requests: another one is sent.
            Outcome::PushedBack
            | Outcome::Unreachable
            | Outcome::ResponseLost
            | Outcome::Cancelled => {}
        }
    }
}
