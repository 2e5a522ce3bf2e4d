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
const WAITING_LIMIT: usize = 4_096;
/// How much the large answers among them take at the most, in bytes. Of one more
/// only the outcome is kept.
const ANSWERS_LIMIT_BYTES: usize = 16 << 20;
/// For how long a claim is caught up with: longer than any deadline, and far
/// shorter than the retention of claims.
const PATIENCE_MS: u64 = 2 * 3_600_000;
/// How long to wait after a write that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// A write to catch up with.
pub(crate) enum Work {
    /// Take away the row of a request that did not run.
    Release(HeldRow),
    /// Keep how a request ended, with the body of its answer if that is large.
    Settle { held: HeldRow, object: Option<(String, Bytes)> },
}

enum Message {
    Work(Work),
    /// The sender is dropped when no work waits any more.
    Finish(oneshot::Sender<()>),
}

/// A handle to the task that does the work.
pub(crate) struct Upkeep {
    sender: mpsc::Sender<Message>,
    answer_bytes: Arc<AtomicUsize>,
}

impl Upkeep {
    /// Starts the task; it ends when the handle is dropped and the work is done.
    pub(crate) fn start(platform: SharedPlatform, clock: SharedClock) -> Upkeep {
        let (sender, receiver) = mpsc::channel(WAITING_LIMIT);
        let answer_bytes = Arc::new(AtomicUsize::new(0));
        let task = Task {
            platform,
            clock,
            receiver,
            answer_bytes: Arc::clone(&answer_bytes),
            waiting: VecDeque::new(),
            finishes: Vec::new(),
        };
        tokio::spawn(task.serve());
        Upkeep { sender, answer_bytes }
    }

    /// Adds work, unless too much waits already.
    pub(crate) fn add(&self, mut work: Work) {
        let held_bytes = self.answer_bytes.load(Ordering::Relaxed);
        if held_bytes + work.answer_bytes() > ANSWERS_LIMIT_BYTES {
            work.forget_answer();
        }
        let answer_bytes = work.answer_bytes();
        if self.sender.try_send(Message::Work(work)).is_err() {
            log::warn!("too many claims wait for the platform; one is left as it is");
            return;
        }
        self.answer_bytes.fetch_add(answer_bytes, Ordering::Relaxed);
    }

    /// Waits until all work is done.
    pub(crate) async fn flush(&self) {
        let (sender, finished) = oneshot::channel();
        if self.sender.send(Message::Finish(sender)).await.is_ok() {
            let _ = finished.await;
        }
    }
}

struct Task {
    platform: SharedPlatform,
    clock: SharedClock,
    receiver: mpsc::Receiver<Message>,
    answer_bytes: Arc<AtomicUsize>,
    waiting: VecDeque<Work>,
    finishes: Vec<oneshot::Sender<()>>,
}

impl Task {
    async fn serve(mut self) {
        while let Some(work) = self.next().await {
            let is_through = match work.is_too_late(self.clock.epoch()) {
                true => true,
                false => work.run(self.platform.as_ref()).await.is_ok(),
            };
            if is_through {
                self.answer_bytes.fetch_sub(work.answer_bytes(), Ordering::Relaxed);
                continue;
            }
            // To the end of the queue: a write that the platform never takes must
            // not keep the others waiting for an hour.
            self.waiting.push_back(work);
            time::sleep(PAUSE).await;
        }
    }

    /// The work to do next; waits for some.
    async fn next(&mut self) -> Option<Work> {
        while self.waiting.len() < WAITING_LIMIT {
            let Ok(message) = self.receiver.try_recv() else { break };
            self.take(message);
        }
        while self.waiting.is_empty() {
            self.finishes.clear();
            let message = self.receiver.recv().await?;
            self.take(message);
        }
        self.waiting.pop_front()
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Work(work) => self.waiting.push_back(work),
            Message::Finish(sender) => self.finishes.push(sender),
        }
    }
}

impl Work {
    /// Whether the row may not be touched any more.
    ///
    /// The failure: a process is paused for more than a day, its row is deleted
    /// as old, and the key is claimed anew by a row of the same version. On
    /// waking, this write would change the new claim.
    pub(crate) fn is_too_late(&self, now_ms: Millis) -> bool {
        let (Work::Release(held) | Work::Settle { held, .. }) = self;
        let too_late = now_ms.since(held.claim.made_at_ms).0 > PATIENCE_MS;
        if too_late {
            log::warn!(key:% = held.key; "claim left as it is");
        }
        too_late
    }

    fn answer_bytes(&self) -> usize {
        match self {
            Work::Settle { object: Some((_, bytes)), .. } => bytes.len(),
            _ => 0,
        }
    }

    /// Keeps the outcome alone.
    fn forget_answer(&mut self) {
        if let Work::Settle { held, object } = self {
            held.claim.settled = Some(Settled::NotKept);
            *object = None;
        }
    }

    /// Does the work; doing it again changes nothing.
    pub(crate) async fn run(&self, platform: &dyn Platform) -> Result<(), PlatformError> {
        match self {
            Work::Release(held) => release(platform, held).await,
            Work::Settle { held, object } => {
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
    let is_mine = serde_json::from_value(row.value)
        .is_ok_and(|there: Claim| there.attempt == held.claim.attempt);
    if !is_mine {
        return Ok(());
    }
    platform.transact(&[held.delete(row.version)]).await.map(drop)
}
