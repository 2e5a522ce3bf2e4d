//! Servers that ask for pauses or announce that they are leaving, and the check that instances obey.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;
use fastrand::Rng;

use crate::{
    plan::{FAULT_PHASE, Fault},
    run::Deployment,
};

const MAX_PUSHBACKS: usize = 4;
/// Time after an announcement in which requests that were sent before may arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// Returns times in which servers reject requests and ask for pauses, and a server that leaves in half
/// of the runs, from a generator of their own.
pub(crate) fn generate(seed: u64, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(24));
    let mut faults = Vec::new();
    for _ in 0..random.usize(..=MAX_PUSHBACKS) {
        let at = FAULT_PHASE.mul_f64(random.f64());
        let pause = Duration::from_millis(random.u64(200..3_500));
        let duration = Duration::from_millis(random.u64(200..3_000));
        faults.push((at, Fault::PushBack { server: random.usize(..servers), pause, duration }));
    }
    if random.bool() {
        let at = FAULT_PHASE.mul_f64(random.f64());
        faults.push((at, Fault::Leave { server: random.usize(..servers) }));
    }
    faults
}

/// Checks that no request reached a server from an instance during a pause that it had asked this
/// instance for, or after it had told this instance that it is leaving. Each run of a server counts by
/// itself. Instances that were killed, stopped, paused or cut off meanwhile are excused, and servers
/// whose links had a fault.
pub(crate) fn check(deployment: &Deployment) -> Vec<String> {
    let mut problems = BTreeMap::new();
    for (number, server) in deployment.servers.iter().enumerate() {
        let received = server.backend.received();
        for told in &received {
            let pause = told.pushed_back.map(|(at, pause)| ("asked for a pause", at, at + pause));
            let leaving =
                told.leaving_said_at.map(|at| ("announced its leaving", at, far_from(at)));
            for (what, from, to) in pause.into_iter().chain(leaving) {
                let is_late = |request: &&ReceivedRequest| {
                    let at = request.received_at;
                    request.sender == told.sender
                        && request.target_backend == told.target_backend
                        && (from + IN_TRANSIT..to).contains(&at)
                        && !is_excused(deployment, number, told, from, at)
                };
                let late: Vec<&ReceivedRequest> = received.iter().filter(is_late).collect();
                let Some(first) = late.first() else { continue };
                let (id, count, after) = (&first.id, late.len(), first.received_at - from);
                // A server tells an instance with each response: the first is reported.
                problems
                    .entry((told.target_backend.clone(), what, told.sender))
                    .or_insert_with(|| format!("{count} requests, {id} {after:?} later"));
            }
        }
    }
    let problems = problems.into_iter();
    problems
        .map(|((server, what, sender), late)| format!("{server} {what}, and {sender} sent {late}"))
        .collect()
}

fn far_from(at: Instant) -> Instant {
    at + Duration::from_secs(3_600)
}

fn is_excused(
    deployment: &Deployment,
    server: usize,
    told: &ReceivedRequest,
    from: Instant,
    to: Instant,
) -> bool {
    let mut instances = deployment.instances.iter();
    let instance = instances.position(|instance| instance.traffic_addr.ip() == told.sender);
    let from = from - IN_TRANSIT;
    let was_cut = |instance: usize| {
        let mut periods = deployment.cut_periods().into_iter();
        periods.any(|p| p.instances.contains(&instance) && p.from <= to && p.to >= from)
    };
    deployment.had_link_fault(server, from, to)
        || instance.is_none_or(|instance| {
            deployment.was_disturbed(instance, from, to) || was_cut(instance)
        })
}
