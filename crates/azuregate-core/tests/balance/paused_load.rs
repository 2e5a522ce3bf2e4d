//! Load while servers reject requests and ask for pauses.

use std::fmt;

use azuregate_core::balance::{Choice, ObjectAffinity};

use crate::{
    fixtures::backend,
    simulation::{
        CacheInsertion, Class, PauseWay, Pausing, Scenario, SecondStats, on_time, simulate,
    },
};

const SERVERS: usize = 24;
/// The time in which servers reject all requests, and the end, in seconds.
const FROM_S: usize = 6;
const TO_S: usize = 14;
const END_S: usize = 18;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;
const WAYS: [PauseWay; 5] = [
    PauseWay::Ignored,
    PauseWay::Kept,
    PauseWay::KeptWithShortRetryDelay,
    PauseWay::ToldToAll,
    PauseWay::Forwarded,
];

fn scenario(servers: usize, way: PauseWay, seed: u64) -> Scenario {
    Scenario {
        seed,
        end_ms: 1_000 * END_S as u64,
        instances: 9,
        servers: (0..SERVERS).map(backend).collect(),
        server_queue: 9,
        cache_capacity: 43,
        cache_insertion: CacheInsertion::AtEnd,
        retry_after_ms: 30..=150,
        client_retries: 3,
        limited: (0, 0.0),
        pausing: Some(Pausing {
            servers,
            from_ms: 1_000 * FROM_S as u64,
            to_ms: 1_000 * TO_S as u64,
            pause_ms: 3_000,
            way,
        }),
        rejection_rate: |_| 0.0,
        max_attempts: 3,
        may_retry_same_backend: Choice::had_free_slot,
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
        hash: |_, object| object.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        policy: || Box::new(ObjectAffinity),
    }
}

/// What happened to the requests from the first pause on, for each hundred of them.
#[derive(Clone, Copy)]
struct Outcomes {
    on_time: f64,
    sent: f64,
    rejected: f64,
    /// Requests on time in the two seconds after the servers accept requests again.
    on_time_after: f64,
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcomes { on_time, sent, rejected, on_time_after } = self;
        write!(f, "{on_time:.1} on time, {sent:.1} sent, {rejected:.1} rejections, ")?;
        write!(f, "{on_time_after:.1} on time just after")
    }
}

fn run(servers: usize, way: PauseWay) -> Outcomes {
    let seconds: Vec<SecondStats> =
        SEEDS.flat_map(|seed| simulate(&scenario(servers, way, seed)).split_off(FROM_S)).collect();
    let sum = |count: fn(&SecondStats) -> u32| seconds.iter().map(|s| f64::from(count(s))).sum();
    let requests: f64 = sum(|second| second.requests);
    let after: Vec<SecondStats> = seconds
        .chunks(END_S - FROM_S)
        .flat_map(|seconds| seconds[TO_S - FROM_S..][..2].to_vec())
        .collect();
    Outcomes {
        on_time: 100.0 * sum(|second| second.on_time) / requests,
        sent: 100.0 * sum(|second| second.sent) / requests,
        rejected: 100.0 * sum(|second| second.rejected) / requests,
        on_time_after: 100.0 * on_time(&after),
    }
}

/// Guards against keeping pauses in a way that serves fewer requests in time than ignoring them does
/// while other servers have room, or that sends servers as much of what they reject.
#[test]
fn keeping_pauses_serves_more_than_ignoring_them() {
    for servers in [0, 1, SERVERS / 2, SERVERS] {
        let outcomes = WAYS.map(|way| run(servers, way));
        for (way, outcomes) in WAYS.iter().zip(&outcomes) {
            println!("{servers} of {SERVERS} pause, {way:?}: {outcomes}");
        }
        let [ignored, kept, ..] = outcomes;
        let has_others = servers < SERVERS;
        assert!(!has_others || kept.on_time >= ignored.on_time - 0.5, "{servers} pause");
        assert!(kept.rejected <= ignored.rejected / 3.0, "{servers} pause");
    }
}
