//! A deployment to try things on: one file describes all of it.

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
    network::{Network, Party},
};

/// How many clients near each availability zone have an IP number of their own.
pub const CLIENTS: u8 = 10;
/// How far the third part of the clients' IP numbers is from the platform's, for
/// the first availability zone; those of the other zones follow.
const CLIENT_NETS: u8 = 100;

/// A deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Example {
    /// Its name.
    pub name: String,
    /// Regions, availability zones and the links between them.
    pub topology: Topology,
    /// Where the platform's stand-in listens.
    pub platform_addr: SocketAddr,
    /// The ports of every entry instance.
    pub ports: Ports,
    /// How long a planned stop goes on serving.
    pub stop_delay_ms: u64,
    /// The entry instances.
    pub entries: Vec<EntryExample>,
    /// The services with their backend servers.
    pub services: Vec<ServiceExample>,
    /// Whether relays with the delays of the network stand before the entry
    /// instances.
    #[serde(skip)]
    pub relays: bool,
}

/// The ports of every entry instance; each has an IP number of its own.
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

/// How far the port of a relay is from the one that it stands before.
const RELAY_PORTS: u16 = 1_000;

/// An entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryExample {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP number.
    pub ip: IpAddr,
}

/// A service with its backend servers, spread evenly over all zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceExample {
    /// Its name.
    pub name: ServiceName,
    /// How many backend servers it has.
    pub upstreams: u16,
    /// How many requests each takes at once.
    pub slots: u32,
    /// How many connections each takes.
    pub connections: usize,
    /// Mean time that a request takes there.
    pub service_ms: u64,
    /// How that time varies.
    #[serde(default)]
    pub distribution: Distribution,
    /// The IP number of all of them.
    pub ip: IpAddr,
    /// The port of the first; the others follow.
    pub first_port: u16,
}

impl ServiceExample {
    /// How its backend servers behave when all is well.
    pub fn behaviour(&self) -> Behaviour {
        Behaviour {
            service_ms: self.service_ms,
            distribution: self.distribution,
            ..Behaviour::default()
        }
    }

    /// Requests a second that fill all of its slots.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = f64::from(u32::from(self.upstreams) * self.slots);
        slots * 1_000.0 / self.service_ms.max(1) as f64
    }
}

/// An example that cannot be used.
#[derive(Debug)]
pub struct ExampleError;

impl fmt::Display for ExampleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the example cannot be used")
    }
}

impl std::error::Error for ExampleError {}

impl Example {
    /// Reads an example from a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is not understood.
    pub fn load(path: &Path) -> Result<Example, Report<ExampleError>> {
        let text = fs::read_to_string(path)
            .change_context(ExampleError)
            .attach_with(|| path.display().to_string())?;
        jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
            .change_context(ExampleError)
            .attach_with(|| path.display().to_string())
    }

    /// The settings of one entry instance.
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
        }
    }

    /// Where callers reach an entry instance.
    pub fn traffic_addr(&self, entry: &EntryExample) -> SocketAddr {
        SocketAddr::new(entry.ip, self.listed(self.ports.traffic))
    }

    /// Where operators reach an entry instance.
    pub fn operators_addr(&self, entry: &EntryExample) -> SocketAddr {
        SocketAddr::new(entry.ip, self.ports.operators)
    }

    /// The ports that a relay of an entry instance stands before, and its own.
    pub fn relayed_ports(&self) -> [(u16, u16); 2] {
        [self.ports.traffic, self.ports.peers].map(|port| (port, port + RELAY_PORTS))
    }

    fn listed(&self, port: u16) -> u16 {
        if self.relays { port + RELAY_PORTS } else { port }
    }

    /// What the platform lists when all is well.
    pub fn instance_list(&self) -> InstanceList {
        let instances = self.entries.iter().map(|entry| Instance {
            id: entry.id.clone(),
            zone: entry.zone.clone(),
            ip: entry.ip,
            traffic_port: self.listed(self.ports.traffic),
            peer_port: self.listed(self.ports.peers),
            liveness: Liveness::Live,
        });
        let backends = self.services.iter().flat_map(|service| self.backends(service));
        InstanceList { instances: instances.collect(), backends: backends.collect() }
    }

    /// Who is where.
    pub fn network(&self) -> Network {
        let entries = self.entries.iter().map(|e| (e.ip, Party::Entry(e.zone.clone())));
        let zones = self.topology.zones();
        let clients = zones.flat_map(|zone| {
            let ips = (0..CLIENTS).map(|rank| self.client_ip(zone, rank));
            ips.map(|ip| (ip, Party::Clients(zone.clone())))
        });
        Network::new(self.topology.clone(), entries.chain(clients).collect())
    }

    /// The IP number of one of the [`CLIENTS`] near an availability zone.
    pub fn client_ip(&self, zone: &ZoneName, rank: u8) -> IpAddr {
        let index = self.topology.zones().position(|z| z == zone).unwrap_or(0);
        let IpAddr::V4(platform) = self.platform_addr.ip() else {
            return self.platform_addr.ip();
        };
        let [a, b, c, _] = platform.octets();
        let net = CLIENT_NETS.wrapping_add(u8::try_from(index).unwrap_or(u8::MAX));
        IpAddr::from([a, b, c.wrapping_add(net), 1 + rank % CLIENTS])
    }

    /// The same example on other IP numbers of loopback.
    ///
    /// Each connection that was closed keeps its port for a minute. A run that
    /// opens thousands a second would leave none to the next one, whose
    /// connections then take seconds or fail.
    pub fn on_loopback(&self, second_octet: u8) -> Example {
        let moved = |ip: IpAddr| match ip {
            IpAddr::V4(ip) => {
                let [first, _, third, fourth] = ip.octets();
                IpAddr::from([first, second_octet, third, fourth])
            }
            IpAddr::V6(_) => ip,
        };
        let mut example = self.clone();
        example.platform_addr.set_ip(moved(example.platform_addr.ip()));
        for entry in &mut example.entries {
            entry.ip = moved(entry.ip);
        }
        for service in &mut example.services {
            service.ip = moved(service.ip);
        }
        example
    }

    /// The availability zone that the platform stands in: the first.
    pub fn platform_zone(&self) -> ZoneName {
        self.topology.zones().next().cloned().unwrap_or_else(|| ZoneName::new(""))
    }

    /// The backend servers of a service.
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

    /// A first policy for a service: nearness decides.
    pub fn first_policy(&self, service: &ServiceExample) -> Policy {
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
