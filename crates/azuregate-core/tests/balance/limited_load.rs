//! Load while servers limit their rate.

use azuregate_core::balance::ObjectAffinity;

use crate::{
    fixtures::backend,
    simulation::{CacheInsertion, Class, Scenario, SecondStats, simulate},
};

const LIMIT_PER_S: f64 = 3.0;

fn scenario(limited: usize) -> Scenario {
    Scenario {
        seed: 1,
        end_ms: 20_000,
        instances: 9,
        servers: (0..24).map(backend).collect(),
        server_queue: 9,
        cache_capacity: 43,
        cache_insertion: CacheInsertion::AtEnd,
        retry_after_ms: 100..=300,
        client_retries: 1,
        limited: (limited, LIMIT_PER_S),
        pausing: None,
        rejection_rate: |_| 0.0,
        max_attempts: 1,
        may_retry_same_backend: |_| false,
        classes: vec![Class {
            route: "read",
            share: 1.0,
            objects: 300,
            warm_ms: 80,
            cold_ms: 240,
            target_latency_ms: 250,
            deadline_ms: 1_200,
        }],
        is_regional: false,
        exchanges_reports: true,
        rate_per_s: |_| 267.0,
        hash: |_, object| object,
        policy: || Box::new(ObjectAffinity),
    }
}

/// Returns the requests that were sent from the tenth second on, and all of them.
fn sent_and_requests(seconds: &[SecondStats]) -> (u32, u32) {
    let sum = |count: fn(&SecondStats) -> u32| seconds[10..].iter().map(count).sum();
    (sum(|second| second.sent), sum(|second| second.requests))
}

/// Guards against refusing requests because of limits while other servers have room.
#[test]
fn nothing_is_refused_while_other_servers_have_room() {
    for limited in [2, 8] {
        let (sent, requests) = sent_and_requests(&simulate(&scenario(limited)));
        assert!(sent >= requests, "{limited} limited: {sent} of {requests}");
    }
}

/// Guards against refusing more than the limits demand when all servers, or nearly all, have one.
#[test]
fn limits_are_used_up_when_most_servers_are_limited() {
    for limited in [20, 24] {
        let seconds = simulate(&scenario(limited));
        let (sent, requests) = sent_and_requests(&seconds);
        let allowed = limited as f64 * LIMIT_PER_S * (seconds.len() - 10) as f64;
        println!("{limited} limited: {sent} of {requests} sent, the limits allow {allowed}");
        assert!(f64::from(sent) >= 0.9 * allowed, "{limited} limited: {sent} of {allowed}");
    }
}
