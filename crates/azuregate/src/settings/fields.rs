//! The schema of the settings.

use std::net::{IpAddr, SocketAddr};

use logforth::filter::rustlog::RustLogFilterBuilder;

use crate::jsonc::{
    Field,
    Presence::{self, Nullable, Optional, Required},
    Schema,
};

/// Maximum length of the name of an instance, region or availability zone.
const MAX_NAME_BYTES: usize = 63;
const MAX_STOP_DELAY_MS: u64 = 3_600_000;
/// With less, nothing is left for clients.
const MIN_MEMORY_MB: u64 = 48;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MIN_FDS: u64 = 256;
const MAX_FDS: u64 = 1 << 20;
const MAX_LINK_DELAY_MS: u64 = 60_000;
const MAX_LINK_MBIT_PER_S: u64 = 10_000_000;
/// Bounds of the polling interval. Shorter intervals overload the platform if there are
/// many instances, and longer ones delay accepted changes too much.
const POLL_RANGE_MS: (u64, u64) = (50, 60_000);
const MAX_PLATFORM_TIMEOUT_MS: u64 = 60_000;

/// The log levels in increasing verbosity.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

const PORT: Schema = Schema::Integer { min: 1, max: 65_535 };
const NAME: Schema = Schema::String(name);
const LINK_DELAY: Schema = Schema::Integer { min: 0, max: MAX_LINK_DELAY_MS };

/// The schema of the settings file.
pub(super) const SETTINGS: Schema = Schema::Object(&[
    field("instance", Required, NAME),
    field("zone", Required, NAME),
    field("ip", Required, Schema::String(ip)),
    field("traffic_port", Required, PORT),
    field("peer_port", Required, PORT),
    field("operators_port", Required, PORT),
    field("status_port", Required, PORT),
    field("platform", Required, PLATFORM),
    field("topology", Required, TOPOLOGY),
    field("statsd_addr", Nullable, Schema::String(addr)),
    field("log_filter", Optional, Schema::String(log_filter)),
    field("stop_delay_ms", Optional, Schema::Integer { min: 0, max: MAX_STOP_DELAY_MS }),
    field("memory_mb", Optional, Schema::Integer { min: MIN_MEMORY_MB, max: MAX_MEMORY_MB }),
    field("max_fds", Optional, Schema::Integer { min: MIN_FDS, max: MAX_FDS }),
]);

const PLATFORM: Schema = Schema::Object(&[
    field("addr", Required, Schema::String(addr)),
    field("poll_ms", Optional, Schema::Integer { min: POLL_RANGE_MS.0, max: POLL_RANGE_MS.1 }),
    field("timeout_ms", Optional, Schema::Integer { min: 1, max: MAX_PLATFORM_TIMEOUT_MS }),
]);

const TOPOLOGY: Schema = Schema::Object(&[
    field("regions", Required, Schema::NonEmptyArray(&REGION)),
    field("zone_delay_ms", Required, LINK_DELAY),
    field("region_delay_ms", Required, LINK_DELAY),
    field("link_mbit_per_s", Required, Schema::Integer { min: 1, max: MAX_LINK_MBIT_PER_S }),
]);

const REGION: Schema = Schema::Object(&[
    field("name", Required, NAME),
    field("zones", Required, Schema::NonEmptyArray(&NAME)),
]);

const fn field(key: &'static str, presence: Presence, schema: Schema) -> Field {
    Field { key, presence, schema }
}

fn name(text: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(format!("must be 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens or underscores"))
}

fn ip(text: &str) -> Result<(), String> {
    let ip: IpAddr = text.parse().map_err(|_| "must be an IP number".to_owned())?;
    check_host_ip(ip)
}

fn addr(text: &str) -> Result<(), String> {
    let addr: SocketAddr =
        text.parse().map_err(|_| "must be an IP number and a port".to_owned())?;
    if addr.port() == 0 {
        return Err("must have a port of 1 to 65535".to_owned());
    }
    check_host_ip(addr.ip())
}

/// Rejects unspecified and multicast addresses: other instances connect to the address,
/// so it must belong to one host.
fn check_host_ip(ip: IpAddr) -> Result<(), String> {
    if ip.is_unspecified() || ip.is_multicast() {
        return Err("must be the IP number of one machine".to_owned());
    }
    Ok(())
}

fn log_filter(text: &str) -> Result<(), String> {
    // The library takes a single word that is not a level for the name of a module, so
    // a misspelt level would disable all other logging.
    let is_valid_directive = |part: &str| part.contains('=') || LEVELS.contains(&part.trim());
    let parses = RustLogFilterBuilder::try_from_spec(text).is_ok();
    if parses && text.split(',').all(is_valid_directive) {
        return Ok(());
    }
    Err(format!("must be one of {}, or a list of module=level", LEVELS.join(", ")))
}
