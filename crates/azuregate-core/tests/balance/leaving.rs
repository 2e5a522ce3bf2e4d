//! Backend servers that announce that they are leaving.

use azuregate_core::balance::{
    Backend, BackendHandle, BackendRun, Balancer, LeavingReport, Outcome, RateLimitObservation,
};

use crate::fixtures::{backend, balancer, members, query, service};

const NOW_MS: u64 = 100_000;
const REPORT_TTL_MS: u64 = 10_000;

/// Returns the servers that the requests for many objects are sent to.
fn chosen(balancer: &mut Balancer, now_ms: u64) -> Vec<BackendHandle> {
    let service = service();
    let mut handles = Vec::new();
    for object in 0..100_u64 {
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let Some(choice) = balancer.choose(&query(&service, object), now_ms) else { continue };
        balancer.complete(choice.handle, Outcome::Succeeded { taken_ms: 10 }, now_ms);
        handles.push(choice.handle);
    }
    handles
}

fn handle_of(balancer: &Balancer, id: &str) -> BackendHandle {
    let is_same = |handle: &BackendHandle| balancer.backend(*handle).unwrap().id.as_str() == id;
    balancer.handles().find(is_same).unwrap()
}

fn run(number: usize) -> BackendRun {
    BackendRun::of(&backend(number))
}

/// Guards against a change of the row that makes a leaving server available again, and against a new
/// run that is taken for the one that left.
#[test]
fn leaving_lasts_for_the_run_of_the_server() {
    type Change<'a> = &'a dyn Fn(&mut Balancer);
    let members = members(0, 1);
    let put = |balancer: &mut Balancer, backend: Backend| {
        balancer.put(backend, &members, NOW_MS);
    };
    let cases: [(&str, Change<'_>, bool); 5] = [
        ("no change", &|_| {}, true),
        ("updated", &|b| put(b, Backend { cold_left_ms: 1, ..backend(0) }), true),
        (
            "draining and not any more",
            &|b| {
                put(b, Backend { is_draining: true, ..backend(0) });
                put(b, backend(0));
            },
            true,
        ),
        (
            "removed and back",
            &|b| {
                b.remove("server-0");
                put(b, backend(0));
            },
            true,
        ),
        ("restarted", &|b| put(b, Backend { start_epoch_ms: 2, ..backend(0) }), false),
    ];
    for (name, change, is_leaving) in cases {
        let mut balancer = balancer(0, 1, 3);
        assert!(balancer.record_leaving(run(0), NOW_MS).is_some());
        assert!(balancer.record_leaving(run(0), NOW_MS).is_none(), "told once");
        change(&mut balancer);
        let handle = handle_of(&balancer, "server-0");
        let now_ms = NOW_MS + 24 * 60 * 60 * 1_000;
        assert_eq!(!chosen(&mut balancer, now_ms).contains(&handle), is_leaving, "{name}");
        assert_eq!(balancer.has_announced_leaving(handle), is_leaving, "{name}");
    }
}

/// Guards against forgetting a server that is known to leave before its row comes.
#[test]
fn forwarded_announcement_precedes_the_row() {
    let mut balancer = balancer(0, 1, 2);
    assert!(balancer.record_leaving(run(2), NOW_MS).is_none());
    balancer.record_leaving(run(2), NOW_MS);
    balancer.put(backend(2), &members(0, 1), NOW_MS);
    let late = handle_of(&balancer, "server-2");
    assert!(!chosen(&mut balancer, NOW_MS).contains(&late));
}

/// Guards against requests that are granted, or sent to learn of a rate limit, at a leaving server.
#[test]
fn leaving_server_gets_no_granted_requests_and_no_trials() {
    let (service, members) = (service(), members(0, 1));
    let query = query(&service, 1);
    let mut balancer = balancer(0, 1, 1);
    let handle = balancer.handles().next().unwrap();
    let observation =
        RateLimitObservation { limit_per_s: Some(0.0), sent_at_ms: NOW_MS, received_at_ms: NOW_MS };
    balancer.record_rate_limit(handle, observation, &members, NOW_MS);
    balancer.record_leaving(run(0), NOW_MS);
    assert!(balancer.choose_granted(&query, handle, NOW_MS).is_none());
    assert!(balancer.choose(&query, NOW_MS + 60_000).is_none());
    assert!(balancer.is_withheld(handle, NOW_MS));
    assert!(balancer.sample_servers(&service, 1, 0, NOW_MS).is_empty());
}

/// Guards against a report that is taken for the server's own word: one wrong report would take a
/// server away from all instances, and reports of all servers the whole service.
#[test]
fn reported_server_is_used_only_if_no_other_has_room() {
    let mut balancer = balancer(0, 1, 3);
    let reported = handle_of(&balancer, "server-0");
    let report = |numbers: std::ops::Range<usize>| LeavingReport(numbers.map(run).collect());
    assert_eq!(balancer.record_leaving_report(&report(0..1), NOW_MS).len(), 1);
    assert!(balancer.record_leaving_report(&report(0..1), NOW_MS).is_empty(), "no news");
    assert!(!chosen(&mut balancer, NOW_MS).contains(&reported));
    assert!(balancer.is_leaving(reported, NOW_MS) && !balancer.has_announced_leaving(reported));
    let unreachable = handle_of(&balancer, "server-1");
    balancer.complete(unreachable, Outcome::Unreachable, NOW_MS);
    balancer.record_leaving_report(&report(0..3), NOW_MS);
    let chosen_now = chosen(&mut balancer, NOW_MS);
    assert_eq!(chosen_now.len(), 100, "all are reported");
    assert!(!chosen_now.contains(&unreachable), "preferred to those that can be reached");
    assert!(chosen(&mut balancer, NOW_MS + REPORT_TTL_MS).contains(&reported), "not repeated");
}

/// Guards against news that a lost datagram loses, and against all instances telling all others of
/// each server.
#[test]
fn server_is_reported_three_times_by_the_first_that_it_tells() {
    let mut balancer = balancer(0, 2, 2);
    assert_eq!(balancer.next_leaving_report(false), None);
    balancer.record_leaving(run(0), NOW_MS);
    balancer.record_leaving_report(&LeavingReport(vec![run(1)]), NOW_MS);
    balancer.record_leaving(run(1), NOW_MS);
    let report = Some(LeavingReport(vec![run(0)]));
    assert_eq!(balancer.next_leaving_report(true), report);
    assert_eq!(balancer.next_leaving_report(true), None);
    assert_eq!(balancer.next_leaving_report(false), report);
    assert_eq!(balancer.next_leaving_report(false), report);
    assert_eq!(balancer.next_leaving_report(false), None);
}

/// Guards against reports that do not fit in a datagram.
#[test]
fn reports_of_many_servers_are_divided() {
    let mut balancer = balancer(0, 2, 200);
    for number in 0..200 {
        balancer.record_leaving(run(number), NOW_MS);
    }
    let mut reported = Vec::new();
    while let Some(report) = balancer.next_leaving_report(true) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).unwrap();
        assert!(bytes.len() < 1_100, "{} bytes", bytes.len());
        reported.extend(report.0);
    }
    assert_eq!(reported.len(), 200);
}
