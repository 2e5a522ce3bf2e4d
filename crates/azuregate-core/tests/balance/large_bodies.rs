//! Simulation of large bodies in zones with unequal numbers of servers.
//!
//! Each zone gets 30 requests per second: more than one server of three slots and 120 ms per
//! request can handle, and a third of the capacity of four.

use std::collections::BTreeMap;

use azuregate_core::{
    balance::{
        Backend, BackendHandle, BackendQuery, Balancer, Candidate, Decision, LoadBalancingPolicy,
        ObjectAffinity, Outcome,
    },
    names::ZoneName,
};

use crate::fixtures::{backend, balancer_with, exchange_reports, query, service};

const ZONES: [&str; 4] = ["a1", "a2", "b1", "b2"];
const SERVERS_PER_ZONE: [usize; 4] = [4, 4, 1, 1];
const SERVICE_TIME_MS: u64 = 120;
const RATE_PER_S: f64 = 30.0;
const OBJECTS: u64 = 40;
const REPORT_INTERVAL_MS: u64 = 100;
const END_MS: u64 = 10_000;

/// A policy for comparison: a large body goes to one of the nearest two servers or is refused.
#[derive(Debug)]
struct NearestOnly;

impl LoadBalancingPolicy for NearestOnly {
    fn choose(&self, _has_large_body: bool, candidates: &[Candidate]) -> Decision {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|server| (server.status, server.distance, !server.hash));
        let mut nearest = ranked.into_iter().take(2);
        let (first, second) = (nearest.next(), nearest.next());
        let chosen = first.filter(|first| first.has_capacity(4));
        let chosen = chosen.or(second.filter(|second| second.has_capacity(0)));
        let chosen = chosen.or(first.filter(|first| first.has_capacity(5)));
        Decision { chosen: chosen.map(|server| server.handle), ..Decision::default() }
    }
}

fn backends() -> impl Iterator<Item = Backend> {
    let zones = ZONES.iter().zip(SERVERS_PER_ZONE);
    let zones = zones.flat_map(|(&zone, count)| std::iter::repeat_n(zone, count));
    zones.enumerate().map(|(number, zone)| Backend { zone: ZoneName::new(zone), ..backend(number) })
}

/// A server, with the end times of its requests in order of arrival.
#[derive(Default)]
struct Server {
    ends_at_ms: Vec<u64>,
}

impl Server {
    /// Adds a request and returns the time at which it ends.
    fn enqueue(&mut self, now_ms: u64) -> u64 {
        let slots = 3;
        let busy = self.ends_at_ms.len();
        let starts_ms = match busy < slots {
            true => now_ms,
            false => self.ends_at_ms[busy - slots],
        };
        self.ends_at_ms.push(starts_ms + SERVICE_TIME_MS);
        starts_ms + SERVICE_TIME_MS
    }
}

#[derive(Debug, Default)]
struct Outcomes {
    requests: u32,
    refused: u32,
    in_zone: u32,
}

impl Outcomes {
    fn share(&self, part: u32) -> f64 {
        f64::from(part) / f64::from(self.requests)
    }
}

fn simulate(policy: fn() -> Box<dyn LoadBalancingPolicy>) -> Outcomes {
    let mut random = fastrand::Rng::with_seed(1);
    let mut balancers: Vec<Balancer> = (0..ZONES.len())
        .map(|local| balancer_with(policy(), local, ZONES.len(), backends()))
        .collect();
    let mut servers: BTreeMap<String, Server> = BTreeMap::new();
    let mut running: Vec<(u64, usize, BackendHandle)> = Vec::new();
    let mut outcomes = Outcomes::default();
    for now_ms in 0..END_MS {
        running.retain(|&(ends_at_ms, local, handle)| {
            if ends_at_ms <= now_ms {
                let outcome = Outcome::Succeeded { taken_ms: SERVICE_TIME_MS };
                balancers[local].complete(handle, outcome, now_ms);
            }
            ends_at_ms > now_ms
        });
        for server in servers.values_mut() {
            server.ends_at_ms.retain(|&at_ms| at_ms > now_ms);
        }
        for local in 0..ZONES.len() {
            if random.f64() >= RATE_PER_S / 1_000.0 {
                continue;
            }
            outcomes.requests += 1;
            let service = service();
            let backend_query =
                BackendQuery { has_large_body: true, ..query(&service, random.u64(..OBJECTS)) };
            let Some(choice) = balancers[local].choose(&backend_query, now_ms) else {
                outcomes.refused += 1;
                continue;
            };
            outcomes.in_zone += u32::from(choice.backend.zone.as_str() == ZONES[local]);
            let server = servers.entry(choice.backend.id.as_str().to_owned()).or_default();
            running.push((server.enqueue(now_ms), local, choice.handle));
        }
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            exchange_reports(&mut balancers, now_ms);
        }
    }
    outcomes
}

/// Guards against refusals in zones with one server while others are idle. Most bodies still
/// stay in their zone.
#[test]
fn small_zone_spills_over_while_other_zones_are_idle() {
    let nearest = simulate(|| Box::new(NearestOnly));
    assert!(nearest.share(nearest.refused) > 0.02, "{nearest:?}");
    let object_affinity = simulate(|| Box::new(ObjectAffinity));
    assert_eq!(object_affinity.refused, 0, "{object_affinity:?}");
    assert!(object_affinity.share(object_affinity.in_zone) > 0.75, "{object_affinity:?}");
}
