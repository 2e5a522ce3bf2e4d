//! Quarantine of requests that crash backend servers.

use azuregate_core::balance::{
    Admission, BackendRun, CrashReport, Datagram, Fingerprint, Quarantine, ReportScope,
};
use serde::Deserialize;

const FIRST_TRIAL_MS: u64 = 600_000;
const DAY_MS: u64 = 24 * 3_600_000;
/// The requests of the tables below.
const CAUSE: Fingerprint = Fingerprint(7);
const OTHER: Fingerprint = Fingerprint(9);

fn is_refused(quarantine: &mut Quarantine, request: Fingerprint, now_ms: u64) -> bool {
    quarantine.admit(request, || false, now_ms) != Admission::Allowed
}

/// An event of a table: a crash with the requests that were in flight, or a response.
enum Event {
    Crash(&'static [Fingerprint]),
    Response(Fingerprint),
}

/// Guards against refusing requests that are not the cause of crashes, and against sending
/// the cause on.
#[test]
fn crashes_are_attributed_to_their_cause() {
    use Event::{Crash, Response};
    let cases: [(&str, &[Event], &[Fingerprint]); 8] = [
        ("two crashes", &[Crash(&[CAUSE]), Crash(&[CAUSE])], &[]),
        ("three crashes", &[Crash(&[CAUSE]), Crash(&[CAUSE]), Crash(&[CAUSE])], &[CAUSE]),
        (
            "a response before the third crash",
            &[Crash(&[CAUSE]), Crash(&[CAUSE]), Response(CAUSE), Crash(&[CAUSE])],
            &[],
        ),
        (
            "a response after the third crash",
            &[Crash(&[CAUSE]), Crash(&[CAUSE]), Crash(&[CAUSE]), Response(CAUSE)],
            &[],
        ),
        (
            "another request beside the cause",
            &[
                Crash(&[CAUSE]),
                Crash(&[CAUSE, OTHER]),
                Crash(&[CAUSE, OTHER]),
                Crash(&[CAUSE, OTHER]),
            ],
            &[CAUSE],
        ),
        (
            "another request beside the cause and at crashes of its own",
            &[
                Crash(&[CAUSE, OTHER]),
                Crash(&[CAUSE, OTHER]),
                Crash(&[CAUSE]),
                Crash(&[OTHER]),
                Crash(&[OTHER]),
            ],
            &[CAUSE],
        ),
        (
            "two causes",
            &[
                Crash(&[CAUSE]),
                Crash(&[OTHER]),
                Crash(&[CAUSE]),
                Crash(&[OTHER]),
                Crash(&[CAUSE, OTHER]),
                Crash(&[CAUSE]),
                Crash(&[OTHER]),
            ],
            &[CAUSE, OTHER],
        ),
        ("many requests at one crash", &[Crash(&[CAUSE, OTHER, Fingerprint(1)])], &[]),
    ];
    for (name, events, expected) in cases {
        let mut quarantine = Quarantine::default();
        for (number, event) in events.iter().enumerate() {
            let now_ms = number as u64 * 1_000;
            match event {
                Crash(requests) => {
                    quarantine.record_crash(BackendRun(number as u64), requests, now_ms);
                }
                Response(request) => {
                    quarantine.record_response(*request, now_ms);
                }
            }
        }
        let refused = [CAUSE, OTHER, Fingerprint(1)].map(|r| is_refused(&mut quarantine, r, 9_000));
        let wanted = [CAUSE, OTHER, Fingerprint(1)].map(|request| expected.contains(&request));
        assert_eq!(refused, wanted, "{name}");
    }
}

/// Guards against refusing both of two requests that are always sent together. The guess may be
/// wrong, but the next crash corrects it.
#[test]
fn next_crash_decides_between_requests_that_were_always_together() {
    for cause in [CAUSE, OTHER] {
        let mut quarantine = Quarantine::default();
        for run in 0..3 {
            quarantine.record_crash(BackendRun(run), &[CAUSE, OTHER], 0);
        }
        let refused = [CAUSE, OTHER].map(|request| is_refused(&mut quarantine, request, 0));
        assert_eq!(refused.iter().filter(|refused| **refused).count(), 1);
        if !is_refused(&mut quarantine, cause, 0) {
            quarantine.record_crash(BackendRun(3), &[cause], 0);
        }
        let refused = [CAUSE, OTHER].map(|request| is_refused(&mut quarantine, request, 0));
        assert_eq!(refused, [CAUSE, OTHER].map(|request| request == cause));
    }
}

/// Guards against an instance that has just started and takes crashes of before its start for
/// simultaneous ones with a common cause.
#[test]
fn crashes_before_the_start_of_an_instance_count() {
    let crash = |run: u64, request| (BackendRun(run), 20_000 - run * 1_000, vec![request]);
    let crashes = (0..10).map(|run| crash(run, if run % 2 == 0 { CAUSE } else { OTHER }));
    let report = CrashReport(crashes.collect(), Vec::new());
    let mut quarantine = Quarantine::default();
    quarantine.record_report(&report, 500);
    assert!(is_refused(&mut quarantine, CAUSE, 600));
    assert!(is_refused(&mut quarantine, OTHER, 600));
}

/// Guards against reports that always contain the same crashes, so that an instance that has
/// just started never learns of the others.
#[test]
fn reports_contain_all_quarantined_requests_in_turn() {
    let mut quarantine = Quarantine::default();
    for request in 0..100 {
        for run in 0..3 {
            let (run, at_ms) = (BackendRun(request * 3 + run), (request * 3 + run) * 1_000);
            quarantine.record_crash(run, &[Fingerprint(request)], at_ms);
        }
    }
    let now_ms = 400_000;
    while quarantine.next_report(ReportScope::Recent, now_ms).is_some() {}
    let mut started = Quarantine::default();
    for _ in 0..4 {
        let report = quarantine.next_report(ReportScope::Quarantined, now_ms).unwrap();
        started.record_report(&report, 0);
    }
    assert_eq!(started.quarantined_requests(), quarantine.quarantined_requests());
}

/// Guards against blaming a request that was answered between a crash and its detection.
#[test]
fn response_before_a_crash_is_detected_clears_the_request() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let crashed_at_ms = run * 300;
        quarantine.record_response(OTHER, crashed_at_ms + 50);
        quarantine.record_crash(BackendRun(run), &[CAUSE, OTHER], crashed_at_ms);
    }
    assert!(is_refused(&mut quarantine, CAUSE, 1_000));
    assert!(!is_refused(&mut quarantine, OTHER, 1_000));
}

/// Guards against blaming requests that were sent to a server after it had crashed, since a
/// proxy in front of it accepts connections.
#[test]
fn requests_sent_after_a_crash_are_not_suspects() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        quarantine.record_crash(BackendRun(run), &[CAUSE], run * 10_000);
        quarantine.record_crash(BackendRun(run), &[OTHER], run * 10_000 + 1_500);
    }
    assert!(is_refused(&mut quarantine, CAUSE, 30_000));
    assert!(!is_refused(&mut quarantine, OTHER, 30_000));
}

/// Guards against counting one crash several times because several instances report it.
#[test]
fn crash_reported_by_several_instances_counts_once() {
    let mut quarantine = Quarantine::default();
    for age_ms in 0..5 {
        let report = CrashReport(vec![(BackendRun(1), age_ms, vec![CAUSE])], Vec::new());
        quarantine.record_report(&report, 1_000);
    }
    assert!(!is_refused(&mut quarantine, CAUSE, 1_000));
}

/// Guards against a request that stays refused although its cause is fixed, and against
/// trials that crash a server at each instance.
#[test]
fn responsible_instance_retries_a_quarantined_request() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        quarantine.record_crash(BackendRun(run), &[CAUSE], 0);
    }
    let refused = |retry_after_ms| Admission::Refused { retry_after_ms };
    let steps = [
        (0, true, refused(FIRST_TRIAL_MS)),
        (FIRST_TRIAL_MS - 100_000, true, refused(100_000)),
        (FIRST_TRIAL_MS, false, refused(60_000)),
        (FIRST_TRIAL_MS, true, Admission::Allowed),
        // One trial at a time.
        (FIRST_TRIAL_MS + 1, true, refused(60_000)),
    ];
    for (now_ms, is_responsible, expected) in steps {
        let admission = quarantine.admit(CAUSE, || is_responsible, now_ms);
        assert_eq!(admission, expected, "at {now_ms}");
    }
    // Each failed trial doubles the time to the next one, and three are the last.
    let mut crashed_at_ms = FIRST_TRIAL_MS;
    for failed in 1..3 {
        quarantine.record_crash(BackendRun(2 + failed), &[CAUSE], crashed_at_ms);
        let next_ms = crashed_at_ms + (FIRST_TRIAL_MS << failed);
        assert!(quarantine.admit(CAUSE, || true, next_ms - 1) != Admission::Allowed);
        assert_eq!(quarantine.admit(CAUSE, || true, next_ms), Admission::Allowed);
        crashed_at_ms = next_ms;
    }
    quarantine.record_crash(BackendRun(5), &[CAUSE], crashed_at_ms);
    let last_ms = crashed_at_ms + DAY_MS - 100_000;
    assert_eq!(quarantine.admit(CAUSE, || true, last_ms), refused(100_000));
    quarantine.expire(crashed_at_ms + DAY_MS);
    assert_eq!(quarantine.admit(CAUSE, || true, crashed_at_ms + DAY_MS), Admission::Allowed);
    assert!(!quarantine.has_crashes());
}

/// Guards against memory and datagrams that grow with the number of different requests that a
/// caller sends, and against a flood that displaces the crashes of a quarantined request.
#[test]
fn flood_of_different_requests_is_bounded() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        quarantine.record_crash(BackendRun(run), &[CAUSE], 0);
    }
    for run in 3..600 {
        let requests: Vec<_> = (0..70).map(|n| Fingerprint(run * 100 + n)).collect();
        quarantine.record_crash(BackendRun(run), &requests, 1_000 + run);
    }
    assert!(is_refused(&mut quarantine, CAUSE, 2_000));
    let mut stored = 0;
    while let Some(report) = quarantine.next_report(ReportScope::Unsent, 2_000) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&Datagram::Crashes(report.clone()), &mut bytes).unwrap();
        assert!(bytes.len() <= 1_200, "{}", bytes.len());
        stored += report.0.len();
    }
    assert!(stored <= 256, "{stored}");
}

/// Guards against instances of an older version that fail on a report.
#[test]
fn older_versions_reject_a_report_as_unknown() {
    #[derive(Deserialize)]
    enum OldDatagram {
        Heartbeat(#[allow(dead_code)] ciborium::Value),
        Load(#[allow(dead_code)] ciborium::Value),
    }
    let report = CrashReport(vec![(BackendRun(1), 5, vec![CAUSE])], vec![OTHER]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&Datagram::Crashes(report), &mut bytes).unwrap();
    let read: Result<OldDatagram, _> = ciborium::from_reader(bytes.as_slice());
    assert!(read.is_err());
}

/// Guards against requests that differ but have the same fingerprint because their parts are
/// joined.
#[test]
fn fingerprint_distinguishes_the_parts_of_a_request() {
    let parts: [&[&[u8]]; 4] =
        [&[b"GET", b"/a"], &[b"GE", b"T/a"], &[b"GET", b"/a", b""], &[b"GET/a"]];
    let fingerprints = parts.map(|parts| Fingerprint::new(parts.iter().copied()));
    for (n, one) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[n + 1..].contains(one), "{n}");
    }
}
