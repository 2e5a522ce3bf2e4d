/*!
The settings of an entry instance: JSON with comments.

`fields` says what each setting may be, `check` what must hold between several.
A file is checked as a whole, so that one look mends all of it.
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

/// The settings of an entry instance. What operators may change at run time is
/// not here: it is policy, and lives in the platform's tables.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, as the platform lists it.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The IP number that all its ports are opened on.
    pub ip: IpAddr,
    /// Where callers reach it.
    pub traffic_port: u16,
    /// Where the other instances reach it.
    pub peer_port: u16,
    /// Where operators reach it by gRPC.
    pub operators_port: u16,
    /// Where health, readiness and histograms are read by HTTP.
    pub status_port: u16,
    /// The platform.
    pub platform: PlatformSettings,
    /// Regions, availability zones and the links between them.
    pub topology: Topology,
    /// Where metrics go in the statsd format; nowhere if left out.
    #[serde(default)]
    pub statsd_addr: Option<SocketAddr>,
    /// What is logged: a level, or a list of `module=level`.
    #[serde(default = "default_log_filter")]
    pub log_filter: String,
    /// How long a planned stop goes on serving callers that cached this entry.
    #[serde(default = "default_stop_delay_ms")]
    pub stop_delay_ms: u64,
}

/// How the platform is reached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// How often tables and the instance list are read.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// How long a call may take.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_log_filter() -> String {
    "info".to_owned()
}

fn default_stop_delay_ms() -> u64 {
    6_000
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
    /// When the file cannot be read or says something that cannot be used; all
    /// that is wrong is told at once.
    pub fn load(path: &Path) -> Result<Settings, Report<SettingsError>> {
        let text = fs::read_to_string(path)
            .map_err(Report::new)
            .change_context_lazy(|| SettingsError::default().in_file(path))?;
        parse(&text).map_err(|e| Report::new(e.in_file(path)))
    }

    /// What can be used and is probably not meant.
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

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// When the text says something that cannot be used; all that is wrong is
    /// told at once.
    pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
        parse(text).map_err(Report::new)
    }
}

fn parse(text: &str) -> Result<Settings, SettingsError> {
    jsonc::check(text, &fields::SETTINGS, check::cross_checks).map_err(SettingsError::new)?;
    jsonc::deserialize(text).map_err(|e| SettingsError::new(vec![e]))
}
