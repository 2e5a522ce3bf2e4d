//! Leases of backend slots and of hand-overs.

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

/// A slot of a backend server, or a hand-over to another dispatcher. Released on
/// drop.
#[derive(Debug)]
pub struct Lease {
    /// The server, or the instance that the request is handed over to.
    pub backend: BackendId,
    /// Start number of the server when it was selected.
    pub start: StartNumber,
    /// Address to send the request to.
    pub addr: SocketAddr,
    /// One-way network delay, in milliseconds.
    pub delay_ms: u64,
    /// Set if the request is to be handed over.
    pub outgoing_hand_over: Option<OutgoingHandOver>,
    /// Counts the bytes transferred, if they cross a link between regions.
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
    /// Maximum time in the dispatcher's queue, in milliseconds.
    pub max_wait_ms: u64,
    /// Completes when the dispatcher is considered unresponsive.
    pub lost: oneshot::Receiver<()>,
}

/// What a lease releases.
#[derive(Clone, Copy, Debug)]
pub(super) enum LeasedResource {
    Slot(Slot),
    HandOver { hand_over: HandOver, ticket: u64 },
}

/// Where the result of a slot request is sent.
pub(super) type Reply = oneshot::Sender<Result<Lease, Error>>;

/// A message to the selector's task.
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
    /// Sets how the request completed; reported when the lease is dropped.
    pub fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }

    /// Records that the response was truncated.
    ///
    /// For a hand-over this is not counted as a failure of the dispatcher, which
    /// had responded: most likely its backend server truncated the response.
    pub fn set_truncated(&mut self) {
        let is_handed_over = self.outgoing_hand_over.is_some();
        self.completion = if is_handed_over { Completion::Cancelled } else { Completion::Failed };
    }

    /// Records the load that the server reported.
    pub fn record_load(&self, report: LoadReport) {
        if let LeasedResource::Slot(slot) = self.resource {
            let _ = self.sender.send(Message::RecordLoad { slot, report });
        }
    }

    /// Records the load that the other dispatcher reported for its group.
    pub fn record_group_load(&self, load: GroupLoad) {
        if let LeasedResource::HandOver { hand_over, .. } = self.resource {
            let _ = self.sender.send(Message::RecordGroupLoad { hand_over, load });
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // Sending fails only once the selector's task has ended.
        let _ = self
            .sender
            .send(Message::Release { resource: self.resource, completion: self.completion });
    }
}
