//! When clients come back whose request was refused.

use std::ops::RangeInclusive;

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotServed {
    /// The instance knows too little: it has just started, or lost contact.
    KnowsTooLittle,
    /// No server has a place, or each that was asked rejected the request.
    NoPlace,
}

impl NotServed {
    /// The times after which clients come back, in milliseconds; one is drawn for
    /// each, so that they do not come at the same moment.
    ///
    /// The load: a server's queue is full for a moment, or servers reject a part of
    /// their requests. Places are free again several times within the time that one
    /// request takes, and a client that comes back by then still gets its answer
    /// within the objective. One that waits longer is late although it is served.
    pub fn return_after_ms(self) -> RangeInclusive<u64> {
        match self {
            NotServed::KnowsTooLittle => 100..=400,
            NotServed::NoPlace => 30..=150,
        }
    }
}
