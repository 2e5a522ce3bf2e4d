//! A small deployment for the routing tests.

use std::sync::Arc;

use azuregate_core::{
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    route::{
        SlotTable,
        dispatch::{Config, Decision, Dispatch, DispatchRequest, Grouping, HandOver, Slot},
        hash,
    },
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
    topology::{Region, Topology},
};

pub(crate) const SERVICE: &str = "starter-desk";

/// Returns a generator seeded with the name of the test.
pub(crate) fn rng(test: &str) -> fastrand::Rng {
    fastrand::Rng::with_seed(hash::stable_hash(&[test]))
}

pub(crate) fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

/// Returns a topology of two regions with two availability zones each.
pub(crate) fn topology(link_mbit_per_s: u64) -> Topology {
    let region = |name: &str| Region {
        name: RegionName::new(name),
        zones: ["a", "b"].map(|part| zone(&format!("{name}-{part}"))).to_vec(),
    };
    Topology {
        regions: vec![region("sofia"), region("varna")],
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s,
    }
}

pub(crate) fn server(id: &str, zone_name: &str, start: u64) -> BackendServer {
    BackendServer {
        id: BackendId::new(id),
        service: ServiceName::new(SERVICE),
        zone: zone(zone_name),
        addr: "127.0.0.1:9000".parse().unwrap(),
        start: StartNumber(start),
        slots: 3,
        liveness: Liveness::Live,
    }
}

pub(crate) fn instance(id: &str, zone_name: &str) -> Instance {
    Instance {
        id: InstanceId::new(id),
        zone: zone(zone_name),
        ip: "127.0.0.1".parse().unwrap(),
        traffic_port: 8080,
        peer_port: 8081,
        liveness: Liveness::Live,
    }
}

pub(crate) fn snapshot(instances: &[Instance], backends: &[BackendServer]) -> Snapshot {
    let mut snapshot = Snapshot::empty(Arc::new(topology(4_000)));
    let (instances, backends) = (instances.to_vec(), backends.to_vec());
    snapshot.set_list(InstanceList { instances, backends });
    snapshot
}

/// The dispatch of one instance, with its own clock and random generator.
pub(crate) struct Node {
    pub(crate) dispatch: Dispatch,
    pub(crate) now_ms: Millis,
    pub(crate) rng: fastrand::Rng,
    ticket: u64,
}

impl Node {
    pub(crate) fn new(test: &str, me: &str, zone_name: &str, snapshot: &Snapshot) -> Node {
        let mut dispatch = Dispatch::new(Config {
            service: ServiceName::new(SERVICE),
            instance: InstanceId::new(me),
            zone: zone(zone_name),
            start: StartNumber(1),
            grouping: Grouping::PerZone,
            make_router: Box::new(|| Box::new(SlotTable::default())),
        });
        dispatch.set_snapshot(snapshot);
        Node { dispatch, now_ms: Millis(1_000), rng: rng(test), ticket: 0 }
    }

    pub(crate) fn request<'a>(&mut self, zones: &'a [ZoneName]) -> DispatchRequest<'a> {
        self.ticket += 1;
        DispatchRequest {
            ticket: self.ticket,
            zones,
            max_wait_ms: 200,
            remaining_ms: 10_000,
            body_bytes: 0,
            idempotent: true,
        }
    }

    pub(crate) fn place(&mut self, zones: &[&str]) -> Decision {
        let plan: Vec<_> = zones.iter().map(|name| zone(name)).collect();
        let request = self.request(&plan);
        self.dispatch.place(&request, self.now_ms, &mut self.rng)
    }

    pub(crate) fn serve(&mut self, zones: &[&str]) -> Slot {
        match self.place(zones) {
            Decision::Serve(slot) => slot,
            decision => panic!("not served here: {decision:?}"),
        }
    }

    pub(crate) fn hand_over(&mut self, zones: &[&str]) -> HandOver {
        match self.place(zones) {
            Decision::HandOver(hand_over) => hand_over,
            decision => panic!("not handed over: {decision:?}"),
        }
    }

    /// Acquires slots until none is free.
    pub(crate) fn fill(&mut self, zones: &[&str]) -> Vec<Slot> {
        let mut slots = Vec::new();
        while let Decision::Serve(slot) = self.place(zones) {
            slots.push(slot);
        }
        // The last request was queued; remove it.
        self.dispatch.cancel_waiting(self.ticket);
        slots
    }
}
