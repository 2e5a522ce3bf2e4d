//! Choosing a backend server for one request.
//!
//! [`Router`] is the border: the shipped rule and the baselines that it is
//! measured against implement it.

pub mod dispatch;
pub mod group;
pub mod hash;
pub mod limit;
pub mod link;
mod nearest;
mod peers;
pub mod queue;
pub mod remote_load;
mod slots;

pub use nearest::Nearest;
pub use slots::SlotTable;

use crate::{
    names::{BackendId, ZoneName},
    snapshot::BackendServer,
    time::Millis,
    topology::Topology,
};

/// How a request ended at a backend server, as far as limits care.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Completion {
    /// It answered.
    Responded {
        /// From sending to the head of the answer.
        latency_ms: u64,
    },
    /// It refused, and said that it did not run the request.
    Refused,
    /// No connection, or the connection broke.
    Failed,
    /// The caller left, or the deadline passed.
    Cancelled,
}

/// What a backend server says of itself; it lags, and may be wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in progress there.
    pub in_use: u32,
    /// Requests that it takes at once.
    pub slots: u32,
    /// When the report arrived, on the monotonic clock.
    pub at_ms: Millis,
}

/// The inputs of a choice that the router does not own.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// Regions and availability zones.
    pub topology: &'a Topology,
    /// The availability zone that chooses.
    pub zone: &'a ZoneName,
}

/// A rule that chooses among the backend servers of one service.
///
/// A server keeps its key for as long as the router lives, also when the list
/// changes while requests are in progress. Implementations count what they have
/// sent; they hold no sockets or clocks.
pub trait Router: Send {
    /// Replaces the list of servers; counts of servers that stay are kept, and
    /// servers that are no longer listed get no new work.
    fn set_servers(&mut self, locality: Locality<'_>, servers: &[ServerStatus]);

    /// Chooses a server and takes one of its slots, or `None` when all that may
    /// serve are full.
    fn acquire(&mut self, now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize>;

    /// The name of the server with this key.
    ///
    /// # Panics
    ///
    /// When `key` did not come from [`Router::acquire`].
    fn id(&self, key: usize) -> &BackendId;

    /// Gives the slot back, with what was learnt.
    fn release(&mut self, key: usize, completion: Completion, now_ms: Millis);

    /// Takes in what a server said of its load.
    fn record_load(&mut self, key: usize, report: LoadReport);

    /// What it has to give.
    fn capacity(&self) -> Capacity;
}

/// The slots of a router, as far as its learnt limits allow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Slots that are free.
    pub free: u32,
    /// Slots in all.
    pub total: u32,
}

/// A backend server with what the instance knows of it beyond the list.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// The server as listed.
    pub server: BackendServer,
    /// Whether it may get new work.
    pub available: bool,
}
