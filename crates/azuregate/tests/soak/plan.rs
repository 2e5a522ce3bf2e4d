//! The faults of a run, generated from its seed.

use std::time::Duration;

use azuregate_platform::fakes::{Behaviour, StoreFault};
use fastrand::Rng;

use crate::{
    ZONES, announcements,
    cuts::{self, Cut},
    faulty_responses,
    proxy::LinkMode,
};

/// Period in which faults begin.
pub(crate) const FAULT_PHASE: Duration = Duration::from_secs(9);
const MAX_FAULTS: usize = 14;
const MAX_SERVER_CRASHES: usize = 6;
const MAX_RATE_LIMITS: usize = 4;
/// Limits that servers name, nonsense among them.
const RATE_LIMITS: [&str; 7] = ["0", "0.5", "1.7", "3", "3.2", "6", "NaN"];

/// A fault or a planned operation.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill { instance: usize, downtime: Duration },
    KillAll { downtime: Duration },
    Pause { instance: usize, duration: Duration },
    Stop { instance: usize },
    ChangeSettings { instance: usize, send_sighup: bool },
    StoreLink { instance: usize, link: LinkMode, duration: Duration },
    Store { fault: StoreFault, duration: Duration, expire_rows: bool },
    DiscardHistory,
    ServerLink { server: usize, link: LinkMode, duration: Duration },
    ServerBehaviour { server: usize, behaviour: Behaviour, duration: Duration },
    Drain { server: usize },
    ChangeConfig,
    CrashServer { server: usize },
    CutOff { instances: Vec<usize>, cut: Cut, duration: Duration },
    LimitRate { server: usize, limit: &'static str, duration: Duration },
    PushBack { server: usize, pause: Duration, duration: Duration },
    Leave { server: usize },
}

/// The faults of a run and their times.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Whether the run has planned operations only, during which no request may be lost.
    pub(crate) is_planned_only: bool,
    pub(crate) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Generates the plan of `seed`. Every third seed has planned operations only.
    pub(crate) fn generate(seed: u64, instances: usize, servers: usize) -> Plan {
        let mut random = Rng::with_seed(seed);
        let is_planned_only = seed.is_multiple_of(3);
        let mut faults = Vec::new();
        let mut drained = Vec::new();
        for _ in 0..random.usize(4..=MAX_FAULTS) {
            let at = FAULT_PHASE.mul_f64(random.f64());
            let fault = match is_planned_only {
                true => planned_fault(&mut random, instances, servers),
                false => any_fault(&mut random, instances, servers),
            };
            if let Fault::Drain { server } = fault {
                if drained.contains(&server) || drained.len() >= servers / 3 {
                    continue;
                }
                drained.push(server);
            }
            faults.push((at, fault));
        }
        if !is_planned_only {
            faults.extend(server_crashes(seed, servers));
            faults.extend(cuts::generate(seed, instances, ZONES.len()));
            faults.extend(faulty_responses::generate(seed, servers));
            faults.extend(faulty_responses::generate_unproven(seed, servers));
        }
        faults.extend(rate_limits(seed, servers));
        faults.extend(announcements::generate(seed, servers));
        faults.sort_by_key(|(at, _)| *at);
        Plan { is_planned_only, faults }
    }
}

/// Returns crashes of servers. Their own generator keeps the other faults of a seed as they are.
fn server_crashes(seed: u64, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(32));
    let count = random.usize(..=MAX_SERVER_CRASHES);
    let crash = |random: &mut Rng| {
        let at = FAULT_PHASE.mul_f64(random.f64());
        (at, Fault::CrashServer { server: random.usize(..servers) })
    };
    (0..count).map(|_| crash(&mut random)).collect()
}

/// Returns limits that servers name, from a generator of their own.
fn rate_limits(seed: u64, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(16));
    let limit = |random: &mut Rng| {
        let at = Duration::from_millis(random.u64(..5_000));
        let duration = Duration::from_millis(random.u64(1_000..6_000));
        let limit = RATE_LIMITS[random.usize(..RATE_LIMITS.len())];
        (at, Fault::LimitRate { server: random.usize(..servers), limit, duration })
    };
    (0..random.usize(..=MAX_RATE_LIMITS)).map(|_| limit(&mut random)).collect()
}

fn planned_fault(random: &mut Rng, instances: usize, servers: usize) -> Fault {
    match random.usize(..4) {
        0 => Fault::Stop { instance: random.usize(..instances) },
        1 => Fault::ChangeSettings {
            instance: random.usize(..instances),
            send_sighup: random.bool(),
        },
        2 => Fault::Drain { server: random.usize(..servers) },
        _ => Fault::ChangeConfig,
    }
}

fn any_fault(random: &mut Rng, instances: usize, servers: usize) -> Fault {
    let duration = Duration::from_millis(random.u64(200..4_000));
    let (instance, server) = (random.usize(..instances), random.usize(..servers));
    match random.usize(..16) {
        0 | 1 => Fault::Kill { instance, downtime: duration / 4 },
        2 => Fault::KillAll { downtime: duration / 4 },
        3 | 4 => Fault::Pause { instance, duration },
        5..=7 => Fault::StoreLink { instance, link: random_link_mode(random), duration },
        8 | 9 => {
            let fault = match random.usize(..4) {
                0 => StoreFault::ErrorStatus(503),
                1 => StoreFault::ErrorStatus(429),
                2 => StoreFault::DropResponse,
                _ => StoreFault::Hang,
            };
            Fault::Store { fault, duration, expire_rows: random.bool() }
        }
        10 => Fault::DiscardHistory,
        11 | 12 => Fault::ServerLink { server, link: random_link_mode(random), duration },
        13 => Fault::ServerBehaviour { server, behaviour: random_behaviour(random), duration },
        _ => planned_fault(random, instances, servers),
    }
}

fn random_link_mode(random: &mut Rng) -> LinkMode {
    match random.usize(..4) {
        0 => LinkMode::Stall,
        1 => LinkMode::StallResponses,
        2 => LinkMode::Reset,
        _ => LinkMode::Delay(Duration::from_millis(random.u64(20..400))),
    }
}

fn random_behaviour(random: &mut Rng) -> Behaviour {
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
