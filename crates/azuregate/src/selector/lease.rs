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

use crate::selector::{Meter, Want};

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
    pub handed_to: Option<HandedTo>,
    /// Counts the bytes, where they cross a link between regions.
    pub meter: Option<Arc<Meter>>,
    pub(super) held: Held,
    pub(super) ending: Completion,
    pub(super) sender: mpsc::UnboundedSender<Message>,
}

/// The dispatcher that a request is handed over to.
#[derive(Debug)]
pub struct HandedTo {
    /// The group that it dispatches for.
    pub group: GroupId,
    /// How long the request may wait there.
    pub wait_ms: u64,
    /// Fires when the dispatcher is taken for frozen.
    pub lost: oneshot::Receiver<()>,
}

/// What is given back.
#[derive(Clone, Copy, Debug)]
pub(super) enum Held {
    Slot(Slot),
    HandOver { hand_over: HandOver, ticket: u64 },
}

/// Answers one that wanted a slot.
pub(super) type Reply = oneshot::Sender<Result<Lease, Error>>;

/// What the task that owns the slots is asked.
#[derive(Debug)]
pub(super) enum Message {
    Acquire { ticket: u64, want: Want, reply: Reply },
    GiveUp { ticket: u64 },
    Finish { held: Held, ending: Completion },
    Report { slot: Slot, report: LoadReport },
    Hear { hand_over: HandOver, load: GroupLoad },
    LoadFor { to: InstanceId, group: GroupId, reply: oneshot::Sender<Option<GroupLoad>> },
}

impl Lease {
    /// Records how the request ended; the slot goes back when the lease is
    /// dropped.
    pub fn set_ending(&mut self, ending: Completion) {
        self.ending = ending;
    }

    /// Records that the answer was cut short.
    ///
    /// An answer of a dispatcher that is cut is most likely one that its backend
    /// server cut: the dispatcher itself had answered.
    pub fn set_cut(&mut self) {
        let handed = self.handed_to.is_some();
        self.ending = if handed { Completion::Cancelled } else { Completion::Failed };
    }

    /// Passes on what the server said of its load.
    pub fn report(&self, report: LoadReport) {
        if let Held::Slot(slot) = self.held {
            let _ = self.sender.send(Message::Report { slot, report });
        }
    }

    /// Passes on what the other dispatcher said of its group.
    pub fn hear(&self, load: GroupLoad) {
        if let Held::HandOver { hand_over, .. } = self.held {
            let _ = self.sender.send(Message::Hear { hand_over, load });
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // The selector is gone only when the instance is.
        let _ = self.sender.send(Message::Finish { held: self.held, ending: self.ending });
    }
}
