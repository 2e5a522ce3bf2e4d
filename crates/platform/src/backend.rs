//! Decodes the rows in which backend servers register themselves.

use std::net::SocketAddr;

use azuregate_core::{
    balance::Backend,
    names::{BackendId, ServiceName, ZoneName},
};
use serde::Deserialize;

use crate::store::{DecodeError, decode_json};

/// The row of a backend server; unknown fields are ignored.
#[derive(Deserialize)]
struct Row {
    /// The name of the service.
    backend: String,
    address: SocketAddr,
    zone: String,
    /// The number of requests that the server processes concurrently.
    capacity: u32,
    state: State,
    /// Remaining time of the slow start, in seconds.
    #[serde(rename = "warmupLeftS", default)]
    warmup_left_s: f64,
    /// Start time, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes the row `key` of a backend server.
///
/// # Errors
///
/// Returns an error if a field is missing, has the wrong type or is out of range,
/// or if the state is unknown.
pub fn decode(key: &str, value: &[u8]) -> Result<Backend, DecodeError> {
    let row: Row = decode_json(value)?;
    if !row.warmup_left_s.is_finite() || row.capacity == 0 {
        return Err(DecodeError::new("capacity is 0 or warmupLeftS is not a finite number"));
    }
    Ok(Backend {
        id: BackendId::new(key),
        service: ServiceName::new(&row.backend),
        addr: row.address,
        zone: ZoneName::new(&row.zone),
        slots: row.capacity,
        is_draining: row.state == State::Draining,
        cold_left_ms: (row.warmup_left_s.max(0.0) * 1_000.0) as u64,
        start_epoch_ms: row.born,
    })
}
