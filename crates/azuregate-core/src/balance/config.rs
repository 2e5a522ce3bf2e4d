//! The operator's configuration: routes, services and client limits.

use std::{collections::BTreeMap, fmt, sync::Arc};

use crate::names::{RegionName, ServiceName};

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// A service that serves a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other destinations.
    pub weight: f64,
}

/// A rule for the requests to a host whose path has a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// Upper bound of the time to respond to a client.
    pub timeout_ms: u64,
    /// Latency that responses should stay within.
    pub target_latency_ms: u64,
    /// Maximum number of backend servers that may run one request.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests for one object go to the same backend server, which has it cached.
    pub has_session_affinity: bool,
    /// The services; at least one.
    pub destinations: Vec<Destination>,
    /// The regions that may serve the route; all if empty.
    pub home_regions: Vec<RegionName>,
}

/// The operator's settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections to one backend server from all instances.
    pub connection_limit: u32,
    /// Duration of a backend server's warm-up after its start.
    pub cold_ms: u64,
    /// Maximum rate of requests to a backend server during its warm-up; 0 for no limit.
    pub cold_rate_per_s: f64,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

/// The unvalidated parts of a [`Config`].
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigParts {
    /// The version; a higher one supersedes a lower one.
    pub version: u64,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes, each with the host that it belongs to.
    pub routes: Vec<(String, Arc<Route>)>,
}

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    version: u64,
    limits: ClientLimits,
    services: BTreeMap<ServiceName, Service>,
    /// The routes of each host, by descending length of the prefix.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

/// The error for an inconsistent configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

impl Config {
    /// Validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a route refers to an undefined service, has a malformed prefix, zero
    /// attempts or no positive weight, or if two routes have the same host and prefix.
    pub fn new(parts: ConfigParts) -> Result<Config, ConfigError> {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for (host, route) in parts.routes {
            validate_route(&route, &parts.services)?;
            hosts.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for (host, routes) in &mut hosts {
            routes
                .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.prefix.cmp(&b.prefix)));
            if let Some(pair) = routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
                return Err(ConfigError(format!("two routes for {host}{}", pair[0].prefix)));
            }
        }
        Ok(Config { version: parts.version, limits: parts.limits, services: parts.services, hosts })
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the settings of `service`.
    pub fn service(&self, service: &ServiceName) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| route.name == name)
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn validate_route(
    route: &Route,
    services: &BTreeMap<ServiceName, Service>,
) -> Result<(), ConfigError> {
    let error = |error: &str| Err(ConfigError(format!("route {}: {error}", route.name)));
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return error("the prefix must begin and end with a slash");
    }
    if route.attempts == 0 {
        return error("attempts must be at least 1");
    }
    if let Some(unknown) = route.destinations.iter().find(|d| !services.contains_key(&d.service)) {
        return error(&format!("service {} is not defined", unknown.service));
    }
    let weights = route.destinations.iter().map(|d| d.weight);
    if weights.clone().any(|w| !w.is_finite() || w < 0.0) || weights.sum::<f64>() <= 0.0 {
        return error("weights must be finite and not negative, with a positive sum");
    }
    Ok(())
}
