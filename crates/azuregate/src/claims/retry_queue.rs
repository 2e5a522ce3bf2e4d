//! Retries writes to claim rows that no request waits for.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuregate_core::{
    claim::{Claim, Settled},
    time::Millis,
};
use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    claims::held::HeldRow,
    clock::SharedClock,
    platform::{Effect, Expect, Platform, PlatformError, SharedPlatform, Table},
};

/// Further writes are dropped. A repeated request then gets the outcome `unknown`.
const MAX_QUEUED_WRITES: usize = 4_096;
/// Limits the memory of queued responses. Of further ones, only the outcome is stored.
const MAX_QUEUED_RESPONSE_BYTES: usize = 16 << 20;
/// The age of a claim after which its writes are dropped. It must be longer than any
/// deadline, and much shorter than the retention of claims; see `is_expired`.
const RETRY_LIMIT_MS: u64 = 2 * 3_600_000;
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write to a claim row that is retried until it succeeds.
pub(crate) enum PendingWrite {
    /// Deletes the row of a request that did not run.
    Release(HeldRow),
    /// Stores how a request ended, and its response body as an object if that is too
    /// large for the row.
    Settle { held: HeldRow, object: Option<(String, Bytes)> },
}

enum Message {
    Write(PendingWrite),
    /// The sender is dropped when the queue is empty.
    Flush(oneshot::Sender<()>),
}

/// A handle to the task that retries writes.
pub(crate) struct RetryQueue {
    sender: mpsc::Sender<Message>,
    response_bytes: Arc<AtomicUsize>,
}

impl RetryQueue {
    /// Starts the task; it ends when the handle is dropped and the queue is empty.
    pub(crate) fn start(platform: SharedPlatform, clock: SharedClock) -> RetryQueue {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_WRITES);
        let response_bytes = Arc::new(AtomicUsize::new(0));
        let task = Task {
            platform,
            clock,
            receiver,
            response_bytes: Arc::clone(&response_bytes),
            queue: VecDeque::new(),
            flush_waiters: Vec::new(),
        };
        tokio::spawn(task.serve());
        RetryQueue { sender, response_bytes }
    }

    /// Adds a write, or drops it if the queue is full.
    pub(crate) fn add(&self, mut write: PendingWrite) {
        let queued_bytes = self.response_bytes.load(Ordering::Relaxed);
        if queued_bytes + write.response_bytes() > MAX_QUEUED_RESPONSE_BYTES {
            write.discard_response();
        }
        let response_bytes = write.response_bytes();
        if self.sender.try_send(Message::Write(write)).is_err() {
            log::warn!("claim retry queue is full; write dropped");
            return;
        }
        self.response_bytes.fetch_add(response_bytes, Ordering::Relaxed);
    }

    /// Waits until the queue is empty.
    pub(crate) async fn flush(&self) {
        let (sender, flushed) = oneshot::channel();
        if self.sender.send(Message::Flush(sender)).await.is_ok() {
            let _ = flushed.await;
        }
    }
}

struct Task {
    platform: SharedPlatform,
    clock: SharedClock,
    receiver: mpsc::Receiver<Message>,
    response_bytes: Arc<AtomicUsize>,
    queue: VecDeque<PendingWrite>,
    flush_waiters: Vec<oneshot::Sender<()>>,
}

impl Task {
    async fn serve(mut self) {
        while let Some(write) = self.next().await {
            let is_done = match write.is_expired(self.clock.epoch()) {
                true => true,
                false => write.run(self.platform.as_ref()).await.is_ok(),
            };
            if is_done {
                self.response_bytes.fetch_sub(write.response_bytes(), Ordering::Relaxed);
                continue;
            }
            // To the end of the queue, so that a write that keeps failing does not
            // block the others.
            self.queue.push_back(write);
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the next write, waiting for one if the queue is empty.
    async fn next(&mut self) -> Option<PendingWrite> {
        while self.queue.len() < MAX_QUEUED_WRITES {
            let Ok(message) = self.receiver.try_recv() else { break };
            self.handle_message(message);
        }
        while self.queue.is_empty() {
            self.flush_waiters.clear();
            let message = self.receiver.recv().await?;
            self.handle_message(message);
        }
        self.queue.pop_front()
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Write(write) => self.queue.push_back(write),
            Message::Flush(sender) => self.flush_waiters.push(sender),
        }
    }
}

impl PendingWrite {
    /// Returns whether the claim is too old to be written.
    ///
    /// If this process is paused for longer than the retention of claims, the row
    /// may be deleted and its key claimed again by a row of the same version. The
    /// expected version would not keep this write from changing the new claim.
    pub(crate) fn is_expired(&self, now_ms: Millis) -> bool {
        let (PendingWrite::Release(held) | PendingWrite::Settle { held, .. }) = self;
        let is_expired = now_ms.since(held.claim.made_at_ms).0 > RETRY_LIMIT_MS;
        if is_expired {
            log::warn!(key:% = held.key; "expired claim write dropped");
        }
        is_expired
    }

    fn response_bytes(&self) -> usize {
        match self {
            PendingWrite::Settle { object: Some((_, bytes)), .. } => bytes.len(),
            _ => 0,
        }
    }

    /// Replaces the response by the outcome alone.
    fn discard_response(&mut self) {
        if let PendingWrite::Settle { held, object } = self {
            held.claim.settled = Some(Settled::NotKept);
            *object = None;
        }
    }

    /// Sends the write to the platform; it is idempotent.
    pub(crate) async fn run(&self, platform: &dyn Platform) -> Result<(), PlatformError> {
        match self {
            PendingWrite::Release(held) => release(platform, held).await,
            PendingWrite::Settle { held, object } => {
                if let Some((name, bytes)) = object {
                    platform.put_object(name, bytes.clone()).await?;
                }
                let write = held
                    .write(Expect::Version(held.row_version))
                    .map_err(|e| PlatformError::new(Effect::None, e.to_string()))?;
                // Only the owner writes the row, so a conflict means that an earlier
                // try succeeded and its response was lost.
                platform.transact(&[write]).await.map(drop)
            }
        }
    }
}

/// Deletes the row if it belongs to this attempt.
async fn release(platform: &dyn Platform, held: &HeldRow) -> Result<(), PlatformError> {
    let Some(row) = platform.read(Table::Claim, &held.key).await? else {
        return Ok(());
    };
    let is_own_attempt = serde_json::from_value(row.value)
        .is_ok_and(|existing: Claim| existing.attempt == held.claim.attempt);
    if !is_own_attempt {
        return Ok(());
    }
    platform.transact(&[held.delete(row.version)]).await.map(drop)
}
