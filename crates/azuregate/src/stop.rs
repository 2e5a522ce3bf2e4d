//! Telling an entry instance to stop.

use tokio::sync::watch;

/// Tells an instance to stop; dropping it does so as well.
#[derive(Debug)]
pub struct Stopper {
    sender: watch::Sender<bool>,
}

/// Waits for the word to stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop {
    receiver: watch::Receiver<bool>,
}

/// A stopper and what it reaches.
pub fn channel() -> (Stopper, Stop) {
    let (sender, receiver) = watch::channel(false);
    (Stopper { sender }, Stop { receiver })
}

impl Stopper {
    /// Starts a planned stop.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl Stop {
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
