//! What must hold, from what clients and backend servers saw.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;

use crate::{
    clients::{Outcome, RequestRecord, body_of},
    plan::Plan,
    run::{Deployment, Server},
};

/// Time after which a server that leaves gets nothing new.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The share of reads that must be served when all is well.
const MIN_SERVED_SHARE: f64 = 0.97;

/// How requests ended, in one line.
pub(crate) fn summary(records: &[RequestRecord]) -> String {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for record in records {
        let outcome = match record.outcome {
            Outcome::Response { status, .. } => status.to_string(),
            Outcome::ConnectionClosed => "cut".to_owned(),
            Outcome::TimedOut => "silence".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    format!("{} requests: {outcomes:?}", records.len())
}

/// Everything that was wrong.
pub(crate) fn check_all(
    deployment: &Deployment,
    plan: &Plan,
    records: &[RequestRecord],
    recovered_at: Instant,
) -> Vec<String> {
    let received: Vec<ReceivedRequest> =
        deployment.servers.iter().flat_map(|server| server.backend.received()).collect();
    let mut problems: Vec<String> =
        deployment.instances.iter().filter_map(|instance| instance.unexpected_exit()).collect();
    problems.extend(check_responses(records));
    problems.extend(check_executions(records, &received));
    problems.extend(check_received(records, &received));
    problems.extend(
        deployment.servers.iter().filter_map(|server| check_drained(server, plan, recovered_at)),
    );
    problems.extend(check_availability(records, recovered_at));
    if plan.is_planned_only {
        problems.extend(check_lost(records, &received));
    }
    problems
}

/// Each success is the whole answer to its own request.
fn check_responses(records: &[RequestRecord]) -> impl Iterator<Item = String> {
    let mismatched = records
        .iter()
        .filter(|e| matches!(e.outcome, Outcome::Response { matches_request: false, .. }));
    mismatched.map(|record| format!("not the answer to {}: {record:?}", record.id))
}

/// A write runs once at the most, and not at all if it is refused as not run.
fn check_executions(records: &[RequestRecord], received: &[ReceivedRequest]) -> Vec<String> {
    let mut executions: BTreeMap<&str, usize> = BTreeMap::new();
    for received in received.iter().filter(|received| received.is_executed) {
        *executions.entry(&received.id).or_default() += 1;
    }
    let mut problems = Vec::new();
    for record in records.iter().filter(|record| record.is_write) {
        let executions = executions.get(record.id.as_str()).copied().unwrap_or(0);
        let claims_not_executed =
            matches!(record.outcome, Outcome::Response { status: 503 | 429 | 408 | 421, .. });
        if executions > 1 {
            problems.push(format!("ran {executions} times: {record:?}"));
        }
        if claims_not_executed && executions > 0 {
            problems.push(format!("refused as not run, and ran: {record:?}"));
        }
    }
    problems
}

/// Servers get what clients sent, unchanged.
fn check_received(records: &[RequestRecord], received: &[ReceivedRequest]) -> Vec<String> {
    let sent: BTreeMap<&str, bool> =
        records.iter().map(|record| (record.id.as_str(), record.is_write)).collect();
    let is_as_sent = |received: &&ReceivedRequest| match sent.get(received.id.as_str()) {
        Some(true) => {
            received.method_and_path == "POST /write/x"
                && received.body == body_of(&received.id).as_bytes()
        }
        Some(false) => received.method_and_path == "GET /read/x" && received.body.is_empty(),
        // The requests by which it is checked that all is well.
        None => received.method_and_path.starts_with("GET /new") && received.id.starts_with('c'),
    };
    let unexpected = received.iter().filter(|received| !is_as_sent(received));
    unexpected
        .map(|received| format!("nobody sent {} {}", received.method_and_path, received.id))
        .collect()
}

/// A server that leaves gets nothing new after a while. With faults around, that
/// holds from when all is well.
fn check_drained(server: &Server, plan: &Plan, recovered_at: Instant) -> Option<String> {
    let drained_at = (*server.drained_at.lock().unwrap())?;
    let drain_deadline = match plan.is_planned_only {
        true => drained_at + DRAIN_TIMEOUT,
        false => (drained_at + DRAIN_TIMEOUT).max(recovered_at),
    };
    let late = server
        .backend
        .received()
        .into_iter()
        .find(|received| received.received_at > drain_deadline)?;
    let after = late.received_at - drained_at;
    Some(format!("{} got {} {after:?} after it began to leave", server.backend.id(), late.id))
}

/// When all is well, reads are served.
fn check_availability(records: &[RequestRecord], recovered_at: Instant) -> Option<String> {
    let reads: Vec<&RequestRecord> =
        records.iter().filter(|e| !e.is_write && e.sent_at >= recovered_at).collect();
    let served =
        reads.iter().filter(|e| matches!(e.outcome, Outcome::Response { status: 200, .. }));
    let served = served.count();
    if !reads.is_empty() && served as f64 >= reads.len() as f64 * MIN_SERVED_SHARE {
        return None;
    }
    let failed = reads.iter().find(|e| !matches!(e.outcome, Outcome::Response { status: 200, .. }));
    Some(format!("{served} of {} reads are served when all is well: {failed:?}", reads.len()))
}

/// Around planned work, a request that reached a server is answered.
fn check_lost(records: &[RequestRecord], received: &[ReceivedRequest]) -> Vec<String> {
    let arrived: BTreeSet<&str> = received.iter().map(|received| received.id.as_str()).collect();
    let unanswered = records.iter().filter(|e| !matches!(e.outcome, Outcome::Response { .. }));
    let lost = unanswered.filter(|record| arrived.contains(record.id.as_str()));
    lost.map(|record| format!("{} cut off around planned work: {record:?}", record.instance))
        .collect()
}
