/*!
Links between instances: each accepted change goes to every neighbour once.
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

/// What instances tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The first frame each way.
    Hello {
        /// Who speaks.
        instance: InstanceId,
        /// Its start number.
        start: StartNumber,
        /// Whether it has the platform's list.
        has_list: bool,
    },
    /// Sent at rest.
    Heartbeat(Heartbeat),
    /// The versions that the sender has in force.
    Digest {
        /// Version for each service.
        versions: BTreeMap<ServiceName, u64>,
    },
    /// An accepted policy.
    Policy(Box<Policy>),
    /// The platform's list, for a neighbour that has none.
    List(InstanceList),
    /// An instance that has started a planned stop.
    Stopping {
        /// The instance.
        instance: InstanceId,
        /// Its start number.
        start: StartNumber,
    },
    /// What a watcher of backend servers says.
    Probes {
        /// The watcher.
        watcher: InstanceId,
        /// What it says.
        report: ProbeReport,
    },
    /// A backend server that is leaving.
    Leaving {
        /// The server.
        backend: BackendId,
        /// Its start number.
        start: StartNumber,
    },
    /// The load of a group that the sender dispatches for, while the neighbour
    /// hands requests of it over.
    Load {
        /// The service.
        service: ServiceName,
        /// The group.
        group: GroupId,
        /// Its load.
        load: GroupLoad,
    },
}

/// A link to one neighbour.
#[async_trait]
pub trait PeerLink: Send {
    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// When the link is broken; what was sent may not have arrived.
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError>;

    /// Waits for the next frame; `None` when the neighbour closed the link.
    /// Dropping the future loses no frame.
    ///
    /// # Errors
    ///
    /// When the link is broken, or a frame is not understood.
    async fn recv(&mut self) -> Result<Option<Frame>, LinkError>;
}

/// A broken link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkError {
    detail: String,
}

impl LinkError {
    /// Makes an error; `detail` says what happened.
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
