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
    policy::{Cap, Policy, SHIFT_DELAY_MS},
    snapshot::{BackendServer, Instance, InstanceList, Liveness},
    topology::Topology,
};
use error_stack::{Report, ResultExt};
use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};

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
    /// The IP number of all of them.
    pub ip: IpAddr,
    /// The port of the first; the others follow.
    pub first_port: u16,
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

    /// What the platform lists when all is well.
    pub fn instance_list(&self) -> InstanceList {
        let instances = self.entries.iter().map(|entry| Instance {
            id: entry.id.clone(),
            zone: entry.zone.clone(),
            ip: entry.ip,
            traffic_port: self.ports.traffic,
            peer_port: self.ports.peers,
            liveness: Liveness::Live,
        });
        let backends = self.services.iter().flat_map(|service| self.backends(service));
        InstanceList { instances: instances.collect(), backends: backends.collect() }
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
            shift_delay_ms: SHIFT_DELAY_MS,
            drains: BTreeSet::new(),
            timeout_ms: 10_000,
            queue_ms: 200,
        }
    }
}
