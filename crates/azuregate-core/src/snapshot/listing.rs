//! What the platform lists.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName};

/// Whether an instance or backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes what it has.
    Leaving,
}

/// An entry instance, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP number.
    pub ip: IpAddr,
    /// Where callers reach it.
    pub traffic_port: u16,
    /// Where the other instances reach it.
    pub peer_port: u16,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

impl Instance {
    /// The address for callers.
    pub fn traffic_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.traffic_port)
    }

    /// The address for other instances.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// A backend server, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Tells this start of the server from the next one.
    #[serde(default)]
    pub start: StartNumber,
    /// How many requests it takes at once.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub liveness: Liveness,
}

/// The platform's list: it lags behind what is true.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// The backend servers.
    pub backends: Vec<BackendServer>,
}
