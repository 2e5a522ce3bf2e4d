//! Servers that do at random all that they may do, while processes, servers and links fail.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate_platform::fakes::Behaviour;
use fastrand::Rng;
use tokio::time;

use crate::{
    checks,
    clients::{Outcome, RequestRecord, Traffic},
    cuts::Cut,
    env_number,
    plan::Fault,
    proxy::LinkMode,
    run,
};

const FIXED_SEEDS: [u64; 2] = [1, 2];
const INSTANCES: usize = 3;
const CLIENTS: u64 = 30;
const FAULT_PHASE: Duration = Duration::from_secs(5);
/// Time for the last fault, and for servers to execute all that they received.
const SETTLING: Duration = Duration::from_millis(2_500);
const FAULTS: usize = 14;
const MAX_CONNECTIONS: usize = 12;
const IDLE_TIMEOUT: Duration = Duration::from_millis(60);

/// Guards against a refusal of what was executed, a second execution and a response that is not the
/// request's, whatever servers answer and whichever processes and links fail.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_all_kinds_keep_the_promises() {
    let seeds: Vec<u64> = match env_number("AZUREGATE_ANSWERS_SEEDS") {
        Some(count) => (0..count).map(|_| fastrand::u64(..1_000_000_000)).collect(),
        None => FIXED_SEEDS.to_vec(),
    };
    let mut findings = Vec::new();
    for seed in seeds {
        findings.extend(play(seed).await);
    }
    assert!(findings.is_empty(), "{} findings:\n{}", findings.len(), findings.join("\n"));
}

/// Returns how servers handle requests: most execute them, the rest differs by seed.
fn mixture(random: &mut Rng) -> Behaviour {
    let refusal = |status, is_signed| Behaviour::Refuse { status, is_signed };
    let mut all = vec![
        Behaviour::Reject,
        Behaviour::RejectWith(429),
        Behaviour::RejectWith(400),
        Behaviour::RejectWithoutId,
        Behaviour::RejectBeforeBody,
        Behaviour::AnswerBeforeBody,
        Behaviour::PushBack(Duration::from_millis(40)),
        refusal(503, true),
        refusal(503, false),
        refusal(429, true),
        refusal(408, true),
        refusal(504, true),
        refusal(400, true),
        Behaviour::ServerError,
        Behaviour::DropResponse,
        Behaviour::Truncate,
        Behaviour::StaleResponse,
        Behaviour::DuplicateResponse,
        Behaviour::ExtraBytes,
        Behaviour::Garbage,
        Behaviour::Close,
        Behaviour::CloseDelimited,
        Behaviour::CloseDelimitedReset,
        Behaviour::Unsigned,
        Behaviour::Unnamed,
        Behaviour::Encoded,
    ];
    let copied = [Behaviour::Reject, Behaviour::Respond, refusal(503, true), Behaviour::Unnamed];
    all.extend(copied.map(|first| Behaviour::LateCopy(Box::new(first))));
    random.shuffle(&mut all);
    let kinds = random.usize(6..=all.len());
    let mut shares: Vec<_> = all.into_iter().take(kinds).map(|kind| (2, kind)).collect();
    shares.push((100, Behaviour::Delay(Duration::from_millis(random.u64(2..40)))));
    Behaviour::Mixed(shares)
}

fn fault(random: &mut Rng, servers: usize) -> Fault {
    let duration = Duration::from_millis(random.u64(100..1_500));
    let (instance, server) = (random.usize(..INSTANCES), random.usize(..servers));
    match random.usize(..11) {
        // Its requests go through another instance.
        10 => {
            let cut = if random.bool() { Cut::Reset } else { Cut::RefuseNew };
            Fault::CutOff { instances: vec![instance], cut, duration: 2 * duration }
        }
        0 => Fault::Kill { instance, downtime: duration / 4 },
        1 | 2 => Fault::Pause { instance, duration },
        3 => Fault::Stop { instance },
        4 | 5 => Fault::CrashServer { server },
        _ => {
            let links = [
                LinkMode::Stall,
                LinkMode::StallRequests,
                LinkMode::StallResponses,
                LinkMode::Reset,
                LinkMode::Delay(duration / 4),
            ];
            Fault::ServerLink { server, link: links[random.usize(..links.len())], duration }
        }
    }
}

async fn play(seed: u64) -> Vec<String> {
    let mut random = Rng::with_seed(seed);
    let deployment = Arc::new(run::set_up(seed, INSTANCES).await);
    let servers = deployment.servers.len();
    for (number, server) in deployment.servers.iter().enumerate() {
        server.backend.set_crash_downtime(Duration::from_millis(random.u64(5..600)));
        if number % 2 == 0 {
            server.backend.keep_id();
        }
        if random.bool() {
            server.backend.limit_connections(MAX_CONNECTIONS, IDLE_TIMEOUT);
        }
        server.backend.set(mixture(&mut random));
    }
    let _restarts = deployment.watch_restarts();
    let addrs = deployment.instances.iter().map(|instance| instance.lookup_addr).collect();
    let traffic = Traffic::new(addrs, seed);
    let clients: Vec<_> = (0..CLIENTS).map(|n| tokio::spawn(Arc::clone(&traffic).run(n))).collect();
    let start = Instant::now();
    let faults = (0..FAULTS).map(|_| {
        let (at, fault) = (FAULT_PHASE.mul_f64(random.f64()), fault(&mut random, servers));
        let deployment = Arc::clone(&deployment);
        tokio::spawn(async move {
            time::sleep(at).await;
            deployment.inject(fault).await;
        })
    });
    for fault in faults.collect::<Vec<_>>() {
        fault.await.unwrap();
    }
    time::sleep(FAULT_PHASE.saturating_sub(start.elapsed())).await;
    traffic.stop();
    for client in clients {
        client.await.unwrap();
    }
    time::sleep(SETTLING).await;
    let records = traffic.records();
    eprintln!("seed {seed}: {}", checks::summary(&records));
    let received = deployment.received();
    let mut problems = checks::check_executions(&records, &received);
    problems.extend(checks::check_responses(&records));
    problems.extend(checks::check_received(&records, &received));
    problems.extend(check_played(&records));
    problems.into_iter().map(|problem| format!("seed {seed}: {problem}")).collect()
}

/// Checks that the run had successes, refusals and failures of writes, without which it shows nothing.
fn check_played(records: &[RequestRecord]) -> Option<String> {
    let writes = records.iter().filter(|record| record.is_write);
    let statuses: BTreeSet<u16> = writes
        .filter_map(|record| match record.outcome {
            Outcome::Response { status, .. } => Some(status),
            Outcome::ConnectionClosed | Outcome::TimedOut => None,
        })
        .collect();
    let has_all = [200, 502, 503].iter().all(|status| statuses.contains(status));
    (!has_all).then(|| format!("writes were answered with {statuses:?} only"))
}
