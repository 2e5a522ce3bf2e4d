//! Example deployments, each described by one file.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use azuregate::settings::{PlatformSettings, Settings};
use azuregate_core::{
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    policy::{Cap, DEFAULT_SHIFT_DELAY_MS, Policy},
    snapshot::{BackendServer, Instance, InstanceList, Liveness},
    topology::Topology,
};
use error_stack::{Report, ResultExt};
use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};

use crate::{
    backends::{Behaviour, Distribution},
    network::{Endpoint, Network},
};

/// Number of clients near each availability zone that have their own IP address.
pub const CLIENTS_PER_ZONE: u8 = 10;
/// Offset of the third octet of the clients' IP addresses from the platform's, for
/// the first availability zone. Each further zone adds one.
const CLIENT_SUBNET_OFFSET: u8 = 100;

fn default_memory_mb() -> u64 {
    256
}

fn default_max_fds() -> u64 {
    16_384
}

/// An example deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Example {
    /// Its name.
    pub name: String,
    /// Regions, availability zones and the links between them.
    pub topology: Topology,
    /// The address that the simulated platform listens on.
    pub platform_addr: SocketAddr,
    /// The ports of every entry instance.
    pub ports: Ports,
    /// How long an entry instance continues to serve after a planned stop begins.
    pub stop_delay_ms: u64,
    /// The memory of each entry instance's machine, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The file descriptors that each entry instance may open.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
    /// The entry instances.
    pub entries: Vec<EntryExample>,
    /// The services with their backend servers.
    pub services: Vec<ServiceExample>,
    /// Whether the entry instances are behind relays that simulate network
    /// delays.
    #[serde(skip)]
    pub relays: bool,
}

/// The ports of every entry instance, each of which has its own IP address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ports {
    /// For callers.
    pub traffic: u16,
    /// For the other instances.
    pub peers: u16,
    /// For operators.
    pub operators: u16,
    /// For health, readiness and histograms.
    pub status: u16,
}

/// Offset of the port of a relay from the port that it forwards to.
const RELAY_PORT_OFFSET: u16 = 1_000;

/// An entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryExample {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP address.
    pub ip: IpAddr,
}

/// A service with its backend servers, spread evenly over all zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceExample {
    /// Its name.
    pub name: ServiceName,
    /// Number of backend servers.
    pub upstreams: u16,
    /// Number of concurrent requests that each backend server accepts.
    pub slots: u32,
    /// Number of connections that each backend server accepts.
    pub connections: usize,
    /// Mean service time of a request.
    pub service_ms: u64,
    /// Distribution of the service times.
    #[serde(default)]
    pub distribution: Distribution,
    /// The IP address of all backend servers.
    pub ip: IpAddr,
    /// The port of the first backend server; the others use the ports after it.
    pub first_port: u16,
}

impl ServiceExample {
    /// Returns the behaviour of its backend servers without injected faults.
    pub fn behaviour(&self) -> Behaviour {
        Behaviour {
            service_ms: self.service_ms,
            distribution: self.distribution,
            ..Behaviour::default()
        }
    }

    /// Returns the rate in requests per second that occupies all of its slots.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = f64::from(u32::from(self.upstreams) * self.slots);
        slots * 1_000.0 / self.service_ms.max(1) as f64
    }
}

/// The error of an example that cannot be loaded.
#[derive(Debug)]
pub struct ExampleError;

impl fmt::Display for ExampleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot load the example")
    }
}

impl std::error::Error for ExampleError {}

impl Example {
    /// Reads an example from a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Example, Report<ExampleError>> {
        let text = fs::read_to_string(path)
            .change_context(ExampleError)
            .attach_with(|| path.display().to_string())?;
        jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
            .change_context(ExampleError)
            .attach_with(|| path.display().to_string())
    }

    /// Returns the settings of an entry instance.
    pub fn settings(&self, entry: &EntryExample) -> Settings {
        Settings {
            instance: entry.id.clone(),
            zone: entry.zone.clone(),
            ip: entry.ip,
            traffic_port: self.ports.traffic,
            peer_port: self.ports.peers,
            operators_port: self.ports.operators,
            status_port: self.ports.status,
            platform: PlatformSettings {
                addr: self.platform_addr,
                poll_ms: 500,
                timeout_ms: 1_000,
            },
            topology: self.topology.clone(),
            statsd_addr: None,
            log_filter: "info".to_owned(),
            stop_delay_ms: self.stop_delay_ms,
            memory_mb: self.memory_mb,
            max_fds: self.max_fds,
        }
    }

    /// Returns the address at which callers reach an entry instance.
    pub fn traffic_addr(&self, entry: &EntryExample) -> SocketAddr {
        SocketAddr::new(entry.ip, self.advertised_port(self.ports.traffic))
    }

    /// Returns the address at which operators reach an entry instance.
    pub fn operators_addr(&self, entry: &EntryExample) -> SocketAddr {
        SocketAddr::new(entry.ip, self.ports.operators)
    }

    /// Returns the ports of an entry instance that have relays, each with the port
    /// of its relay.
    pub fn relayed_ports(&self) -> [(u16, u16); 2] {
        [self.ports.traffic, self.ports.peers].map(|port| (port, port + RELAY_PORT_OFFSET))
    }

    fn advertised_port(&self, port: u16) -> u16 {
        if self.relays { port + RELAY_PORT_OFFSET } else { port }
    }

    /// Returns the instance list in which every instance and backend server is
    /// live.
    pub fn instance_list(&self) -> InstanceList {
        let instances = self.entries.iter().map(|entry| Instance {
            id: entry.id.clone(),
            zone: entry.zone.clone(),
            ip: entry.ip,
            traffic_port: self.advertised_port(self.ports.traffic),
            peer_port: self.advertised_port(self.ports.peers),
            liveness: Liveness::Live,
        });
        let backends = self.services.iter().flat_map(|service| self.backends(service));
        InstanceList { instances: instances.collect(), backends: backends.collect() }
    }

    /// Returns the network of the entry instances and clients.
    pub fn network(&self) -> Network {
        let entries = self.entries.iter().map(|e| (e.ip, Endpoint::Entry(e.zone.clone())));
        let zones = self.topology.zones();
        let clients = zones.flat_map(|zone| {
            let ips = (0..CLIENTS_PER_ZONE).map(|rank| self.client_ip(zone, rank));
            ips.map(|ip| (ip, Endpoint::Clients(zone.clone())))
        });
        Network::new(self.topology.clone(), entries.chain(clients).collect())
    }

    /// Returns the IP address of one of the [`CLIENTS_PER_ZONE`] clients near an
    /// availability zone.
    pub fn client_ip(&self, zone: &ZoneName, rank: u8) -> IpAddr {
        let index = self.topology.zones().position(|z| z == zone).unwrap_or(0);
        let IpAddr::V4(platform) = self.platform_addr.ip() else {
            return self.platform_addr.ip();
        };
        let [a, b, c, _] = platform.octets();
        let subnet = CLIENT_SUBNET_OFFSET.wrapping_add(u8::try_from(index).unwrap_or(u8::MAX));
        IpAddr::from([a, b, c.wrapping_add(subnet), 1 + rank % CLIENTS_PER_ZONE])
    }

    /// Returns the same example on other loopback addresses, with this second
    /// octet.
    ///
    /// Closed connections hold their ports in the `TIME_WAIT` state. Without other
    /// addresses, a run after one that opened many connections runs out of ports.
    pub fn with_loopback_subnet(&self, second_octet: u8) -> Example {
        let replace = |ip: IpAddr| match ip {
            IpAddr::V4(ip) => {
                let [first, _, third, fourth] = ip.octets();
                IpAddr::from([first, second_octet, third, fourth])
            }
            IpAddr::V6(_) => ip,
        };
        let mut example = self.clone();
        example.platform_addr.set_ip(replace(example.platform_addr.ip()));
        for entry in &mut example.entries {
            entry.ip = replace(entry.ip);
        }
        for service in &mut example.services {
            service.ip = replace(service.ip);
        }
        example
    }

    /// Returns the availability zone of the platform, which is the first one.
    pub fn platform_zone(&self) -> ZoneName {
        self.topology.zones().next().cloned().unwrap_or_else(|| ZoneName::new(""))
    }

    /// Returns the backend servers of a service, spread evenly over all zones.
    pub fn backends(&self, service: &ServiceExample) -> Vec<BackendServer> {
        let zones: Vec<_> = self.topology.zones().collect();
        (0..service.upstreams)
            .map(|index| BackendServer {
                id: BackendId::new(&format!("{}-{:02}", service.name, index + 1)),
                service: service.name.clone(),
                zone: zones[usize::from(index) % zones.len()].clone(),
                addr: SocketAddr::new(service.ip, service.first_port + index),
                start: StartNumber(1),
                slots: service.slots,
                liveness: Liveness::Live,
            })
            .collect()
    }

    /// Returns an initial policy for a service, without zone shares.
    pub fn initial_policy(&self, service: &ServiceExample) -> Policy {
        Policy {
            service: service.name.clone(),
            version: 1,
            operation_id: "first".to_owned(),
            zone_share_ppm: BTreeMap::new(),
            cap: Cap { share_ppm: 100_000, window_ms: 1_000 },
            shift: None,
            shift_delay_ms: DEFAULT_SHIFT_DELAY_MS,
            drains: BTreeSet::new(),
            timeout_ms: 10_000,
            queue_ms: 200,
        }
    }
}
