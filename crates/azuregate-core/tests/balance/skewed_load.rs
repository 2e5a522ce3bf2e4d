//! Simulation of few hot objects, requested through two routes that are cached apart.
//!
//! With warm caches the load takes three fifths of the servers' capacity.

use azuregate_core::{
    balance::{Backend, Choice, ObjectAffinity, RetryReason, object_hash},
    names::BackendId,
};

use crate::{
    fixtures::backend,
    simulation::{CacheInsertion, Class, Scenario, in_region, on_time, simulate},
};

/// Number of simulations that a result is the mean of.
const SEEDS: u64 = 4;

pub(crate) fn scenario(seed: u64) -> Scenario {
    let read = Class {
        route: "read",
        share: 0.75,
        objects: 75,
        warm_ms: 270,
        cold_ms: 900,
        target_latency_ms: 600,
        deadline_ms: 1_500,
    };
    let book = Class {
        route: "book",
        share: 0.25,
        warm_ms: 350,
        cold_ms: 1_150,
        target_latency_ms: 800,
        ..read
    };
    Scenario {
        seed,
        end_ms: 16_000,
        instances: 8,
        servers: (0..20).map(|number| server(seed, number)).collect(),
        server_queue: 12,
        cache_capacity: 28,
        cache_insertion: CacheInsertion::AtStart,
        retry_after_ms: RetryReason::NoCapacity.retry_after_ms(),
        client_retries: 1,
        limited: (0, 0.0),
        pausing: None,
        rejection_rate: |_| 0.0,
        max_attempts: 2,
        may_retry_same_backend: Choice::had_free_slot,
        classes: vec![read, book],
        is_regional: true,
        exchanges_reports: true,
        rate_per_s: |_| 160.0,
        hash: |class, object| object_hash(class.route, &object.to_be_bytes()),
        policy: || Box::new(ObjectAffinity),
    }
}

/// Returns a server whose name depends on the seed, so that results do not depend on certain
/// hashes.
fn server(seed: u64, number: usize) -> Backend {
    let id = BackendId::new(&format!("server-{seed}-{number}"));
    Backend { id, slots: 4, ..backend(number) }
}

/// Returns the mean share of requests served on time once the caches are warm.
fn mean_on_time_when_warm(change: fn(&mut Scenario)) -> f64 {
    let share = |seed| {
        let mut scenario = scenario(seed);
        change(&mut scenario);
        on_time(&simulate(&scenario)[6..15])
    };
    (1..=SEEDS).map(share).sum::<f64>() / SEEDS as f64
}

/// Guards against one server getting all requests for a hot object while others are idle.
#[test]
fn hashing_by_route_spreads_a_hot_object() {
    let by_object = mean_on_time_when_warm(|scenario| {
        scenario.hash = |_, object| object_hash("", &object.to_be_bytes())
    });
    let by_route = mean_on_time_when_warm(|_| {});
    assert!(by_route > by_object + 0.02, "{by_route:.3} and {by_object:.3}");
}

/// Servers reject half of their requests despite free slots. A retry at another server would
/// miss the cache and be late.
#[test]
fn rejection_below_capacity_is_retried_on_the_same_backend() {
    fn rejecting(scenario: &mut Scenario) {
        scenario.rejection_rate =
            |now_ms| if (7_000..13_000).contains(&now_ms) { 0.5 } else { 0.0 };
    }
    let same_backend = mean_on_time_when_warm(rejecting);
    let other_backend = mean_on_time_when_warm(|scenario| {
        rejecting(scenario);
        scenario.may_retry_same_backend = |_| false;
    });
    assert!(same_backend > other_backend + 0.02, "{same_backend:.3} and {other_backend:.3}");
}

/// Under short bursts, refused clients are served on time if they retry as soon as slots are
/// free.
#[test]
fn short_retry_after_serves_more_requests_on_time() {
    fn bursts(scenario: &mut Scenario) {
        scenario.rate_per_s = |now_ms| if now_ms % 1_500 < 500 { 340.0 } else { 120.0 };
    }
    let short_retry_after = mean_on_time_when_warm(bursts);
    let long_retry_after = mean_on_time_when_warm(|scenario| {
        bursts(scenario);
        scenario.retry_after_ms = 100..=400;
    });
    assert!(
        short_retry_after > long_retry_after + 0.01,
        "{short_retry_after:.3} and {long_retry_after:.3}"
    );
}

/// Regional objects stay in their region in half of the cases instead of a third, without
/// more late responses.
#[test]
fn half_of_the_requests_stay_in_the_client_region() {
    let scenario = scenario(1);
    let seconds = simulate(&scenario);
    assert!(in_region(&seconds) > 0.45, "{:.3}", in_region(&seconds));
    assert!(on_time(&seconds[6..15]) > 0.9, "{:.3}", on_time(&seconds[6..15]));
}
