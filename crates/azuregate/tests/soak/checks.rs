//! What must hold, from what clients and backend servers saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;

use crate::{
    clients::{End, Exchange, body_of},
    plan::Plan,
    run::{Server, Stage},
};

/// Time after which a server that leaves gets nothing new.
const DRAINED_AFTER: Duration = Duration::from_millis(2_500);
/// The share of reads that must be served when all is well.
const SERVED_SHARE: f64 = 0.97;

/// How requests ended, in one line.
pub(crate) fn summary(exchanges: &[Exchange]) -> String {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for exchange in exchanges {
        let end = match exchange.end {
            End::Answered { status, .. } => status.to_string(),
            End::Cut => "cut".to_owned(),
            End::Silence => "silence".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    format!("{} requests: {ends:?}", exchanges.len())
}

/// Everything that was wrong.
pub(crate) fn all(
    stage: &Stage,
    plan: &Plan,
    exchanges: &[Exchange],
    calm_at: Instant,
) -> Vec<String> {
    let seen: Vec<ReceivedRequest> =
        stage.servers.iter().flat_map(|server| server.backend.received()).collect();
    let mut problems: Vec<String> =
        stage.instances.iter().filter_map(|instance| instance.own_end()).collect();
    problems.extend(answers(exchanges));
    problems.extend(runs(exchanges, &seen));
    problems.extend(unasked(exchanges, &seen));
    problems.extend(stage.servers.iter().filter_map(|server| leaving(server, plan, calm_at)));
    problems.extend(service(exchanges, calm_at));
    if plan.is_planned_only {
        problems.extend(lost(exchanges, &seen));
    }
    problems
}

/// Each success is the whole answer to its own request.
fn answers(exchanges: &[Exchange]) -> impl Iterator<Item = String> {
    let foreign = exchanges.iter().filter(|e| matches!(e.end, End::Answered { is_own: false, .. }));
    foreign.map(|exchange| format!("not the answer to {}: {exchange:?}", exchange.id))
}

/// A write runs once at the most, and not at all if it is refused as not run.
fn runs(exchanges: &[Exchange], seen: &[ReceivedRequest]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for seen in seen.iter().filter(|seen| seen.is_executed) {
        *runs.entry(&seen.id).or_default() += 1;
    }
    let mut problems = Vec::new();
    for exchange in exchanges.iter().filter(|exchange| exchange.is_write) {
        let runs = runs.get(exchange.id.as_str()).copied().unwrap_or(0);
        let is_promise =
            matches!(exchange.end, End::Answered { status: 503 | 429 | 408 | 421, .. });
        if runs > 1 {
            problems.push(format!("ran {runs} times: {exchange:?}"));
        }
        if is_promise && runs > 0 {
            problems.push(format!("refused as not run, and ran: {exchange:?}"));
        }
    }
    problems
}

/// Servers get what clients sent, unchanged.
fn unasked(exchanges: &[Exchange], seen: &[ReceivedRequest]) -> Vec<String> {
    let sent: BTreeMap<&str, bool> =
        exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange.is_write)).collect();
    let is_as_sent = |seen: &&ReceivedRequest| match sent.get(seen.id.as_str()) {
        Some(true) => {
            seen.method_and_path == "POST /write/x" && seen.body == body_of(&seen.id).as_bytes()
        }
        Some(false) => seen.method_and_path == "GET /read/x" && seen.body.is_empty(),
        // The requests by which it is checked that all is well.
        None => seen.method_and_path.starts_with("GET /new") && seen.id.starts_with('c'),
    };
    let unasked = seen.iter().filter(|seen| !is_as_sent(seen));
    unasked.map(|seen| format!("nobody sent {} {}", seen.method_and_path, seen.id)).collect()
}

/// A server that leaves gets nothing new after a while. With faults around, that
/// holds from when all is well.
fn leaving(server: &Server, plan: &Plan, calm_at: Instant) -> Option<String> {
    let drained_at = (*server.drained_at.lock().unwrap())?;
    let quiet_from = match plan.is_planned_only {
        true => drained_at + DRAINED_AFTER,
        false => (drained_at + DRAINED_AFTER).max(calm_at),
    };
    let late = server.backend.received().into_iter().find(|seen| seen.received_at > quiet_from)?;
    let after = late.received_at - drained_at;
    Some(format!("{} got {} {after:?} after it began to leave", server.backend.id(), late.id))
}

/// When all is well, reads are served.
fn service(exchanges: &[Exchange], calm_at: Instant) -> Option<String> {
    let reads: Vec<&Exchange> =
        exchanges.iter().filter(|e| !e.is_write && e.sent_at >= calm_at).collect();
    let served = reads.iter().filter(|e| matches!(e.end, End::Answered { status: 200, .. }));
    let served = served.count();
    if !reads.is_empty() && served as f64 >= reads.len() as f64 * SERVED_SHARE {
        return None;
    }
    let failed = reads.iter().find(|e| !matches!(e.end, End::Answered { status: 200, .. }));
    Some(format!("{served} of {} reads are served when all is well: {failed:?}", reads.len()))
}

/// Around planned work, a request that reached a server is answered.
fn lost(exchanges: &[Exchange], seen: &[ReceivedRequest]) -> Vec<String> {
    let arrived: BTreeSet<&str> = seen.iter().map(|seen| seen.id.as_str()).collect();
    let cut = exchanges.iter().filter(|e| !matches!(e.end, End::Answered { .. }));
    let lost = cut.filter(|exchange| arrived.contains(exchange.id.as_str()));
    lost.map(|exchange| format!("{} cut off around planned work: {exchange:?}", exchange.instance))
        .collect()
}
