//! Telling an entry instance to stop.

use tokio::sync::watch;

/// Tells an instance to stop; dropping it does so as well.
#[derive(Debug)]
pub struct StopHandle {
    sender: watch::Sender<bool>,
}

/// Waits for the word to stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// A stopper and what it reaches.
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
    /// Whether a planned stop has started.
    pub fn is_stopping(&self) -> bool {
        *self.receiver.borrow() || self.receiver.has_changed().is_err()
    }

    /// Resolves when a planned stop starts.
    pub async fn wait(&mut self) {
        // An error means that the stopper is gone, which is a stop as well.
        let _ = self.receiver.wait_for(|&stop| stop).await;
    }
}
