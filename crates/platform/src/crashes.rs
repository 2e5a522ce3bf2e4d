//! Encodes and decodes the rows of quarantined requests.
//!
//! The instances remember quarantined requests together. The rows outlast a restart of all
//! instances at once.

use azuregate_core::balance::{BackendRun, Fingerprint};
use serde::{Deserialize, Serialize};

use crate::store::{DecodeError, decode_json};

/// Crashes of backend servers with their times in Unix milliseconds.
pub type TimedCrashes = Vec<(BackendRun, u64)>;

#[derive(Deserialize, Serialize)]
struct Row {
    crashes: TimedCrashes,
}

/// Returns the key of the row of `request`.
pub fn key(request: Fingerprint) -> String {
    request.to_string()
}

/// Encodes the value of the row of a request that was in flight at `crashes`.
pub fn encode(crashes: TimedCrashes) -> Vec<u8> {
    serde_json::to_vec(&Row { crashes }).expect("numbers always serialize to JSON")
}

/// Decodes the row `key` of a request.
///
/// # Errors
///
/// Returns an error if the key or the value is malformed.
pub fn decode(key: &str, value: &[u8]) -> Result<(Fingerprint, TimedCrashes), DecodeError> {
    let request = u64::from_str_radix(key, 16)
        .map_err(|_| DecodeError::new("the key is not a hexadecimal number"))?;
    let row: Row = decode_json(value)?;
    Ok((Fingerprint(request), row.crashes))
}
