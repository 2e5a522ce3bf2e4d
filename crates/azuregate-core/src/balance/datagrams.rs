//! What entry instances tell each other by datagrams.

use serde::{Deserialize, Serialize};

use crate::names::StartNumber;

/// A datagram from one entry instance to another.
///
/// Each is sent to all others several times a second, so its bytes count: fields go
/// without their names, in the order of the types below.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// That an instance lives, and what it has seen.
    Heartbeat(Heartbeat),
    /// What an instance has at the backend servers.
    Load(Load),
}

/// What an instance has at the backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load(
    /// The instance.
    pub String,
    /// A hash of each server's name, and the number of requests there.
    pub Vec<(u32, u32)>,
);

/// That an instance lives, and what it has seen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Heartbeat {
    /// The instance.
    pub instance: String,
    /// Tells its starts apart.
    pub start: StartNumber,
    /// Whether it ends by a planned stop.
    pub is_leaving: bool,
    /// The version of the last change of the operator's table that it has seen.
    pub operator_version: u64,
    /// The same of the table of backend servers.
    pub backends_version: u64,
    /// For how long it has had the store without a break, in milliseconds.
    pub had_store_ms: u64,
    /// Whether it may watch the store for others.
    pub can_watch: bool,
    /// Some objects that it got requests for, by a hash.
    pub requested: Vec<u32>,
}

/// The fields of a [`Heartbeat`] as they are sent.
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
