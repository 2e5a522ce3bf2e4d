/*!
The settings of an entry instance: JSON with comments.

`fields` defines the schema, and `check` the constraints between several settings. All
errors in a file are reported at once.
*/

mod check;
mod errors;
mod fields;

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use azuregate_core::{
    entries::MAX_AGE_S,
    names::{InstanceId, ZoneName},
    topology::Topology,
};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

use crate::jsonc;

pub use errors::SettingsError;

/// The settings of an entry instance.
///
/// Everything that operators can change at run time is part of a policy instead, and
/// is stored in the platform's tables.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, as the platform lists it.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The IP address on which all its ports are opened.
    pub ip: IpAddr,
    /// The port for callers.
    pub traffic_port: u16,
    /// The port for the other instances.
    pub peer_port: u16,
    /// The port of the operators' gRPC service.
    pub operators_port: u16,
    /// The HTTP port for health, readiness and histograms.
    pub status_port: u16,
    /// The platform.
    pub platform: PlatformSettings,
    /// Regions, availability zones and the links between them.
    pub topology: Topology,
    /// The statsd receiver of metrics; `None` disables them.
    #[serde(default)]
    pub statsd_addr: Option<SocketAddr>,
    /// The log filter: a level, or a list of `module=level`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
    /// How long a planned stop keeps serving callers that have cached this instance's
    /// address.
    #[serde(default = "default_stop_delay_ms")]
    pub stop_delay_ms: u64,
    /// The memory of the machine, in MiB, of which clients may hold a part.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The file descriptors that the process may have open, half of which connections of clients may use.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
}

/// The settings of the connection to the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// The polling interval for tables and the instance list.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// The timeout of one call.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_log_filter() -> String {
    "info".to_owned()
}

fn default_stop_delay_ms() -> u64 {
    6_000
}

fn default_memory_mb() -> u64 {
    256
}

fn default_max_fds() -> u64 {
    16_384
}

fn default_poll_ms() -> u64 {
    500
}

fn default_platform_timeout_ms() -> u64 {
    1_000
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, or with all errors in it if it is invalid.
    pub fn load(path: &Path) -> Result<Settings, Report<SettingsError>> {
        let text = fs::read_to_string(path)
            .map_err(Report::new)
            .change_context_lazy(|| SettingsError::default().in_file(path))?;
        parse(&text).map_err(|e| Report::new(e.in_file(path)))
    }

    /// Returns warnings about settings that are valid but probably unintended.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        let max_age_ms = MAX_AGE_S * 1_000;
        if self.stop_delay_ms < max_age_ms {
            warnings.push(format!(
                "stop_delay_ms is {}, but callers may keep an answer for {max_age_ms} ms: a \
                 planned stop will cut off those that do",
                self.stop_delay_ms
            ));
        }
        warnings
    }

    /// Parses settings.
    ///
    /// # Errors
    ///
    /// With all errors in the text if it is invalid.
    pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
        parse(text).map_err(Report::new)
    }
}

fn parse(text: &str) -> Result<Settings, SettingsError> {
    jsonc::check(text, &fields::SETTINGS, check::cross_checks).map_err(SettingsError::new)?;
    jsonc::deserialize(text).map_err(|e| SettingsError::new(vec![e]))
}
