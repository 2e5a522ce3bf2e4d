//! Tests of the baseline load-balancing rules.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::collections::BTreeMap;

use azuregate::dispatch::RoutingMode;
use azuregate_core::{
    names::{BackendId, ServiceName, StartNumber, ZoneName},
    route::{Completion, LoadReport, Locality, Router, ServerStatus},
    snapshot::{BackendServer, Liveness},
    time::Millis,
    topology::Topology,
};
use azuregate_lab::baselines;

const NOW_MS: Millis = Millis(0);

fn router(rule: &str) -> Box<dyn Router> {
    let RoutingMode::Independent(make) = baselines::rule(rule).unwrap() else {
        panic!("not alone")
    };
    make()
}

fn set_servers(router: &mut dyn Router, available: [bool; 3]) {
    let servers = available.iter().enumerate().map(|(nth, &available)| {
        let server = BackendServer {
            id: BackendId::new(&format!("s{nth}")),
            service: ServiceName::new("svc"),
            zone: ZoneName::new("a"),
            addr: "127.0.0.1:1".parse().unwrap(),
            start: StartNumber(1),
            slots: 3,
            liveness: Liveness::Live,
        };
        ServerStatus { server, available }
    });
    let topology =
        Topology { regions: Vec::new(), zone_delay_ms: 0, region_delay_ms: 0, link_mbit_per_s: 0 };
    let locality = Locality { topology: &topology, zone: &ZoneName::new("a") };
    router.set_servers(locality, &servers.collect::<Vec<_>>());
}

/// Returns how often each server was chosen in `count` choices.
fn choose(router: &mut dyn Router, count: usize) -> BTreeMap<usize, usize> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut chosen = BTreeMap::new();
    for _ in 0..count {
        let key = router.acquire(NOW_MS, &mut rng).unwrap();
        *chosen.entry(key).or_default() += 1;
        router.release(key, Completion::Responded { latency_ms: 1 }, NOW_MS);
    }
    chosen
}

#[test]
fn baselines_distribute_requests_evenly() {
    for rule in ["random", "round-robin", "least-load"] {
        let mut router = router(rule);
        set_servers(router.as_mut(), [true; 3]);
        let chosen = choose(router.as_mut(), 300);
        let even = chosen.values().all(|&times| (60..=140).contains(&times));
        assert!(chosen.len() == 3 && even, "{rule}: {chosen:?}");
        assert!(rule != "round-robin" || chosen.values().all(|&times| times == 100), "{chosen:?}");
    }
}

#[test]
fn unavailable_servers_get_no_requests() {
    for rule in ["random", "round-robin", "least-load", "nearest"] {
        let mut router = router(rule);
        set_servers(router.as_mut(), [true; 3]);
        set_servers(router.as_mut(), [true, false, true]);
        assert!(!choose(router.as_mut(), 100).contains_key(&1), "{rule}");
        set_servers(router.as_mut(), [false; 3]);
        assert_eq!(router.acquire(NOW_MS, &mut fastrand::Rng::with_seed(1)), None, "{rule}");
    }
}

// Between reports, all requests go to the server with the lowest last report.
#[test]
fn least_load_uses_the_last_reports() {
    let mut router = router("least-load");
    set_servers(router.as_mut(), [true; 3]);
    for (key, in_use) in [(0, 3), (1, 0), (2, 2)] {
        router.record_load(key, LoadReport { in_use, slots: 3, at_ms: NOW_MS });
    }
    assert_eq!(choose(router.as_mut(), 50), BTreeMap::from([(1, 50)]));
}

#[test]
fn rules_parse_from_their_names() {
    for rule in ["random", "round-robin", "least-load", "nearest", "dispatcher"] {
        assert!(baselines::rule(rule).is_ok(), "{rule}");
    }
    assert!(baselines::rule("best").unwrap_err().contains("round-robin"));
}
