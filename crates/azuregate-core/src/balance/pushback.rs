//! Pauses that backend servers ask for.

/// Longer pauses end after this time, so that a wrong value does not exclude a server for good.
const MAX_PAUSE_MS: u64 = 24 * 60 * 60 * 1_000;
/// The clock of an instance is truncated to milliseconds.
const CLOCK_ROUNDING_MS: u64 = 1;

/// The pause that one run of a backend server has asked this instance for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pushback {
    until_ms: u64,
}

impl Pushback {
    /// Records that the server asks for a pause from now on. A shorter one does not end a longer one.
    pub(super) fn record(&mut self, pause_ms: u64, now_ms: u64) {
        if pause_ms == 0 {
            return;
        }
        let end_ms = now_ms + pause_ms.min(MAX_PAUSE_MS) + CLOCK_ROUNDING_MS;
        self.until_ms = self.until_ms.max(end_ms);
    }

    /// Returns the rest of the pause; `None` if there is none.
    pub(super) fn remaining_ms(&self, now_ms: u64) -> Option<u64> {
        self.until_ms.checked_sub(now_ms).filter(|&remaining_ms| remaining_ms > 0)
    }
}
