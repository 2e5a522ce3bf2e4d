//! Fixtures: instances, backend servers and balancers in six zones of three regions.

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc};

use azuregate_core::{
    balance::{
        Backend, BackendQuery, Balancer, ClientLimits, Config, ConfigParts, Destination,
        LoadBalancingPolicy, Member, Members, ObjectAffinity, RequestKind, Route, Service,
        Settings,
    },
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
};

/// Zones and their regions.
pub(crate) const ZONES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

pub(crate) fn zones() -> BTreeMap<ZoneName, RegionName> {
    ZONES.iter().map(|&(zone, region)| (ZoneName::new(zone), RegionName::new(region))).collect()
}

pub(crate) fn service() -> ServiceName {
    ServiceName::new("shop")
}

pub(crate) fn config() -> Arc<Config> {
    let route = Route {
        name: "read".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 250,
        attempts: 2,
        priority: 1,
        has_session_affinity: true,
        destinations: vec![Destination { service: service(), weight: 1.0 }],
        home_regions: Vec::new(),
    };
    let service_config = Service { connection_limit: 330, cold_ms: 3_000, cold_rate_per_s: 9.0 };
    let parts = ConfigParts {
        version: 1,
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        services: [(service(), service_config)].into(),
        routes: vec![("shop.example".to_owned(), Arc::new(route))],
    };
    Arc::new(Config::new(parts).unwrap())
}

pub(crate) fn members(local: usize, count: usize) -> Members {
    let mut members = Members::new(instance(local), zones(), 2_000);
    for number in 0..count {
        members.put(member(number));
    }
    members
}

pub(crate) fn member(number: usize) -> Member {
    Member {
        instance: instance(number),
        start: StartNumber(1),
        ip: ip(0, number).into(),
        traffic_addr: (ip(0, number), 80).into(),
        forwarding_port: Some(90),
        zone: ZoneName::new(ZONES[number % ZONES.len()].0),
    }
}

/// Returns the address of the instance or backend server `number`.
fn ip(network: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = u32::try_from(number + 1).unwrap().to_be_bytes();
    Ipv4Addr::new(10, network, high, low)
}

pub(crate) fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{number}"))
}

pub(crate) fn backend(number: usize) -> Backend {
    Backend {
        id: BackendId::new(&format!("server-{number}")),
        service: service(),
        addr: (ip(1, number), 80).into(),
        zone: ZoneName::new(ZONES[number % ZONES.len()].0),
        slots: 3,
        is_draining: false,
        cold_left_ms: 0,
        start_epoch_ms: 1,
    }
}

/// Returns the balancer of instance `local` of `instances`, with `servers` backend servers.
pub(crate) fn balancer(local: usize, instances: usize, servers: usize) -> Balancer {
    balancer_with(Box::new(ObjectAffinity), local, instances, (0..servers).map(backend))
}

/// Returns the balancer of instance `local` of `instances`, with this policy and these servers.
pub(crate) fn balancer_with(
    policy: Box<dyn LoadBalancingPolicy>,
    local: usize,
    instances: usize,
    backends: impl Iterator<Item = Backend>,
) -> Balancer {
    let settings = Settings {
        instance: instance(local),
        zone: ZoneName::new(ZONES[local % ZONES.len()].0),
        zones: zones(),
        cold_rate_factor: 1.5,
        cold_rate_slack: 5.0,
    };
    let mut balancer = Balancer::with_policy(settings, policy);
    balancer.set_config(config());
    let members = members(local, instances);
    backends.for_each(|backend| {
        balancer.put(backend, &members, 0);
    });
    balancer
}

/// Exchanges load reports between all instances, and samples of requested objects between
/// regions.
pub(crate) fn exchange_reports(balancers: &mut [Balancer], now_ms: u64) {
    let requested: Vec<_> = balancers.iter_mut().map(Balancer::take_request_sample).collect();
    let region = |local: usize| ZONES[local % ZONES.len()].1;
    for (local, balancer) in balancers.iter_mut().enumerate() {
        let other_regions =
            requested.iter().enumerate().filter(|&(other, _)| region(other) != region(local));
        for (_, requested) in other_regions {
            balancer.record_remote_requests(requested, now_ms);
        }
    }
    let reports: Vec<_> = balancers.iter().map(Balancer::in_flight).collect();
    for (local, balancer) in balancers.iter_mut().enumerate() {
        for (other, report) in reports.iter().enumerate().filter(|&(other, _)| other != local) {
            balancer.record_load_report(&instance(other), report.clone(), now_ms);
        }
    }
}

pub(crate) fn query(service: &ServiceName, object: u64) -> BackendQuery<'_> {
    BackendQuery { service, object, has_large_body: false, tried: &[], home_regions: &[] }
}
