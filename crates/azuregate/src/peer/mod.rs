/*!
Links between instances, over which each accepted change is sent once to every
neighbour.
*/

mod link;
mod mesh;
pub(crate) mod socket;
mod ws;

use std::collections::BTreeMap;

use async_trait::async_trait;
use azuregate_core::{
    membership::Heartbeat,
    names::{BackendId, InstanceId, ServiceName, StartNumber},
    policy::Policy,
    probe::ProbeReport,
    route::group::{GroupId, GroupLoad},
    snapshot::InstanceList,
};
use serde::{Deserialize, Serialize};

pub use mesh::Mesh;
pub use ws::WsLink;

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Identifies the sender; the first frame in each direction.
    Hello {
        /// The sender.
        instance: InstanceId,
        /// Its start number.
        start: StartNumber,
        /// Whether the sender has the platform's list of instances.
        has_list: bool,
    },
    /// Sent periodically.
    Heartbeat(Heartbeat),
    /// The policy versions that are in effect at the sender.
    Digest {
        /// The version by service.
        versions: BTreeMap<ServiceName, u64>,
    },
    /// An accepted policy.
    Policy(Box<Policy>),
    /// The platform's list of instances, for a neighbour that has none.
    List(InstanceList),
    /// An instance that is shutting down.
    Stopping {
        /// The instance.
        instance: InstanceId,
        /// Its start number.
        start: StartNumber,
    },
    /// The results of an instance that probes backend servers.
    Probes {
        /// The instance that probes.
        watcher: InstanceId,
        /// Its results.
        report: ProbeReport,
    },
    /// A backend server that is leaving service.
    Leaving {
        /// The server.
        backend: BackendId,
        /// Its start number.
        start: StartNumber,
    },
    /// The load of a group that the sender dispatches, for a neighbour that forwards
    /// requests of the group to it.
    Load {
        /// The service.
        service: ServiceName,
        /// The group.
        group: GroupId,
        /// Its load.
        load: GroupLoad,
    },
}

/// A connection to one neighbour.
#[async_trait]
pub trait PeerLink: Send {
    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken; frames sent before may be lost.
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError>;

    /// Waits for the next frame; returns `None` if the neighbour closed the link.
    ///
    /// This method is cancel safe: dropping the future loses no frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is broken or a frame cannot be decoded.
    async fn recv(&mut self) -> Result<Option<Frame>, LinkError>;
}

/// An error that broke a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkError {
    detail: String,
}

impl LinkError {
    /// Creates an error; `detail` describes the cause.
    pub fn new(detail: impl Into<String>) -> LinkError {
        LinkError { detail: detail.into() }
    }
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "peer link broken: {}", self.detail)
    }
}

impl std::error::Error for LinkError {}
