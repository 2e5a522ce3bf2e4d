//! What goes wrong in a run, drawn from its seed.

use std::time::Duration;

use azuregate_platform::fakes::{Behaviour, StoreFault};
use fastrand::Rng;

use crate::proxy::Link;

/// How long things go wrong.
pub(crate) const TROUBLE: Duration = Duration::from_secs(9);
const MOST_FAULTS: usize = 14;

/// One thing that goes wrong, or is planned.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill { instance: usize, pause: Duration },
    KillAll { pause: Duration },
    Freeze { instance: usize, pause: Duration },
    Stop { instance: usize },
    Settings { instance: usize, hangs_up: bool },
    StoreLink { instance: usize, link: Link, lasts: Duration },
    Store { fault: StoreFault, lasts: Duration, rows_run_out: bool },
    DiscardHistory,
    ServerLink { server: usize, link: Link, lasts: Duration },
    ServerBehaviour { server: usize, behaviour: Behaviour, lasts: Duration },
    Drain { server: usize },
    Configure,
}

/// A run: what happens when.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Whether there is nothing but planned work, around which no request may be
    /// lost.
    pub(crate) is_planned_only: bool,
    pub(crate) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The plan of `seed` for so many instances and servers; each third is one of
    /// planned work only.
    pub(crate) fn draw(seed: u64, instances: usize, servers: usize) -> Plan {
        let mut random = Rng::with_seed(seed);
        let is_planned_only = seed.is_multiple_of(3);
        let mut faults = Vec::new();
        let mut drained = Vec::new();
        for _ in 0..random.usize(4..=MOST_FAULTS) {
            let at = TROUBLE.mul_f64(random.f64());
            let fault = match is_planned_only {
                true => planned(&mut random, instances, servers),
                false => any(&mut random, instances, servers),
            };
            if let Fault::Drain { server } = fault {
                if drained.contains(&server) || drained.len() >= servers / 3 {
                    continue;
                }
                drained.push(server);
            }
            faults.push((at, fault));
        }
        faults.sort_by_key(|(at, _)| *at);
        Plan { is_planned_only, faults }
    }
}

fn planned(random: &mut Rng, instances: usize, servers: usize) -> Fault {
    match random.usize(..4) {
        0 => Fault::Stop { instance: random.usize(..instances) },
        1 => Fault::Settings { instance: random.usize(..instances), hangs_up: random.bool() },
        2 => Fault::Drain { server: random.usize(..servers) },
        _ => Fault::Configure,
    }
}

fn any(random: &mut Rng, instances: usize, servers: usize) -> Fault {
    let lasts = Duration::from_millis(random.u64(200..4_000));
    let (instance, server) = (random.usize(..instances), random.usize(..servers));
    match random.usize(..16) {
        0 | 1 => Fault::Kill { instance, pause: lasts / 4 },
        2 => Fault::KillAll { pause: lasts / 4 },
        3 | 4 => Fault::Freeze { instance, pause: lasts },
        5..=7 => Fault::StoreLink { instance, link: link(random), lasts },
        8 | 9 => {
            let fault = match random.usize(..4) {
                0 => StoreFault::ErrorStatus(503),
                1 => StoreFault::ErrorStatus(429),
                2 => StoreFault::DropResponse,
                _ => StoreFault::Hang,
            };
            Fault::Store { fault, lasts, rows_run_out: random.bool() }
        }
        10 => Fault::DiscardHistory,
        11 | 12 => Fault::ServerLink { server, link: link(random), lasts },
        13 => Fault::ServerBehaviour { server, behaviour: behaviour(random), lasts },
        _ => planned(random, instances, servers),
    }
}

fn link(random: &mut Rng) -> Link {
    match random.usize(..4) {
        0 => Link::Silent,
        1 => Link::OneWay,
        2 => Link::Resets,
        _ => Link::Delays(Duration::from_millis(random.u64(20..400))),
    }
}

fn behaviour(random: &mut Rng) -> Behaviour {
    let all = [
        Behaviour::Delay(Duration::from_millis(random.u64(100..1_500))),
        Behaviour::Reject,
        Behaviour::ServerError,
        Behaviour::DropResponse,
        Behaviour::Truncate,
        Behaviour::StaleResponse,
        Behaviour::DuplicateResponse,
        Behaviour::CloseDelimited,
        Behaviour::CloseDelimitedReset,
        Behaviour::Unsigned,
    ];
    all[random.usize(..all.len())].clone()
}
