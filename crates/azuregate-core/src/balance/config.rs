//! The operator's configuration: routes, services and limits.

use std::{collections::BTreeMap, fmt, sync::Arc};

use crate::names::{RegionName, ServiceName};

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

/// A service that may serve a route, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other destinations.
    pub weight: f64,
}

/// Where requests for a host and a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time for which a client is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most.
    pub target_latency_ms: u64,
    /// How many backend servers may run one request.
    pub attempts: u32,
    /// The urgency, 0 being the most urgent.
    pub priority: u32,
    /// Whether backend servers work faster on objects that they handled recently.
    pub has_session_affinity: bool,
    /// The services, at least one.
    pub destinations: Vec<Destination>,
    /// The only regions that may serve the route; all if empty.
    pub home_regions: Vec<RegionName>,
}

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one of its backend servers accepts from all callers.
    pub connection_limit: u32,
    /// How long a backend server is cold after its start.
    pub cold_ms: u64,
    /// Requests a second that a cold backend server tolerates; 0 for any number.
    pub cold_rate_per_s: f64,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub header_bytes: usize,
    /// The longest body of a request.
    pub body_bytes: usize,
    /// How long a client may take to send a head.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// What a [`Config`] is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigParts {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// What clients may send.
    pub limits: ClientLimits,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes, each with its host.
    pub routes: Vec<(String, Arc<Route>)>,
}

/// A configuration that holds together.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    version: u64,
    limits: ClientLimits,
    services: BTreeMap<ServiceName, Service>,
    /// For each host its routes, those with the longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

/// A configuration that does not hold together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

impl Config {
    /// Checks and sorts a configuration.
    ///
    /// # Errors
    ///
    /// When a route names an unknown service, has a malformed prefix, no
    /// attempts or no weight, or stands twice.
    pub fn new(parts: ConfigParts) -> Result<Config, ConfigError> {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for (host, route) in parts.routes {
            check(&route, &parts.services)?;
            hosts.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for (host, routes) in &mut hosts {
            routes
                .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.prefix.cmp(&b.prefix)));
            if let Some(pair) = routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
                return Err(ConfigError(format!("{host}{} stands twice", pair[0].prefix)));
            }
        }
        Ok(Config { version: parts.version, limits: parts.limits, services: parts.services, hosts })
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What clients may send.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// What the operator says of `service`.
    pub fn service(&self, service: &ServiceName) -> Option<&Service> {
        self.services.get(service)
    }

    /// The route of a request: among those of its host the one with the longest
    /// prefix that begins `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn check(route: &Route, services: &BTreeMap<ServiceName, Service>) -> Result<(), ConfigError> {
    let problem = |problem: &str| Err(ConfigError(format!("route {}: {problem}", route.name)));
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return problem("the prefix does not begin and end with a slash");
    }
    if route.attempts == 0 {
        return problem("no attempts");
    }
    if let Some(unknown) = route.destinations.iter().find(|d| !services.contains_key(&d.service)) {
        return problem(&format!("service {} is not defined", unknown.service));
    }
    let weights = route.destinations.iter().map(|d| d.weight);
    if weights.clone().any(|w| !w.is_finite() || w < 0.0) || weights.sum::<f64>() <= 0.0 {
        return problem("the weights do not add up to a share");
    }
    Ok(())
}
