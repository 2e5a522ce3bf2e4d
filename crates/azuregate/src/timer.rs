//! The timer service: parts subscribe to ticks instead of keeping timers.

use std::time::Duration;

use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;

/// Subscribes parts to ticks; cheap to clone.
#[derive(Clone, Debug)]
pub struct Timer {
    subscribe: mpsc::UnboundedSender<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    period_ms: u64,
    ticks: mpsc::Sender<Tick>,
}

/// One tick of a subscription.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick;

impl Timer {
    /// Starts the service as a task; it ends when the last handle is dropped.
    pub fn start() -> Timer {
        let (subscribe, subscriptions) = mpsc::unbounded_channel();
        tokio::spawn(serve(subscriptions));
        Timer { subscribe }
    }

    /// Ticks every `period_ms` milliseconds, the first time after one period.
    ///
    /// A subscriber that is still busy with a tick misses the next ones, so
    /// that a slow part never works through a backlog. Dropping the receiver
    /// ends the subscription.
    pub fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        // The service ends only after the last handle, and this is a handle.
        let _ = self.subscribe.send(Subscription { period_ms: period_ms.max(1), ticks });
        receiver
    }
}

async fn serve(mut subscriptions: mpsc::UnboundedReceiver<Subscription>) {
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            subscription = subscriptions.recv() => {
                let Some(subscription) = subscription else { return };
                let delay = Duration::from_millis(subscription.period_ms);
                queue.insert(subscription, delay);
            }
            Some(expired) = queue.next(), if !queue.is_empty() => {
                let subscription: Subscription = expired.into_inner();
                if let Err(mpsc::error::TrySendError::Closed(_)) = subscription.ticks.try_send(Tick) {
                    continue;
                }
                let delay = Duration::from_millis(subscription.period_ms);
                queue.insert(subscription, delay);
            }
        }
    }
}
