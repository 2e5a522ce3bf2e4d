//! Writes to claim rows that nobody waits for, tried until they are through.

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

/// How many writes wait at the most. One more is dropped: its repeat is told
/// `unknown`, which is less than could be known, and not false.
const MAX_QUEUED_WRITES: usize = 4_096;
/// How much the large answers among them take at the most, in bytes. Of one more
/// only the outcome is kept.
const MAX_QUEUED_ANSWER_BYTES: usize = 16 << 20;
/// For how long a claim is caught up with: longer than any deadline, and far
/// shorter than the retention of claims.
const RETRY_LIMIT_MS: u64 = 2 * 3_600_000;
/// How long to wait after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write to catch up with.
pub(crate) enum PendingWrite {
    /// Take away the row of a request that did not run.
    Release(HeldRow),
    /// Keep how a request ended, with the body of its answer if that is large.
    Settle { held: HeldRow, object: Option<(String, Bytes)> },
}

enum Message {
    Write(PendingWrite),
    /// The sender is dropped when no work waits any more.
    Flush(oneshot::Sender<()>),
}

/// A handle to the task that does the work.
pub(crate) struct RetryQueue {
    sender: mpsc::Sender<Message>,
    answer_bytes: Arc<AtomicUsize>,
}

impl RetryQueue {
    /// Starts the task; it ends when the handle is dropped and the work is done.
    pub(crate) fn start(platform: SharedPlatform, clock: SharedClock) -> RetryQueue {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_WRITES);
        let answer_bytes = Arc::new(AtomicUsize::new(0));
        let task = Task {
            platform,
            clock,
            receiver,
            answer_bytes: Arc::clone(&answer_bytes),
            queue: VecDeque::new(),
            flush_waiters: Vec::new(),
        };
        tokio::spawn(task.serve());
        RetryQueue { sender, answer_bytes }
    }

    /// Adds work, unless too much waits already.
    pub(crate) fn add(&self, mut write: PendingWrite) {
        let queued_bytes = self.answer_bytes.load(Ordering::Relaxed);
        if queued_bytes + write.answer_bytes() > MAX_QUEUED_ANSWER_BYTES {
            write.discard_answer();
        }
        let answer_bytes = write.answer_bytes();
        if self.sender.try_send(Message::Write(write)).is_err() {
            log::warn!("too many claims wait for the platform; one is left as it is");
            return;
        }
        self.answer_bytes.fetch_add(answer_bytes, Ordering::Relaxed);
    }

    /// Waits until all work is done.
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
    answer_bytes: Arc<AtomicUsize>,
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
                self.answer_bytes.fetch_sub(write.answer_bytes(), Ordering::Relaxed);
                continue;
            }
            // To the end of the queue: a write that the platform never takes must
            // not keep the others waiting for an hour.
            self.queue.push_back(write);
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// The work to do next; waits for some.
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
    /// Whether the row may not be touched any more.
    ///
    /// The failure: a process is paused for more than a day, its row is deleted
    /// as old, and the key is claimed anew by a row of the same version. On
    /// waking, this write would change the new claim.
    pub(crate) fn is_expired(&self, now_ms: Millis) -> bool {
        let (PendingWrite::Release(held) | PendingWrite::Settle { held, .. }) = self;
        let is_expired = now_ms.since(held.claim.made_at_ms).0 > RETRY_LIMIT_MS;
        if is_expired {
            log::warn!(key:% = held.key; "claim left as it is");
        }
        is_expired
    }

    fn answer_bytes(&self) -> usize {
        match self {
            PendingWrite::Settle { object: Some((_, bytes)), .. } => bytes.len(),
            _ => 0,
        }
    }

    /// Keeps the outcome alone.
    fn discard_answer(&mut self) {
        if let PendingWrite::Settle { held, object } = self {
            held.claim.settled = Some(Settled::NotKept);
            *object = None;
        }
    }

    /// Does the work; doing it again changes nothing.
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
                // A conflict tells that the row was written already, by an
                // earlier try whose answer was lost: no one else writes it.
                platform.transact(&[write]).await.map(drop)
            }
        }
    }
}

/// Takes the row away if it is this attempt's own.
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
