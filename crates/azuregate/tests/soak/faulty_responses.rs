//! Servers that send responses twice, without end, without evidence or before the body is in, and
//! links that are cut one way.

use std::time::Duration;

use azuregate_platform::fakes::{Behaviour, Endless, EndlessPart};
use fastrand::Rng;

use crate::{
    plan::{FAULT_PHASE, Fault},
    proxy::LinkMode,
};

const MAX_FAULTS: usize = 5;

/// Returns times in which servers send such responses, from a generator of their own.
pub(crate) fn generate(seed: u64, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(40));
    let fault = |random: &mut Rng| {
        let at = FAULT_PHASE.mul_f64(random.f64());
        let duration = Duration::from_millis(random.u64(200..3_000));
        let behaviour = match random.bool() {
            true => late_copy(random),
            false => endless(random),
        };
        (at, Fault::ServerBehaviour { server: random.usize(..servers), behaviour, duration })
    };
    (0..random.usize(..=MAX_FAULTS)).map(|_| fault(&mut random)).collect()
}

/// Returns times in which servers refuse requests without saying that these were not executed or
/// answer before a body is in, and one-way cuts of their links, from a generator of their own.
pub(crate) fn generate_unproven(seed: u64, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(48));
    let fault = |random: &mut Rng| {
        let at = FAULT_PHASE.mul_f64(random.f64());
        let duration = Duration::from_millis(random.u64(200..3_000));
        let server = random.usize(..servers);
        let fault = match random.usize(..4) {
            0 => {
                let link = [LinkMode::StallRequests, LinkMode::StallResponses][random.usize(..2)];
                Fault::ServerLink { server, link, duration }
            }
            1 => {
                let early = [Behaviour::RejectBeforeBody, Behaviour::AnswerBeforeBody];
                let behaviour = early[random.usize(..2)].clone();
                Fault::ServerBehaviour { server, behaviour, duration }
            }
            _ => {
                let status = [503, 429, 408][random.usize(..3)];
                let behaviour = Behaviour::Refuse { status, is_signed: random.bool() };
                Fault::ServerBehaviour { server, behaviour, duration }
            }
        };
        (at, fault)
    };
    (0..random.usize(..=MAX_FAULTS)).map(|_| fault(&mut random)).collect()
}

fn late_copy(random: &mut Rng) -> Behaviour {
    let firsts = [
        Behaviour::Reject,
        Behaviour::Reject,
        Behaviour::RejectWith(429),
        Behaviour::RejectWithoutId,
        Behaviour::ServerError,
        Behaviour::Respond,
    ];
    Behaviour::LateCopy(Box::new(firsts[random.usize(..firsts.len())].clone()))
}

fn endless(random: &mut Rng) -> Behaviour {
    let part = EndlessPart::ALL[random.usize(..EndlessPart::ALL.len())];
    let interval = Duration::from_millis(random.u64(1..20));
    Behaviour::Endless(Endless { part, interval })
}
