//! The platform's list of instances and backend servers.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName};

/// Whether an instance or a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes the requests that it has and takes no new work.
    Leaving,
}

/// An entry instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP address.
    pub ip: IpAddr,
    /// The port for requests of callers.
    pub traffic_port: u16,
    /// The port for links of other instances.
    pub peer_port: u16,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

impl Instance {
    /// Returns the address for requests of callers.
    pub fn traffic_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.traffic_port)
    }

    /// Returns the address for links of other instances.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address for requests.
    pub addr: SocketAddr,
    /// Identifies this start of the server.
    #[serde(default)]
    pub start: StartNumber,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

/// The platform's list, which can be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// The backend servers.
    pub backends: Vec<BackendServer>,
}
