//! Decodes the operator's configuration and its requests to evacuate zones.

use std::sync::Arc;

use azuregate_core::{
    balance::{ClientLimits, Config, ConfigParts, Destination, RequestKind, Route, Service},
    names::{RegionName, ServiceName, ZoneName},
};
use serde::Deserialize;

use crate::store::{DecodeError, decode_json};

/// Key of the row that holds the current configuration.
const CONFIG_KEY: &str = "config";
/// Prefix of the keys that request the evacuation of a zone.
const EVACUATE_PREFIX: &str = "evacuate/";

/// The meaning of a key in the operator's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorKey {
    /// The configuration.
    Config,
    /// A request to send no traffic to the zone while the row exists.
    Evacuate(ZoneName),
    /// Any other key.
    Unknown,
}

/// Parses the key of a row in the operator's table.
pub fn parse_operator_key(key: &str) -> OperatorKey {
    if key == CONFIG_KEY {
        return OperatorKey::Config;
    }
    match key.strip_prefix(EVACUATE_PREFIX) {
        Some(zone) => OperatorKey::Evacuate(ZoneName::new(zone)),
        None => OperatorKey::Unknown,
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
    /// Determines which requests may be retried.
    r#type: RuleKind,
    target_latency_s: f64,
    #[serde(default)]
    priority: u32,
    /// Whether backend servers serve repeated requests for one object faster.
    #[serde(default)]
    session_affinity: bool,
    r#match: Match,
    action: Action,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RuleKind {
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
    /// The only service, used if there is no `traffic_split`.
    backend: Option<String>,
    traffic_split: Option<Vec<WeightedBackend>>,
    timeout_s: f64,
    attempts: u32,
    #[serde(default)]
    home_regions: Vec<String>,
}

#[derive(Deserialize)]
struct WeightedBackend {
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
/// Returns an error if the document is malformed or inconsistent: a prefix that
/// does not begin and end with a slash, an undefined service, zero attempts, or
/// two rules with the same host and prefix.
pub fn decode(value: &[u8]) -> Result<Config, DecodeError> {
    let document: Document = decode_json(value)?;
    let version = u64::from_str_radix(&document.config_version, 16)
        .map_err(|_| DecodeError::new("configVersion is not a hexadecimal number"))?;
    let limits = ClientLimits {
        header_bytes: document.limits.max_header_bytes,
        body_bytes: document.limits.max_body_bytes,
        header_timeout_ms: seconds_to_millis(document.limits.header_timeout_s)?,
        idle_timeout_ms: seconds_to_millis(document.limits.idle_timeout_s)?,
    };
    let services = document.clusters.iter().map(decode_service).collect::<Result<_, _>>()?;
    let mut routes = Vec::new();
    for listener in &document.listeners {
        for rule in &listener.rules {
            routes.push((listener.host.clone(), Arc::new(decode_route(rule)?)));
        }
    }
    Config::new(ConfigParts { version, limits, services, routes })
        .map_err(|e| DecodeError::new(&e.to_string()))
}

fn decode_service(cluster: &Cluster) -> Result<(ServiceName, Service), DecodeError> {
    let service = Service {
        connection_limit: cluster.max_conns,
        cold_ms: seconds_to_millis(cluster.warmup_s)?,
        cold_rate_per_s: cluster.warmup_per_s.max(0.0),
    };
    Ok((ServiceName::new(&cluster.name), service))
}

fn decode_route(rule: &Rule) -> Result<Route, DecodeError> {
    let destinations = match (&rule.action.traffic_split, &rule.action.backend) {
        (Some(parts), _) => {
            parts.iter().map(|part| destination(&part.backend, part.weight)).collect()
        }
        (None, Some(service)) => vec![destination(service, 1.0)],
        (None, None) => {
            return Err(DecodeError::new("a rule has neither backend nor trafficSplit"));
        }
    };
    Ok(Route {
        name: rule.name.clone(),
        prefix: rule.r#match.prefix.clone(),
        kind: match rule.r#type {
            RuleKind::Idempotent => RequestKind::Idempotent,
            RuleKind::NonIdempotent | RuleKind::Upload => RequestKind::NonIdempotent,
        },
        timeout_ms: seconds_to_millis(rule.action.timeout_s)?,
        target_latency_ms: seconds_to_millis(rule.target_latency_s)?,
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

fn seconds_to_millis(seconds: f64) -> Result<u64, DecodeError> {
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(DecodeError::new("a duration is negative or not finite"));
    }
    Ok((seconds * 1_000.0).round() as u64)
}
