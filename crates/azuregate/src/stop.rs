//! Signals a planned stop to the tasks of an entry instance.

use std::time::Instant;

use tokio::sync::watch;

/// Triggers the stop of an instance; so does dropping it.
#[derive(Debug)]
pub struct StopHandle {
    sender: watch::Sender<Option<Instant>>,
}

/// Receives the signal to stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<Option<Instant>>,
}

/// Creates a handle and the signal that it triggers.
pub fn channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = watch::channel(None);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Starts a planned stop.
    pub fn stop(&self) {
        self.stop_since(Instant::now());
    }

    /// Starts a planned stop that was requested at `requested_at`, unless one has started.
    pub fn stop_since(&self, requested_at: Instant) {
        self.sender.send_if_modified(|stop| {
            let has_started = stop.is_none();
            stop.get_or_insert(requested_at);
            has_started
        });
    }
}

impl Drop for StopHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl StopSignal {
    /// Returns whether a planned stop has started.
    pub fn is_stopping(&self) -> bool {
        self.requested_at().is_some()
    }

    /// Returns when the planned stop was requested, or `None` if there is none.
    pub fn requested_at(&self) -> Option<Instant> {
        *self.receiver.borrow()
    }

    /// Resolves when a planned stop starts.
    pub async fn wait(&mut self) {
        // An error means that the handle was dropped, which has started a stop.
        let _ = self.receiver.wait_for(|stop| stop.is_some()).await;
    }
}
