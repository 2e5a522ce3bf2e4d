//! A deployment of a given size, of which only what one instance meets is there.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use azuregate::platform::{Expect, Table, Write};
use azuregate_core::{
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    neighbours,
    policy::{Cap, Policy},
    probe::WATCHERS_PER_SERVER,
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    topology::{Region, Topology},
};
use azuregate_lab::{
    backends::{self, Backend, Behaviour},
    client::ClientError,
    example::Example,
    platform::{self, Server},
};
use tokio::{net::TcpListener, task::JoinHandle};

/// Regions and availability zones of the size that users expect.
const REGIONS: usize = 5;
const ZONES: usize = 19;

/// A deployment as the instance under measurement sees it.
pub(crate) struct World {
    pub(crate) example: Example,
    pub(crate) listed: usize,
    pub(crate) services: usize,
    pub(crate) servers: usize,
    /// The instances that it keeps links to.
    pub(crate) neighbours: Vec<Instance>,
    /// The backend servers that it watches.
    pub(crate) watched: Vec<BackendServer>,
    /// The digest of all first policies.
    pub(crate) digest: u64,
    list: InstanceList,
    policies: Vec<Policy>,
}

impl World {
    /// So many entry instances, and services of `servers` backend servers each.
    pub(crate) fn new(instances: usize, services: usize, servers: usize) -> World {
        let mut example = example();
        example.topology = topology();
        example.entries[0].zone = zone(0);
        let list = InstanceList {
            instances: (0..instances).map(|index| instance(&example, index)).collect(),
            backends: (0..services * servers).map(|index| server(index, servers)).collect(),
        };
        let me = list.instances[0].id.clone();
        let linked = neighbours::neighbours(&me, &list.instances);
        let ids = || list.instances.iter().map(|instance| &instance.id);
        let watches = |server: &&BackendServer| {
            neighbours::watchers(server.id.as_str(), ids(), WATCHERS_PER_SERVER).contains(&&me)
        };
        let policies: Vec<_> = (0..services).map(policy).collect();
        World {
            listed: instances,
            services,
            servers: services * servers,
            neighbours: list.instances.iter().filter(|i| linked.contains(&i.id)).cloned().collect(),
            watched: list.backends.iter().filter(watches).cloned().collect(),
            digest: digest(&example, &policies),
            example,
            list,
            policies,
        }
    }

    /// Starts the platform and the watched backend servers.
    pub(crate) async fn start(&self) -> Result<(Arc<Server>, Vec<JoinHandle<()>>), ClientError> {
        let server = Arc::new(Server::new(self.list.clone()));
        for policy in &self.policies {
            let write = Write {
                table: Table::Policy,
                key: policy.service.to_string(),
                expect: Expect::Absent,
                value: Some(serde_json::to_value(policy)?),
            };
            server.store().transact(&[write]);
        }
        let listener = TcpListener::bind(self.example.platform_addr).await?;
        let mut tasks = Vec::new();
        let platform = Arc::clone(&server);
        tasks.push(tokio::spawn(async move {
            platform::serve(listener, platform).await;
        }));
        for watched in &self.watched {
            let listener = TcpListener::bind(watched.addr).await?;
            let backend = Arc::new(Backend::new(watched.clone(), 330, Behaviour::default(), 1));
            tasks.push(tokio::spawn(async move {
                backends::serve(listener, backend).await;
            }));
        }
        Ok((server, tasks))
    }

    /// The change with this sequence, of one service after the other.
    pub(crate) fn change(&self, sequence: u64) -> Policy {
        let services = self.policies.len() as u64;
        let mut policy = self.policies[(sequence % services) as usize].clone();
        policy.version += 1 + sequence / services;
        policy.operation_id = format!("{sequence:016x}");
        policy
    }
}

fn example() -> Example {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kvas.jsonc");
    let mut example = Example::load(file.as_ref()).expect("the example is checked by tests");
    example.entries.truncate(1);
    example.entries[0].ip = instance_ip(0);
    example.platform_addr = SocketAddr::from(([127, 36, 0, 1], 7000));
    example
}

fn topology() -> Topology {
    let region = |region: usize| Region {
        name: RegionName::new(&format!("region-{region}")),
        zones: (region..ZONES).step_by(REGIONS).map(zone).collect(),
    };
    Topology {
        regions: (0..REGIONS).map(region).collect(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    }
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(&format!("region-{}-{}", index % REGIONS, index / REGIONS))
}

fn instance_ip(index: usize) -> IpAddr {
    let [_, _, third, fourth] = (index as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, 34, third, fourth).into()
}

/// The instance under measurement is the first by name, so that it opens all of
/// its links itself.
fn instance(example: &Example, index: usize) -> Instance {
    let id = if index == 0 {
        example.entries[0].id.clone()
    } else {
        InstanceId::new(&format!("node-{index:03}"))
    };
    Instance {
        id,
        zone: zone(index % ZONES),
        ip: instance_ip(index),
        traffic_port: example.ports.traffic,
        peer_port: example.ports.peers,
        liveness: Liveness::Live,
    }
}

fn service(index: usize) -> ServiceName {
    ServiceName::new(&format!("service-{index:03}"))
}

fn server(index: usize, servers: usize) -> BackendServer {
    let [_, second, third, fourth] = (index as u32 + 1).to_be_bytes();
    BackendServer {
        id: BackendId::new(&format!("service-{:03}-{:02}", index / servers, index % servers)),
        service: service(index / servers),
        zone: zone(index % ZONES),
        addr: SocketAddr::from(([127, 40 + second, third, fourth], 9000)),
        start: StartNumber(1),
        slots: 3,
        liveness: Liveness::Live,
    }
}

/// A policy that gives every availability zone its share.
fn policy(index: usize) -> Policy {
    let each_ppm = 1_000_000 / ZONES as u32;
    let mut shares: BTreeMap<_, _> = (0..ZONES).map(|index| (zone(index), each_ppm)).collect();
    if let Some(ppm) = shares.get_mut(&zone(0)) {
        *ppm += 1_000_000 - each_ppm * ZONES as u32;
    }
    Policy {
        service: service(index),
        version: 1,
        operation_id: "first".to_owned(),
        zone_share_ppm: shares,
        cap: Cap { share_ppm: 50_000, window_ms: 1_000 },
        shift: None,
        shift_delay_ms: 13_000,
        drains: BTreeSet::new(),
        timeout_ms: 10_000,
        queue_ms: 200,
    }
}

fn digest(example: &Example, policies: &[Policy]) -> u64 {
    let mut snapshot = Snapshot::empty(Arc::new(example.topology.clone()));
    for policy in policies {
        snapshot.apply_policy(policy.clone());
    }
    snapshot.digest()
}
