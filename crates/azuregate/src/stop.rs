//! Signals a planned stop to the tasks of an entry instance.

use tokio::sync::watch;

/// Triggers the stop of an instance; so does dropping it.
#[derive(Debug)]
pub struct StopHandle {
    sender: watch::Sender<bool>,
}

/// Receives the signal to stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// Creates a handle and the signal that it triggers.
pub fn channel() -> (StopHandle, StopSignal) {
    let (sender, receiver) = watch::channel(false);
    (StopHandle { sender }, StopSignal { receiver })
}

impl StopHandle {
    /// Starts a planned stop.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl StopSignal {
    /// Returns whether a planned stop has started.
    pub fn is_stopping(&self) -> bool {
        *self.receiver.borrow() || self.receiver.has_changed().is_err()
    }

    /// Resolves when a planned stop starts.
    pub async fn wait(&mut self) {
        // An error means that the handle was dropped, which is a stop as well.
        let _ = self.receiver.wait_for(|&stop| stop).await;
    }
}
