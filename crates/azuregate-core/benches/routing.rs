//! Benchmarks of request placement with 24 and with 1,000 backend servers.

use std::{hint::black_box, sync::Arc};

use azuregate_core::{
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    route::{
        Completion, SlotTable,
        dispatch::{Config, Decision, Dispatch, DispatchRequest, Grouping},
        group::GroupLoad,
    },
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
    topology::{Region, Topology},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SERVICE: &str = "starter-desk";
const NOW_MS: Millis = Millis(1_000);

fn zones() -> Vec<ZoneName> {
    let regions = ["sofia", "plovdiv", "varna"];
    let names = regions.iter().flat_map(|region| ["a", "b"].map(|part| format!("{region}-{part}")));
    names.map(|name| ZoneName::new(&name)).collect()
}

fn topology() -> Topology {
    let region = |pair: &[ZoneName]| Region {
        name: RegionName::new(pair[0].as_str().trim_end_matches("-a")),
        zones: pair.to_vec(),
    };
    Topology {
        regions: zones().chunks(2).map(region).collect(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    }
}

fn instance(nth: usize, zone: &ZoneName) -> Instance {
    Instance {
        id: InstanceId::new(&format!("entry-{nth}")),
        zone: zone.clone(),
        ip: [127, 0, 0, 1].into(),
        traffic_port: 8080,
        peer_port: 8081,
        liveness: Liveness::Live,
    }
}

fn server(nth: usize, zone: &ZoneName) -> BackendServer {
    BackendServer {
        id: BackendId::new(&format!("{SERVICE}-{nth}")),
        service: ServiceName::new(SERVICE),
        zone: zone.clone(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        start: StartNumber(1),
        slots: 3,
        liveness: Liveness::Live,
    }
}

/// Returns nine instances and `servers` servers, evenly distributed over six zones.
fn snapshot(servers: usize) -> Snapshot {
    let zones = zones();
    let mut snapshot = Snapshot::empty(Arc::new(topology()));
    snapshot.set_list(InstanceList {
        instances: (0..9).map(|nth| instance(nth, &zones[nth % 6])).collect(),
        backends: (0..servers).map(|nth| server(nth, &zones[nth % 6])).collect(),
    });
    snapshot
}

/// Returns the dispatch of the instance in `plovdiv-b`.
fn dispatch(snapshot: &Snapshot) -> Dispatch {
    let mut dispatch = Dispatch::new(Config {
        service: ServiceName::new(SERVICE),
        instance: InstanceId::new("entry-3"),
        zone: ZoneName::new("plovdiv-b"),
        start: StartNumber(1),
        grouping: Grouping::PerZone,
        make_router: Box::new(|| Box::new(SlotTable::default())),
    });
    dispatch.set_snapshot(snapshot);
    dispatch
}

/// Returns all zones, starting with that of the instance.
fn plan() -> Vec<ZoneName> {
    let mut plan = zones();
    plan.rotate_left(3);
    plan
}

fn request(plan: &[ZoneName]) -> DispatchRequest<'_> {
    DispatchRequest {
        ticket: 1,
        zones: plan,
        max_wait_ms: 200,
        remaining_ms: 10_000,
        body_bytes: 0,
        idempotent: true,
    }
}

/// Measures placement in a free slot of the local zone, and its release.
fn serve_here(c: &mut Criterion) {
    let mut group = c.benchmark_group("route_serve_here");
    for servers in [24, 1_000] {
        let mut dispatch = dispatch(&snapshot(servers));
        let (plan, mut rng) = (plan(), fastrand::Rng::with_seed(1));
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                let decision = dispatch.place(black_box(&request(&plan)), NOW_MS, &mut rng);
                let Decision::Serve(slot) = decision else {
                    panic!("not served here: {decision:?}")
                };
                dispatch.release(&slot, Completion::Responded { latency_ms: 20 }, NOW_MS);
            });
        });
    }
    group.finish();
}

/// Measures a hand-over when only the last zone has free slots, so that all groups
/// are considered.
fn hand_over_last(c: &mut Criterion) {
    let mut group = c.benchmark_group("route_hand_over_last");
    for servers in [24, 1_000] {
        let snapshot = snapshot(servers);
        let mut dispatch = dispatch(&snapshot);
        let (plan, mut rng) = (plan(), fastrand::Rng::with_seed(1));
        fill(&mut dispatch, &plan, &mut rng);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                let decision = dispatch.place(black_box(&request(&plan)), NOW_MS, &mut rng);
                let Decision::HandOver(hand_over) = decision else {
                    panic!("not handed over: {decision:?}")
                };
                dispatch.finish_hand_over(
                    &hand_over,
                    Completion::Responded { latency_ms: 20 },
                    NOW_MS,
                );
            });
        });
    }
    group.finish();
}

/// Fills the slots and the queue of the local zone, and lets every dispatcher but
/// that of the last zone report a full group.
fn fill(dispatch: &mut Dispatch, plan: &[ZoneName], rng: &mut fastrand::Rng) {
    let local = [plan[0].clone()];
    let queueable =
        DispatchRequest { max_wait_ms: 60_000, remaining_ms: 60_000, ..request(&local) };
    while !matches!(dispatch.place(&queueable, NOW_MS, rng), Decision::Refuse(_)) {}
    for zone in &plan[1..] {
        let one = [zone.clone()];
        let last = zone == &plan[plan.len() - 1];
        for _ in 0..64 {
            let Decision::HandOver(hand_over) = dispatch.place(&request(&one), NOW_MS, rng) else {
                break;
            };
            let from = dispatch.dispatcher_id(&hand_over).clone();
            let group = dispatch.group_id(hand_over.group).clone();
            let (free, queued) = if last { (1_000, 0) } else { (0, 1_000) };
            let load =
                GroupLoad { free, queued, slots: 12, service_ms: 20, ..GroupLoad::default() };
            dispatch.receive_load(&from, &group, load, false, NOW_MS);
            dispatch.finish_hand_over(&hand_over, Completion::Responded { latency_ms: 20 }, NOW_MS);
            if last {
                break;
            }
        }
    }
}

criterion_group!(benches, serve_here, hand_over_last);
criterion_main!(benches);
