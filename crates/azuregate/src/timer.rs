//! One task that drives the periodic timers of all other tasks.

use std::time::Duration;

use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio_util::time::DelayQueue;

/// A handle to the timer task; cheap to clone.
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
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start() -> Timer {
        let (subscribe, subscriptions) = mpsc::unbounded_channel();
        tokio::spawn(serve(subscriptions));
        Timer { subscribe }
    }

    /// Returns a receiver of ticks every `period_ms` milliseconds, the first after one
    /// period.
    ///
    /// At most one tick is buffered: a subscriber that is slower than the period
    /// misses ticks instead of building up a backlog. Dropping the receiver ends the
    /// subscription.
    pub fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        // The task runs as long as any handle exists, so sending cannot fail.
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
