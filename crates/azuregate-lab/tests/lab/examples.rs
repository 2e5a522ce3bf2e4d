//! Consistency checks of the example deployments.

use std::{collections::BTreeSet, path::Path};

use azuregate_lab::example::{CLIENTS_PER_ZONE, Example};

/// Name, number of entry instances, and services with their numbers of upstreams.
type ExpectedSizes = (&'static str, usize, &'static [(&'static str, u16)]);

const EXAMPLES: [ExpectedSizes; 2] = [
    ("kvas", 9, &[("starter-desk", 24), ("proof-vault", 12)]),
    ("pawprint", 8, &[("listings-app", 22), ("uploads-app", 12)]),
];

pub(crate) fn load(name: &str) -> Example {
    let file = format!("{}/../../examples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
    Example::load(Path::new(&file)).unwrap()
}

#[test]
fn examples_have_the_expected_sizes() {
    for (name, entries, services) in EXAMPLES {
        let example = load(name);
        assert_eq!(example.name, name);
        assert_eq!(example.entries.len(), entries, "{name}");
        assert_eq!(example.topology.regions.len(), 3, "{name}");
        assert!(example.topology.regions.iter().all(|region| region.zones.len() == 2), "{name}");
        let sizes: Vec<_> =
            example.services.iter().map(|s| (s.name.as_str(), s.upstreams)).collect();
        assert_eq!(sizes, services, "{name}");
        for service in &example.services {
            assert_eq!((service.slots, service.connections), (3, 330), "{name}");
        }
    }
}

#[test]
fn addresses_are_unique() {
    // Both examples can run at once, so the addresses of both must differ.
    let (mut seen, mut clients) = (BTreeSet::new(), Vec::new());
    for (name, ..) in EXAMPLES {
        let mut example = load(name);
        let mut addrs = vec![example.platform_addr];
        for relays in [false, true] {
            example.relays = relays;
            for instance in example.instance_list().instances {
                addrs.extend([(instance.ip, instance.peer_port).into(), instance.traffic_addr()]);
            }
        }
        for entry in &example.entries {
            let ports = [example.ports.operators, example.ports.status];
            addrs.extend(ports.map(|port| std::net::SocketAddr::new(entry.ip, port)));
        }
        addrs.extend(example.instance_list().backends.iter().map(|server| server.addr));
        for addr in addrs {
            assert!(seen.insert(addr), "{addr} is used twice");
        }
        for zone in example.topology.zones() {
            for rank in 0..CLIENTS_PER_ZONE {
                let client = std::net::SocketAddr::new(example.client_ip(zone, rank), 0);
                assert!(seen.iter().all(|addr| addr.ip() != client.ip()), "clients share {client}");
                clients.push(client);
            }
        }
    }
    let unique: BTreeSet<_> = clients.iter().collect();
    assert_eq!(unique.len(), clients.len(), "clients share an address");
}

#[test]
fn entries_and_backends_are_in_known_zones() {
    for (name, ..) in EXAMPLES {
        let example = load(name);
        let list = example.instance_list();
        let zones: BTreeSet<_> = example.topology.zones().collect();
        assert!(list.instances.iter().all(|i| zones.contains(&i.zone)), "{name}");
        assert!(list.backends.iter().all(|b| zones.contains(&b.zone)), "{name}");
        let serving: BTreeSet<_> = list.backends.iter().map(|b| &b.zone).collect();
        assert_eq!(serving, zones, "{name}");
    }
}
