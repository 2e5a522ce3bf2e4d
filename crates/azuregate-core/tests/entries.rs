//! Selection of the entry instances for a caller.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
    sync::Arc,
};

use azuregate_core::{
    entries::{MAX_ENTRIES, RANKING_VARIANTS, entries, rank, ranking_variant},
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    route::group::{GroupId, sort_by_preference},
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    topology::{Region, Topology},
};

const SERVICE: &str = "starter-desk";

fn zone(index: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{index}"))
}

fn service() -> ServiceName {
    ServiceName::new(SERVICE)
}

/// A snapshot of `instances` entry instances over `zones` availability zones, with two
/// zones per region and two backend servers per zone.
fn snapshot(instances: usize, zones: usize, liveness: impl Fn(usize) -> Liveness) -> Snapshot {
    let region = |index| Region {
        name: RegionName::new(&format!("region-{index}")),
        zones: [zone(2 * index), zone(2 * index + 1)].into_iter().take(zones - 2 * index).collect(),
    };
    let topology = Topology {
        regions: (0..zones.div_ceil(2)).map(region).collect(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    };
    let instance = |index: usize| Instance {
        id: InstanceId::new(&format!("entry-{index:03}")),
        zone: zone(index % zones),
        ip: Ipv4Addr::from_bits(0x7f00_0001 + index as u32).into(),
        traffic_port: 8080,
        peer_port: 8081,
        liveness: liveness(index),
    };
    let backend = |index: usize| BackendServer {
        id: BackendId::new(&format!("server-{index:02}")),
        service: service(),
        zone: zone(index % zones),
        addr: "127.0.0.1:9000".parse().unwrap(),
        start: StartNumber(1),
        slots: 3,
        liveness: Liveness::Live,
    };
    let mut snapshot = Snapshot::empty(Arc::new(topology));
    snapshot.set_list(InstanceList {
        instances: (0..instances).map(instance).collect(),
        backends: (0..2 * zones).map(backend).collect(),
    });
    snapshot
}

fn live(_: usize) -> Liveness {
    Liveness::Live
}

#[test]
fn entry_count_is_bounded() {
    for (instances, zones, named) in [(3, 3, 3), (9, 6, 8), (85, 19, 8), (680, 19, 8)] {
        let snapshot = snapshot(instances, zones, live);
        let answer = entries(&snapshot, &service(), &zone(0), "192.0.2.1");
        assert_eq!(answer.entries.len(), named, "of {instances}");
        assert!(named <= MAX_ENTRIES);
    }
}

// Guards against needless hand-overs: with the dispatcher further down, each request of
// a caller that follows the ranking would be handed over once.
#[test]
fn dispatcher_of_callers_zone_ranks_first() {
    let snapshot = snapshot(85, 19, live);
    for at in 0..19 {
        let mut all: Vec<_> = snapshot.instances.iter().collect();
        let group = GroupId { zone: zone(at), part: 0 };
        sort_by_preference(&mut all, &snapshot.topology, SERVICE, &group);
        for variant in 0..RANKING_VARIANTS {
            assert_eq!(rank(&snapshot, &service(), &zone(at), variant)[0].id, all[0].id);
        }
    }
}

#[test]
fn nearer_instances_rank_first() {
    let snapshot = snapshot(9, 6, live);
    for variant in 0..RANKING_VARIANTS {
        let ranked = rank(&snapshot, &service(), &zone(0), variant);
        let distances: Vec<_> =
            ranked.iter().map(|i| snapshot.topology.distance(&zone(0), &i.zone)).collect();
        assert!(distances.is_sorted(), "{distances:?}");
    }
}

#[test]
fn leaving_instances_are_excluded() {
    let leaving = |index| if index % 2 == 0 { Liveness::Leaving } else { Liveness::Live };
    let snapshot = snapshot(9, 3, leaving);
    let answer = entries(&snapshot, &service(), &zone(0), "192.0.2.1");
    let named: BTreeSet<_> = answer.entries.iter().map(|e| e.id.to_string()).collect();
    assert_eq!(
        named,
        ["entry-001", "entry-003", "entry-005", "entry-007"].map(String::from).into()
    );
}

// Guards against a failover of all callers of a zone to the same instance when their
// dispatcher fails.
#[test]
fn second_choices_spread_over_the_zone() {
    let snapshot = snapshot(680, 19, live);
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for caller in 0..1_000 {
        let ranked =
            rank(&snapshot, &service(), &zone(3), ranking_variant(&format!("192.0.2.{caller}")));
        assert_eq!(ranked[1].zone, zone(3));
        *chosen.entry(ranked[1].id.clone()).or_default() += 1;
    }
    let most = chosen.values().max().unwrap();
    assert!(chosen.len() >= 8, "{chosen:?}");
    assert!(*most <= 300, "{chosen:?}");
}
