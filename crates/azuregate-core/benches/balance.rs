//! Time to choose a backend server and complete a request, by number of servers.
//!
//! `cargo bench -p azuregate-core --bench balance`

use std::{collections::BTreeMap, hint::black_box};

use azuregate_core::{
    balance::{Backend, BackendQuery, Balancer, Members, Outcome, Settings},
    names::{BackendId, InstanceId, RegionName, ServiceName, ZoneName},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn balancer(servers: usize) -> Balancer {
    let zones: BTreeMap<ZoneName, RegionName> =
        ["a", "b", "c"].iter().map(|name| (ZoneName::new(name), RegionName::new(name))).collect();
    let instance = InstanceId::new("entry-1");
    let mut balancer = Balancer::new(Settings {
        instance: instance.clone(),
        zone: ZoneName::new("a"),
        zones: zones.clone(),
        cold_rate_factor: 1.5,
        cold_rate_slack: 5.0,
    });
    let members = Members::new(instance, zones, 2_000);
    for number in 0..servers {
        let backend = Backend {
            id: BackendId::new(&format!("server-{number}")),
            service: ServiceName::new("shop"),
            addr: ([10, 0, (number / 256) as u8, (number % 256) as u8], 80).into(),
            zone: ZoneName::new(["a", "b", "c"][number % 3]),
            slots: 3,
            is_draining: false,
            cold_left_ms: 0,
            start_epoch_ms: 1,
        };
        balancer.put(backend, &members, 0);
    }
    balancer
}

fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("balance/choose");
    let service = ServiceName::new("shop");
    for servers in [24, 184, 309, 2_000] {
        let mut balancer = balancer(servers);
        let mut object = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                object += 1;
                let query = BackendQuery {
                    service: &service,
                    object: black_box(object),
                    has_large_body: false,
                    tried: &[],
                    home_regions: &[],
                };
                let choice = balancer.choose(&query, 1_000).expect("a backend server has capacity");
                balancer.complete(choice.handle, Outcome::Succeeded { taken_ms: 100 }, 1_000);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices);
criterion_main!(benches);
