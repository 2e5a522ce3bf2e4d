//! A slot that a request holds, here or at another dispatcher.

use std::{net::SocketAddr, sync::Arc};

use azuregate_core::{
    error::Error,
    names::{BackendId, InstanceId, StartNumber},
    route::{
        Completion, LoadReport,
        dispatch::{HandOver, Slot},
        group::{GroupId, GroupLoad},
    },
};
use tokio::sync::{mpsc, oneshot};

use crate::selector::{ByteCounter, SlotRequest};

/// A slot of a backend server, or the right to hand a request over; given back
/// when dropped.
#[derive(Debug)]
pub struct Lease {
    /// The server; for a hand-over, the name of the other instance.
    pub backend: BackendId,
    /// Its start number when it was chosen.
    pub start: StartNumber,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// One-way delay from here to there, in milliseconds.
    pub delay_ms: u64,
    /// Where the request is handed over to, if it is.
    pub outgoing_hand_over: Option<OutgoingHandOver>,
    /// Counts the bytes, where they cross a link between regions.
    pub byte_counter: Option<Arc<ByteCounter>>,
    pub(super) resource: LeasedResource,
    pub(super) completion: Completion,
    pub(super) sender: mpsc::UnboundedSender<Message>,
}

/// The dispatcher that a request is handed over to.
#[derive(Debug)]
pub struct OutgoingHandOver {
    /// The group that it dispatches for.
    pub group: GroupId,
    /// How long the request may wait there.
    pub max_wait_ms: u64,
    /// Fires when the dispatcher is taken for frozen.
    pub lost: oneshot::Receiver<()>,
}

/// What is given back.
#[derive(Clone, Copy, Debug)]
pub(super) enum LeasedResource {
    Slot(Slot),
    HandOver { hand_over: HandOver, ticket: u64 },
}

/// Answers one that wanted a slot.
pub(super) type Reply = oneshot::Sender<Result<Lease, Error>>;

/// What the task that owns the slots is asked.
#[derive(Debug)]
pub(super) enum Message {
    Acquire { ticket: u64, request: SlotRequest, reply: Reply },
    CancelWaiting { ticket: u64 },
    Release { resource: LeasedResource, completion: Completion },
    RecordLoad { slot: Slot, report: LoadReport },
    RecordGroupLoad { hand_over: HandOver, load: GroupLoad },
    LoadFor { to: InstanceId, group: GroupId, reply: oneshot::Sender<Option<GroupLoad>> },
}

impl Lease {
    /// Records how the request ended; the slot goes back when the lease is
    /// dropped.
    pub fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }

    /// Records that the answer was cut short.
    ///
    /// An answer of a dispatcher that is cut is most likely one that its backend
    /// server cut: the dispatcher itself had answered.
    pub fn set_truncated(&mut self) {
        let is_handed_over = self.outgoing_hand_over.is_some();
        self.completion = if is_handed_over { Completion::Cancelled } else { Completion::Failed };
    }

    /// Passes on what the server said of its load.
    pub fn record_load(&self, report: LoadReport) {
        if let LeasedResource::Slot(slot) = self.resource {
            let _ = self.sender.send(Message::RecordLoad { slot, report });
        }
    }

    /// Passes on what the other dispatcher said of its group.
    pub fn record_group_load(&self, load: GroupLoad) {
        if let LeasedResource::HandOver { hand_over, .. } = self.resource {
            let _ = self.sender.send(Message::RecordGroupLoad { hand_over, load });
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The selector is gone only when the instance is.
        let _ = self
            .sender
            .send(Message::Release { resource: self.resource, completion: self.completion });
    }
}
