//! Selection of a backend server for a request.
//!
//! [`Router`] is the interface of load balancing algorithms: [`SlotTable`], the
//! default, and the baselines used in benchmarks implement it.

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

/// How a request to a backend server completed, as concurrency limits see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Completion {
    /// The server sent a response.
    Responded {
        /// Time from sending the request to receiving the response head.
        latency_ms: u64,
    },
    /// The server refused the request and stated that it did not run it.
    Refused,
    /// The connection could not be established, or broke.
    Failed,
    /// The client disconnected, or the deadline passed.
    Cancelled,
}

/// The load that a backend server reported; it lags and may be wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in progress on the server.
    pub in_use: u32,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Arrival time of the report on the monotonic clock.
    pub at_ms: Millis,
}

/// The location that a router selects servers for.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// Regions and availability zones.
    pub topology: &'a Topology,
    /// The availability zone of this instance.
    pub zone: &'a ZoneName,
}

/// A load balancing algorithm over the backend servers of one service.
///
/// A server keeps its key for the lifetime of the router, even if the server
/// list changes while requests are in progress. Implementations track the
/// requests that they have sent, and own no sockets or clocks.
pub trait Router: Send {
    /// Replaces the server list. Servers that remain keep their state; servers
    /// that are no longer listed receive no new requests.
    fn set_servers(&mut self, locality: Locality<'_>, servers: &[ServerStatus]);

    /// Selects a server, acquires one of its slots and returns the server's
    /// key, or `None` if no available server has a free slot.
    fn acquire(&mut self, now_ms: Millis, rng: &mut fastrand::Rng) -> Option<usize>;

    /// Returns the name of the server with this key.
    ///
    /// # Panics
    ///
    /// Panics if `key` was not returned by [`Router::acquire`].
    fn id(&self, key: usize) -> &BackendId;

    /// Releases a slot and records how its request completed.
    fn release(&mut self, key: usize, completion: Completion, now_ms: Millis);

    /// Records the load that a server reported.
    fn record_load(&mut self, key: usize, report: LoadReport);

    /// Returns the slots of all available servers.
    fn capacity(&self) -> Capacity;
}

/// The slots of a router within its learnt concurrency limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Number of free slots.
    pub free: u32,
    /// Number of slots, free and in use.
    pub total: u32,
}

/// A listed backend server and whether it may receive new requests.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// The server, as listed.
    pub server: BackendServer,
    /// Whether it may receive new requests.
    pub available: bool,
}
