//! Claims in the memory of this process, owned by one task.

use azuregate_core::{
    claim::{Decision, Settled},
    error::{Error, ErrorKind},
    home::{Config, HomeTable},
    names::StartNumber,
    time::Millis,
};
use tokio::sync::{mpsc, oneshot};

use crate::{claims::ClaimRequest, clock::SharedClock};

/// A handle to the task that owns the in-memory claims.
pub(crate) struct Home {
    sender: mpsc::UnboundedSender<Message>,
}

struct ClaimReply {
    verdict: Decision,
    sequence: u64,
    /// Time until a full table accepts another key.
    room_in_ms: u64,
}

/// An in-memory claim that a request owns while it runs.
#[derive(Debug)]
pub(crate) struct HeldKey {
    key: String,
    sequence: u64,
}

enum Message {
    Claim {
        key: String,
        fingerprint: u64,
        issued_at_ms: Millis,
        reply: oneshot::Sender<ClaimReply>,
    },
    Settle {
        held: HeldKey,
        settled: Settled,
    },
    Release {
        held: HeldKey,
    },
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
        request: ClaimRequest<'_>,
        issued_at_ms: Millis,
    ) -> Result<(Decision, HeldKey), Error> {
        let key = format!("{}/{}", request.service, request.key);
        let (reply, answer) = oneshot::channel();
        let fingerprint = request.fingerprint;
        let _ =
            self.sender.send(Message::Claim { key: key.clone(), fingerprint, issued_at_ms, reply });
        let gone = |_| Error::new(ErrorKind::Stopping, "the instance is stopping");
        let decision = answer.await.map_err(gone).map_err(Error::with_unknown_earlier_attempt)?;
        if decision.verdict == Decision::Reject(ErrorKind::ClaimsFull) {
            let error = Error::new(ErrorKind::ClaimsFull, "the table of idempotency keys is full");
            return Err(error.with_retry_after_ms(decision.room_in_ms));
        }
        Ok((decision.verdict, HeldKey { key, sequence: decision.sequence }))
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
    // Derived from the monotonic clock: if the system clock jumped back, an expired
    // token would become valid again.
    let origin_ms = Millis(start.0) - clock.now();
    while let Some(message) = receiver.recv().await {
        match message {
            Message::Claim { key, fingerprint, issued_at_ms, reply } => {
                let now_ms = origin_ms + clock.now();
                let (verdict, sequence) = table.claim(&key, fingerprint, issued_at_ms, now_ms);
                let room_in_ms = table.next_expiry_in_ms(now_ms);
                let _ = reply.send(ClaimReply { verdict, sequence, room_in_ms });
            }
            Message::Settle { held, settled } => table.settle(&held.key, held.sequence, settled),
            Message::Release { held } => table.release(&held.key, held.sequence),
        }
    }
}
