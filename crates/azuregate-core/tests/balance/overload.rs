//! Simulation of a metastable overload.
//!
//! The base load is three quarters of the servers' capacity with warm caches, and more than
//! twice their capacity with cold ones. A burst triples it from 6 s to 8 s.

use azuregate_core::balance::{Candidate, Decision, LoadBalancingPolicy, ObjectAffinity};

use crate::{
    fixtures::backend,
    simulation::{CacheInsertion, Class, Scenario, SecondStats, on_time, simulate},
};

const BASE_RATE_PER_S: f64 = 300.0;
const BURST_RATE_PER_S: f64 = 900.0;

fn scenario(exchanges_reports: bool, policy: fn() -> Box<dyn LoadBalancingPolicy>) -> Scenario {
    Scenario {
        seed: 1,
        end_ms: 18_000,
        instances: 9,
        servers: (0..10).map(backend).collect(),
        server_queue: 9,
        cache_capacity: 43,
        cache_insertion: CacheInsertion::AtEnd,
        retry_after_ms: 250..=250,
        client_retries: 1,
        limited: (0, 0.0),
        pausing: None,
        rejection_rate: |_| 0.0,
        max_attempts: 1,
        may_retry_same_backend: |_| false,
        classes: vec![Class {
            route: "read",
            share: 1.0,
            objects: 261,
            warm_ms: 72,
            cold_ms: 240,
            target_latency_ms: 250,
            deadline_ms: 1_000,
        }],
        is_regional: false,
        exchanges_reports,
        rate_per_s: |now_ms| {
            if (6_000..8_000).contains(&now_ms) { BURST_RATE_PER_S } else { BASE_RATE_PER_S }
        },
        hash: |_, object| object,
        policy,
    }
}

/// Returns the mean share of requests served on time from 3 s after the burst.
fn on_time_after_burst(seconds: &[SecondStats]) -> f64 {
    let shares = seconds[11..17].iter().map(|second| on_time(std::slice::from_ref(second)));
    shares.sum::<f64>() / 6.0
}

fn object_affinity() -> Box<dyn LoadBalancingPolicy> {
    Box::new(ObjectAffinity)
}

/// A policy for comparison: a full server is left for the second, even if that is full.
#[derive(Debug)]
struct UnconditionalSpillover;

impl LoadBalancingPolicy for UnconditionalSpillover {
    fn choose(&self, _has_large_body: bool, candidates: &[Candidate]) -> Decision {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|server| (server.status, !server.hash));
        let mut top_two = ranked.into_iter().take(2);
        let (first, second) = (top_two.next(), top_two.next());
        let chosen = first.filter(|first| first.has_capacity(4));
        let chosen = chosen.or(second.filter(|second| second.has_capacity(5)));
        Decision { chosen: chosen.map(|server| server.handle), ..Decision::default() }
    }
}

/// Guards against an overload that outlasts the burst.
#[test]
fn on_time_share_recovers_after_a_burst() {
    let seconds = simulate(&scenario(true, object_affinity));
    assert!(on_time_after_burst(&seconds) > 0.8, "{seconds:?}");
}

/// Checks that the scenario is metastable: with unconditional spillover each server gets more
/// objects than its cache holds.
#[test]
fn unconditional_spillover_sustains_the_overload() {
    let seconds = simulate(&scenario(true, || Box::new(UnconditionalSpillover)));
    assert!(on_time_after_burst(&seconds) < 0.6, "{seconds:?}");
}

/// Without load reports, queues grow unseen and responses stay late after the burst.
#[test]
fn load_reports_keep_queues_short() {
    let (with_reports, without_reports) =
        (simulate(&scenario(true, object_affinity)), simulate(&scenario(false, object_affinity)));
    assert!(
        on_time_after_burst(&with_reports) > on_time_after_burst(&without_reports) + 0.1,
        "{with_reports:?} and {without_reports:?}"
    );
}
