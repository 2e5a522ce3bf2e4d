//! The settings file that the platform writes for each process.

use std::{
    collections::BTreeMap,
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
};

use azuregate_core::names::{InstanceId, RegionName, ZoneName};

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "AZUREGATE_SETTINGS";
/// Path of the settings file if the variable is not set.
const DEFAULT_PATH: &str = "/etc/azuregate/node.conf";
/// Limits of a machine for which the settings have none.
const DEFAULT_MEMORY_MB: u64 = 256;
const DEFAULT_MAX_FDS: u64 = 16_384;

/// Settings of one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's name.
    pub instance: InstanceId,
    /// Its IP address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The region of each availability zone.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Address at which clients send requests.
    pub traffic_addr: SocketAddr,
    /// Address of the readiness probe.
    pub readiness_addr: SocketAddr,
    /// Address at which clients look up instances.
    pub lookup_addr: SocketAddr,
    /// The first port for traffic between instances; the same on all instances.
    pub peer_port: u16,
    /// The last port for traffic between instances.
    pub last_peer_port: u16,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Interval at which backend servers renew their rows.
    pub heartbeat_ms: u64,
    /// Memory of the machine, in MiB, beyond which the process is killed.
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    pub max_fds: u64,
    /// Bounds that apply to the whole deployment.
    pub bounds: Bounds,
}

/// Bounds that all instances of a deployment keep together.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time since an instance's last contact after which lookups must no longer
    /// return it.
    pub instance_expiry_ms: u64,
    /// Time after which a change that the store acknowledged must be in effect: the
    /// shortest of the bounds for draining servers, configurations and evacuations.
    pub propagation_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period_ms: u64,
    /// Retries of a service as a share of its requests.
    pub retry_budget_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window_ms: u64,
    /// Additional retries allowed per window.
    pub retry_burst: f64,
    /// Factor applied to the request rate of a backend server that is warming up.
    pub cold_rate_factor: f64,
    /// Additional requests per second for a backend server that is warming up.
    pub cold_rate_slack: f64,
    /// Maximum time for which clients may cache the response to a lookup.
    pub lookup_ttl_ms: u64,
}

/// An error for settings that are missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    problems: Vec<String>,
}

impl SettingsError {
    /// Returns one message per missing or invalid field.
    pub fn problems(&self) -> &[String] {
        &self.problems
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings cannot be used: {}", self.problems.join("; "))
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns the port for requests that other instances forward: the last one, unless it is also
    /// the first.
    pub fn forwarding_port(&self) -> Option<u16> {
        (self.last_peer_port != self.peer_port).then_some(self.last_peer_port)
    }

    /// Returns the path of the settings file.
    pub fn path() -> PathBuf {
        std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// Parses a settings file, which consists of lines `name=value`. Unknown names
    /// are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error that lists all missing and invalid fields.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let mut fields = Fields::new(text);
        let settings = fields.settings();
        match settings {
            Some(settings) if fields.problems.is_empty() => Ok(settings),
            _ => Err(SettingsError { problems: fields.problems }),
        }
    }
}

struct Fields<'a> {
    values: BTreeMap<&'a str, &'a str>,
    problems: Vec<String>,
}

impl<'a> Fields<'a> {
    fn new(text: &'a str) -> Fields<'a> {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        let values = pairs.map(|(name, value)| (name.trim(), value.trim())).collect();
        Fields { values, problems: Vec::new() }
    }

    fn settings(&mut self) -> Option<Settings> {
        // Parse every field before returning, so that the error lists all problems.
        let instance = self.required::<String>("self.nodeName");
        let ip = self.required("self.ip");
        let zone = self.required::<String>("self.zone");
        let region = self.required::<String>("self.region");
        let traffic_addr = self.required("network.listen.frontend");
        let readiness_addr = self.required("network.listen.readiness");
        let lookup_addr = self.required("network.listen.directory");
        let store_addr = self.required("provider.provider.address");
        let ports = self.port_range("network.internalPorts");
        let heartbeat_ms = self.millis("provider.heartbeatS", 1_500);
        let memory_mb = self.limit("self.limits.memoryMb", DEFAULT_MEMORY_MB);
        let max_fds = self.limit("self.limits.maxFds", DEFAULT_MAX_FDS);
        let bounds = self.bounds();
        let (peer_port, last_peer_port) = ports?;
        Some(Settings {
            instance: InstanceId::new(&instance?),
            ip: ip?,
            zone: ZoneName::new(&zone?),
            region: RegionName::new(&region?),
            zones: self.zones(),
            traffic_addr: traffic_addr?,
            readiness_addr: readiness_addr?,
            lookup_addr: lookup_addr?,
            peer_port,
            last_peer_port,
            store_addr: store_addr?,
            heartbeat_ms,
            memory_mb,
            max_fds,
            bounds,
        })
    }

    /// The bounds are optional; the defaults are those of the platform's example.
    fn bounds(&mut self) -> Bounds {
        Bounds {
            instance_expiry_ms: self.millis("terms.bounds.contactS", 3_000),
            propagation_ms: self
                .millis("terms.bounds.drainS", 2_000)
                .min(self.millis("terms.bounds.configApplyS", 2_000))
                .min(self.millis("terms.bounds.evacuateS", 5_000)),
            grace_period_ms: self.millis("terms.bounds.graceS", 6_000),
            retry_budget_ratio: self.number("terms.bounds.retryBudgetRatio", 0.2),
            retry_window_ms: self.millis("terms.bounds.retryWindowS", 10_000),
            retry_burst: self.number("terms.bounds.retryBurst", 0.0),
            cold_rate_factor: self.number("terms.bounds.warmupOverage", 1.0),
            cold_rate_slack: self.number("terms.bounds.warmupSlack", 0.0),
            lookup_ttl_ms: self.millis("terms.bounds.ttl_max_s", 5_000),
        }
    }

    fn zones(&self) -> BTreeMap<ZoneName, RegionName> {
        let named = self.values.iter().filter_map(|(name, region)| {
            let zone = name.strip_prefix("network.zones.")?;
            Some((ZoneName::new(zone), RegionName::new(region)))
        });
        named.collect()
    }

    fn required<T: FromStr>(&mut self, name: &str) -> Option<T> {
        match self.values.get(name) {
            None | Some(&"") => self.problem(format!("{name} is missing")),
            Some(value) => match value.parse() {
                Ok(value) => Some(value),
                Err(_) => self.problem(format!("{name}: {value:?} cannot be parsed")),
            },
        }
    }

    fn port_range(&mut self, name: &str) -> Option<(u16, u16)> {
        let text = self.required::<String>(name)?;
        let mut ports = text.split(',').map(|port| port.trim().parse().ok());
        match (ports.next().flatten(), ports.next().flatten()) {
            (Some(first), Some(last)) if first <= last => Some((first, last)),
            _ => self.problem(format!("{name}: {text:?} is not a port range FIRST,LAST")),
        }
    }

    fn number(&mut self, name: &str, default: f64) -> f64 {
        let Some(text) = self.values.get(name) else { return default };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => number,
            _ => {
                let _ =
                    self.problem::<f64>(format!("{name}: {text:?} is not a non-negative number"));
                default
            }
        }
    }

    /// Parses a limit of the machine. The platform leaves out what it does not limit.
    fn limit(&mut self, name: &str, default: u64) -> u64 {
        match self.number(name, 0.0) as u64 {
            0 => default,
            limit => limit,
        }
    }

    /// Parses a duration in seconds.
    fn millis(&mut self, name: &str, default_ms: u64) -> u64 {
        (self.number(name, default_ms as f64 / 1_000.0) * 1_000.0).round() as u64
    }

    fn problem<T>(&mut self, problem: String) -> Option<T> {
        self.problems.push(problem);
        None
    }
}
