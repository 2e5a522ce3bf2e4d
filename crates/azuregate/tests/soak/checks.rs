//! Checks of the guarantees, based on what clients sent and servers received.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;

use crate::{
    clients::{Outcome, RequestRecord, body_of},
    crashing::is_crashing,
    plan::Plan,
    run::{Deployment, Server},
};

/// Time after which a draining server must receive no further requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Minimum share of reads that must succeed after recovery.
const MIN_SERVED_SHARE: f64 = 0.97;

/// Summarizes the outcomes of all requests in one line.
pub(crate) fn summary(records: &[RequestRecord]) -> String {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for record in records {
        let outcome = match record.outcome {
            Outcome::Response { status, .. } => status.to_string(),
            Outcome::ConnectionClosed => "connection closed".to_owned(),
            Outcome::TimedOut => "timed out".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    format!("{} requests: {outcomes:?}", records.len())
}

/// Runs all checks and returns the problems found.
pub(crate) fn check_all(
    deployment: &Deployment,
    plan: &Plan,
    records: &[RequestRecord],
    recovered_at: Instant,
) -> Vec<String> {
    let received = deployment.received();
    let mut problems: Vec<String> =
        deployment.instances.iter().filter_map(|instance| instance.unexpected_exit()).collect();
    problems.extend(check_responses(records));
    problems.extend(check_quarantined(records));
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

/// Checks that each successful response is complete and matches its request.
pub(crate) fn check_responses(records: &[RequestRecord]) -> impl Iterator<Item = String> {
    let mismatched = records
        .iter()
        .filter(|e| matches!(e.outcome, Outcome::Response { matches_request: false, .. }));
    mismatched.map(|record| format!("response does not match request {}: {record:?}", record.id))
}

/// Checks that no proper request is refused as one that crashes servers.
fn check_quarantined(records: &[RequestRecord]) -> impl Iterator<Item = String> {
    let refused = records
        .iter()
        .filter(|e| matches!(e.outcome, Outcome::Response { is_quarantined: true, .. }));
    refused.map(|record| format!("refused as crashing servers: {record:?}"))
}

/// Checks that writes run at most once, and never if the response says that they did not.
pub(crate) fn check_executions(
    records: &[RequestRecord],
    received: &[ReceivedRequest],
) -> Vec<String> {
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
            problems.push(format!("executed {executions} times: {record:?}"));
        }
        if claims_not_executed && executions > 0 {
            problems.push(format!("refused as not executed, but executed: {record:?}"));
        }
    }
    problems
}

/// Checks that servers received only requests that clients sent, unchanged.
pub(crate) fn check_received(
    records: &[RequestRecord],
    received: &[ReceivedRequest],
) -> Vec<String> {
    let sent: BTreeMap<&str, bool> =
        records.iter().map(|record| (record.id.as_str(), record.is_write)).collect();
    let is_as_sent = |received: &&ReceivedRequest| match sent.get(received.id.as_str()) {
        Some(true) => {
            received.method_and_path == "POST /write/x"
                && match received.is_complete {
                    true => received.body == body_of(&received.id).as_bytes(),
                    // The connection ended after an early answer.
                    false => body_of(&received.id).as_bytes().starts_with(&received.body),
                }
        }
        Some(false) => received.method_and_path == "GET /read/x" && received.body.is_empty(),
        // Requests that crash servers, and those of the check after recovery.
        None => {
            is_crashing(received)
                || received.method_and_path.starts_with("GET /new") && received.id.starts_with('c')
        }
    };
    let unexpected = received.iter().filter(|received| !is_as_sent(received));
    unexpected
        .map(|received| format!("no client sent {} {}", received.method_and_path, received.id))
        .collect()
}

/// Checks that a draining server receives no requests after the drain timeout, or after
/// recovery if the run has unplanned faults.
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
    Some(format!("{} received {} {after:?} after it began to drain", server.backend.id(), late.id))
}

/// Checks that reads succeed after recovery.
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
    Some(format!("only {served} of {} reads succeeded after recovery: {failed:?}", reads.len()))
}

/// Checks that during planned operations every request that reached a server gets a
/// response.
fn check_lost(records: &[RequestRecord], received: &[ReceivedRequest]) -> Vec<String> {
    let arrived: BTreeSet<&str> = received.iter().map(|received| received.id.as_str()).collect();
    let unanswered = records.iter().filter(|e| !matches!(e.outcome, Outcome::Response { .. }));
    let lost = unanswered.filter(|record| arrived.contains(record.id.as_str()));
    lost.map(|record| {
        format!("{} lost a response during planned operations: {record:?}", record.instance)
    })
    .collect()
}
