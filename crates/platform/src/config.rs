//! The operator's configuration and its requests to evacuate zones.

use std::sync::Arc;

use azuregate_core::{
    balance::{ClientLimits, Config, ConfigParts, Destination, RequestKind, Route, Service},
    names::{RegionName, ServiceName, ZoneName},
};
use serde::Deserialize;

use crate::store::{DecodeError, decode_json};

/// The row that holds the newest configuration.
const CONFIG_KEY: &str = "config";
/// What the keys of rows begin with that ask to evacuate a zone.
const EVACUATE_PREFIX: &str = "evacuate/";

/// What a row of the operator's table is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRow {
    /// The configuration.
    Config,
    /// A request that the zone gets nothing while the row is there.
    Evacuate(ZoneName),
    /// Something that is not known here.
    Other,
}

/// Tells from its key what a row of the operator's table is about.
pub fn operator_row(key: &str) -> OperatorRow {
    if key == CONFIG_KEY {
        return OperatorRow::Config;
    }
    match key.strip_prefix(EVACUATE_PREFIX) {
        Some(zone) => OperatorRow::Evacuate(ZoneName::new(zone)),
        None => OperatorRow::Other,
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Document {
    /// Eight hexadecimal digits.
    config_version: String,
    limits: Limits,
    listeners: Vec<Listener>,
    clusters: Vec<Cluster>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// The routes of one host.
#[derive(Deserialize)]
struct Listener {
    host: String,
    rules: Vec<Rule>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rule {
    name: String,
    /// What may be repeated.
    r#type: Kind,
    target_latency_s: f64,
    #[serde(default)]
    priority: u32,
    /// Whether it pays to send requests for one object to the same server.
    #[serde(default)]
    session_affinity: bool,
    r#match: Match,
    action: Action,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
    Upload,
}

#[derive(Deserialize)]
struct Match {
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Action {
    /// The only service, where there is no split.
    backend: Option<String>,
    traffic_split: Option<Vec<Part>>,
    timeout_s: f64,
    attempts: u32,
    #[serde(default)]
    home_regions: Vec<String>,
}

#[derive(Deserialize)]
struct Part {
    backend: String,
    weight: f64,
}

/// A service.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Cluster {
    name: String,
    max_conns: u32,
    #[serde(default)]
    warmup_s: f64,
    #[serde(default)]
    warmup_per_s: f64,
}

/// Decodes a configuration.
///
/// # Errors
///
/// When it cannot be read, or does not hold together: a prefix without its
/// slashes, a service that is not defined, no attempts, two rules in the same
/// place.
pub fn decode(value: &[u8]) -> Result<Config, DecodeError> {
    let document: Document = decode_json(value)?;
    let version = u64::from_str_radix(&document.config_version, 16)
        .map_err(|_| DecodeError::new("the version is not hexadecimal"))?;
    let limits = ClientLimits {
        header_bytes: document.limits.max_header_bytes,
        body_bytes: document.limits.max_body_bytes,
        header_timeout_ms: millis(document.limits.header_timeout_s)?,
        idle_timeout_ms: millis(document.limits.idle_timeout_s)?,
    };
    let services = document.clusters.iter().map(service).collect::<Result<_, _>>()?;
    let mut routes = Vec::new();
    for listener in &document.listeners {
        for rule in &listener.rules {
            routes.push((listener.host.clone(), Arc::new(route(rule)?)));
        }
    }
    Config::new(ConfigParts { version, limits, services, routes })
        .map_err(|e| DecodeError::new(&e.to_string()))
}

fn service(cluster: &Cluster) -> Result<(ServiceName, Service), DecodeError> {
    let service = Service {
        connection_limit: cluster.max_conns,
        cold_ms: millis(cluster.warmup_s)?,
        cold_rate_per_s: cluster.warmup_per_s.max(0.0),
    };
    Ok((ServiceName::new(&cluster.name), service))
}

fn route(rule: &Rule) -> Result<Route, DecodeError> {
    let destinations = match (&rule.action.traffic_split, &rule.action.backend) {
        (Some(parts), _) => {
            parts.iter().map(|part| destination(&part.backend, part.weight)).collect()
        }
        (None, Some(service)) => vec![destination(service, 1.0)],
        (None, None) => return Err(DecodeError::new("a rule names no service")),
    };
    Ok(Route {
        name: rule.name.clone(),
        prefix: rule.r#match.prefix.clone(),
        kind: match rule.r#type {
            Kind::Idempotent => RequestKind::Idempotent,
            Kind::NonIdempotent | Kind::Upload => RequestKind::NonIdempotent,
        },
        timeout_ms: millis(rule.action.timeout_s)?,
        target_latency_ms: millis(rule.target_latency_s)?,
        attempts: rule.action.attempts,
        priority: rule.priority,
        has_session_affinity: rule.session_affinity,
        destinations,
        home_regions: rule.action.home_regions.iter().map(|name| RegionName::new(name)).collect(),
    })
}

fn destination(service: &str, weight: f64) -> Destination {
    Destination { service: ServiceName::new(service), weight }
}

fn millis(seconds: f64) -> Result<u64, DecodeError> {
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(DecodeError::new("a time is out of range"));
    }
    Ok((seconds * 1_000.0).round() as u64)
}
