//! Claims in the memory of this start, owned by one task.

use azuregate_core::{
    claim::{Decision, Settled},
    error::{Error, ErrorKind},
    home::{Config, HomeTable},
    names::StartNumber,
    time::Millis,
};
use tokio::sync::{mpsc, oneshot};

use crate::{claims::Wanted, clock::SharedClock};

/// A handle to the task that owns the keys.
pub(crate) struct Home {
    sender: mpsc::UnboundedSender<Message>,
}

/// What the task decided for a key.
struct Decided {
    verdict: Decision,
    sequence: u64,
    /// When a full home has room again.
    room_in_ms: u64,
}

/// A key that a request holds while it runs.
#[derive(Debug)]
pub(crate) struct HeldKey {
    key: String,
    sequence: u64,
}

enum Message {
    Claim { key: String, fingerprint: u64, issued_at_ms: Millis, reply: oneshot::Sender<Decided> },
    Settle { held: HeldKey, settled: Settled },
    Release { held: HeldKey },
}

impl Home {
    /// Starts the task; it ends when the handle is dropped.
    pub(crate) fn start(start: StartNumber, clock: SharedClock) -> Home {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(serve(start, clock, receiver));
        Home { sender }
    }

    pub(crate) async fn claim(
        &self,
        wanted: Wanted<'_>,
        issued_at_ms: Millis,
    ) -> Result<(Decision, HeldKey), Error> {
        let key = format!("{}/{}", wanted.service, wanted.key);
        let (reply, answer) = oneshot::channel();
        let fingerprint = wanted.fingerprint;
        let _ =
            self.sender.send(Message::Claim { key: key.clone(), fingerprint, issued_at_ms, reply });
        let gone = |_| Error::new(ErrorKind::Stopping, "the instance is stopping");
        let decided = answer.await.map_err(gone).map_err(Error::with_unknown_earlier_attempt)?;
        if decided.verdict == Decision::Reject(ErrorKind::ClaimsFull) {
            let error = Error::new(ErrorKind::ClaimsFull, "this home remembers all it can");
            return Err(error.with_retry_after_ms(decided.room_in_ms));
        }
        Ok((decided.verdict, HeldKey { key, sequence: decided.sequence }))
    }

    pub(crate) fn settle(&self, held: HeldKey, settled: Settled) {
        let _ = self.sender.send(Message::Settle { held, settled });
    }

    pub(crate) fn release(&self, held: HeldKey) {
        let _ = self.sender.send(Message::Release { held });
    }
}

async fn serve(
    start: StartNumber,
    clock: SharedClock,
    mut receiver: mpsc::UnboundedReceiver<Message>,
) {
    let mut table = HomeTable::new(Config::default());
    // Time since the epoch as it was at the start, plus monotonic time: a clock
    // that jumps back would make an expired token valid again.
    let origin_ms = Millis(start.0) - clock.now();
    while let Some(message) = receiver.recv().await {
        match message {
            Message::Claim { key, fingerprint, issued_at_ms, reply } => {
                let now_ms = origin_ms + clock.now();
                let (verdict, sequence) = table.claim(&key, fingerprint, issued_at_ms, now_ms);
                let room_in_ms = table.next_expiry_in_ms(now_ms);
                let _ = reply.send(Decided { verdict, sequence, room_in_ms });
            }
            Message::Settle { held, settled } => table.settle(&held.key, held.sequence, settled),
            Message::Release { held } => table.release(&held.key, held.sequence),
        }
    }
}
