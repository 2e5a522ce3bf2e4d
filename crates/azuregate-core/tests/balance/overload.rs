//! A load that replays how an overload outlasts its cause.
//!
//! Ten servers of three slots remember 43 objects each and work 72 ms on one that
//! they remember, 240 ms on another. Nine instances send 300 requests a second
//! about 261 objects, three quarters of what warm servers can take and more than
//! twice of what cold ones can. At 6 s the load is three times as high, for two
//! seconds. Requests that were refused come back once.

use azuregate_core::balance::{Candidate, Decision, LoadBalancingPolicy, ObjectAffinity};

use crate::{
    replay::{Class, Load, Remembers, Second, in_time, play},
    world::backend,
};

const USUAL_PER_S: f64 = 300.0;
const BURST_PER_S: f64 = 900.0;

fn load(tells_others: bool, rule: fn() -> Box<dyn LoadBalancingPolicy>) -> Load {
    Load {
        seed: 1,
        end_ms: 18_000,
        instances: 9,
        servers: (0..10).map(backend).collect(),
        server_queue: 9,
        remembered: 43,
        remembers: Remembers::AtEnd,
        return_ms: 250..=250,
        rejected: |_| 0.0,
        tries: 1,
        asks_again: |_| false,
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
        tells_others,
        per_s: |now_ms| if (6_000..8_000).contains(&now_ms) { BURST_PER_S } else { USUAL_PER_S },
        hash: |_, object| object,
        rule,
    }
}

/// The mean share that is in time in the seconds after the burst.
fn afterwards(seconds: &[Second]) -> f64 {
    let shares = seconds[11..17].iter().map(|second| in_time(std::slice::from_ref(second)));
    shares.sum::<f64>() / 6.0
}

fn by_object() -> Box<dyn LoadBalancingPolicy> {
    Box::new(ObjectAffinity)
}

/// An earlier rule, to be played beside the one that is used: a full server is
/// left for the object's second at any load of that.
#[derive(Debug)]
struct SecondAtAnyLoad;

impl LoadBalancingPolicy for SecondAtAnyLoad {
    fn choose(&self, _has_large_body: bool, candidates: &[Candidate]) -> Decision {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|server| (server.status, !server.hash));
        let mut owners = ranked.into_iter().take(2);
        let (first, second) = (owners.next(), owners.next());
        let chosen = first.filter(|first| first.has_capacity(4));
        let chosen = chosen.or(second.filter(|second| second.has_capacity(5)));
        Decision { chosen: chosen.map(|server| server.handle), ..Decision::default() }
    }
}

/// Clients see late answers and refusals while the load is too high, and good
/// answers three seconds after it is as before.
#[test]
fn an_overload_ends_with_its_cause() {
    let seconds = play(&load(true, by_object));
    assert!(afterwards(&seconds) > 0.8, "{seconds:?}");
}

/// The same load, and a full server is left for a full one: each server sees more
/// objects than it remembers, all work is cold, and the overload stays.
#[test]
fn a_second_server_at_any_load_keeps_the_overload_up() {
    let seconds = play(&load(true, || Box::new(SecondAtAnyLoad)));
    assert!(afterwards(&seconds) < 0.6, "{seconds:?}");
}

/// The same load, and the instances do not tell each other what they have in
/// flight: queues grow unseen, and a third of the answers is late for good.
#[test]
fn knowing_what_others_have_in_flight_keeps_queues_short() {
    let (told, untold) = (play(&load(true, by_object)), play(&load(false, by_object)));
    assert!(afterwards(&told) > afterwards(&untold) + 0.1, "{told:?} and {untold:?}");
}
