//! Encodes and decodes the rows in which entry instances register themselves.

use std::net::{IpAddr, SocketAddr};

use azuregate_core::{
    balance::Member,
    names::{InstanceId, StartNumber, ZoneName},
};
use serde::{Deserialize, Serialize};

use crate::store::{DecodeError, decode_json};

#[derive(Deserialize, Serialize)]
struct Row {
    traffic: SocketAddr,
    ip: IpAddr,
    zone: String,
    start: u64,
    /// Instances of older versions have none.
    #[serde(default)]
    forwarding_port: Option<u16>,
}

/// Encodes the value of an instance's row, whose key is the instance's name.
pub fn encode(member: &Member) -> Vec<u8> {
    let row = Row {
        traffic: member.traffic_addr,
        ip: member.ip,
        zone: member.zone.as_str().to_owned(),
        start: member.start.0,
        forwarding_port: member.forwarding_port,
    };
    serde_json::to_vec(&row).expect("strings, addresses and numbers always serialize to JSON")
}

/// Decodes the row `key` of an instance.
///
/// # Errors
///
/// Returns an error if the row is malformed or a field is missing.
pub fn decode(key: &str, value: &[u8]) -> Result<Member, DecodeError> {
    let row: Row = decode_json(value)?;
    Ok(Member {
        instance: InstanceId::new(key),
        start: StartNumber(row.start),
        ip: row.ip,
        traffic_addr: row.traffic,
        forwarding_port: row.forwarding_port,
        zone: ZoneName::new(&row.zone),
    })
}
