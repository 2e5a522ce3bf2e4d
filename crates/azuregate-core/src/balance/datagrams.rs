//! Datagrams between entry instances.

use serde::{Deserialize, Serialize};

use super::{BackendRun, CrashReport, LeavingReport, RateLimitReport, ReachabilityReport};
use crate::names::StartNumber;

/// A datagram from one entry instance to another.
///
/// Datagrams go to all instances several times a second, so fields are encoded by position to
/// keep them small.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// Liveness and state of an instance.
    Heartbeat(Heartbeat),
    /// Requests that an instance has in flight.
    Load(Load),
    /// Crashes of backend servers. Instances of older versions ignore it.
    Crashes(CrashReport),
    /// Rate limits of backend servers. Instances of older versions ignore it.
    RateLimits(RateLimitReport),
    /// Asks for a request to a server with a rate limit, under a number of the sender's. Instances
    /// of older versions ignore it.
    GrantRequest(u32, BackendRun),
    /// Answers the request for a grant with this number: whether it is granted.
    Grant(u32, bool),
    /// Services that an instance cannot reach. Instances of older versions ignore it.
    Reachability(ReachabilityReport),
    /// Backend servers that are leaving. Instances of older versions ignore it.
    Leaving(LeavingReport),
}

/// Requests that an instance has in flight at the backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load(
    /// The instance.
    pub String,
    /// The hash of each server's name and its number of requests.
    pub Vec<(u32, u32)>,
);

/// Liveness and state of an instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Heartbeat {
    /// The instance.
    pub instance: String,
    /// Identifies this run of the instance.
    pub start: StartNumber,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Version of the latest change that it has seen in the operator's table.
    pub operator_version: u64,
    /// Version of the latest change that it has seen in the table of backend servers.
    pub backends_version: u64,
    /// For how long it has been in contact with the store without interruption.
    pub had_store_ms: u64,
    /// Whether it may watch the store on behalf of other instances.
    pub can_watch: bool,
    /// Hashes of a sample of the objects that clients requested from it.
    pub requested: Vec<u32>,
}

/// The encoded form of a [`Heartbeat`].
type Fields = (String, StartNumber, bool, u64, u64, u64, bool, Vec<u32>);

impl From<Fields> for Heartbeat {
    fn from(fields: Fields) -> Heartbeat {
        Heartbeat {
            instance: fields.0,
            start: fields.1,
            is_leaving: fields.2,
            operator_version: fields.3,
            backends_version: fields.4,
            had_store_ms: fields.5,
            can_watch: fields.6,
            requested: fields.7,
        }
    }
}

impl From<Heartbeat> for Fields {
    fn from(heartbeat: Heartbeat) -> Fields {
        (
            heartbeat.instance,
            heartbeat.start,
            heartbeat.is_leaving,
            heartbeat.operator_version,
            heartbeat.backends_version,
            heartbeat.had_store_ms,
            heartbeat.can_watch,
            heartbeat.requested,
        )
    }
}
