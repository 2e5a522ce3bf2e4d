//! Asks other instances for requests on the account of their parts of a rate limit.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use azuregate_core::balance::{BackendRun, Datagram, GrantRequest};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

use super::state::State;

/// Longer than the round trip between regions. A grant that comes later must not be used, since
/// its holder has saved up other requests by then.
pub(super) const GRANT_TIMEOUT_MS: u64 = 100;
/// Questions that wait to be sent. More mean that this task is overloaded.
const MAX_QUEUED: usize = 256;

/// A question to another instance.
pub(super) struct Question {
    holder: SocketAddr,
    run: BackendRun,
    answer: oneshot::Sender<bool>,
}

/// The sending end of the queue of questions.
pub(super) type Questions = mpsc::Sender<Question>;

/// Creates the queue of questions.
pub(super) fn queue() -> (Questions, mpsc::Receiver<Question>) {
    mpsc::channel(MAX_QUEUED)
}

/// Asks the holder of a part for one request; returns whether it is granted.
pub(super) async fn ask(state: &State, request: &GrantRequest) -> bool {
    let timeout = Duration::from_millis(GRANT_TIMEOUT_MS);
    let (answer, answered) = oneshot::channel();
    let holder = SocketAddr::new(request.holder.ip, state.settings.peer_port);
    let asked_at = Instant::now();
    if state.grant_questions.try_send(Question { holder, run: request.run, answer }).is_err() {
        return false;
    }
    let is_granted = matches!(time::timeout(timeout, answered).await, Ok(Ok(true)));
    // A process that was stopped meanwhile finds the answer before it finds the timeout.
    is_granted && asked_at.elapsed() <= timeout
}

/// The questions that were sent and not answered.
#[derive(Default)]
pub(super) struct PendingGrants {
    last_number: u32,
    answers: HashMap<u32, oneshot::Sender<bool>>,
}

impl PendingGrants {
    /// Returns the datagram that asks a question, and its destination.
    pub(super) fn add(&mut self, question: Question) -> (Datagram, SocketAddr) {
        self.last_number = self.last_number.wrapping_add(1);
        self.answers.insert(self.last_number, question.answer);
        (Datagram::GrantRequest(self.last_number, question.run), question.holder)
    }

    /// Passes on the answer to a question.
    pub(super) fn complete(&mut self, number: u32, is_granted: bool) {
        if let Some(answer) = self.answers.remove(&number) {
            // Its request may have been cancelled.
            let _ = answer.send(is_granted);
        }
    }

    /// Forgets questions that nobody waits for.
    pub(super) fn remove_abandoned(&mut self) {
        self.answers.retain(|_, answer| !answer.is_closed());
    }
}
