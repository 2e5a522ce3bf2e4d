//! An instance that is cut off from servers, and where its requests go.

use azuregate_core::{
    balance::{
        Backend, BackendHandle, Datagram, HeartbeatStatus, Member, Members, Outcome, Reachability,
        ReachabilityReport,
    },
    names::{RegionName, ServiceName, StartNumber},
};

use crate::fixtures::{backend, balancer, instance, member, members, query, service};

const SERVERS: usize = 24;

fn handles(count: usize) -> Vec<BackendHandle> {
    let balancer = balancer(0, 9, SERVERS);
    let sample = balancer.sample_servers(&service(), count, 7, 0);
    sample.into_iter().map(|(handle, _)| handle).collect()
}

fn report(number: usize, is_cut_off: bool, unreachable: &[&ServiceName]) -> ReachabilityReport {
    let mut reachability = Reachability::default();
    for service in unreachable {
        let _ = reachability.record_check(service, false, 0);
    }
    let served = [service(), ServiceName::new("other")];
    let served = served.iter().filter(|name| !is_cut_off || unreachable.contains(name));
    let report = reachability.next_report(&instance(number), StartNumber(1), served, 0);
    report.unwrap_or(ReachabilityReport {
        instance: instance(number).as_str().to_owned(),
        start: StartNumber(1),
        is_cut_off: false,
        unreachable: Vec::new(),
    })
}

/// Nine instances as seen by the first, all live at 1 s.
fn live_members() -> Members {
    let mut members = members(0, 9);
    for number in 0..9 {
        let instance = instance(number);
        members.record_heartbeat(
            &HeartbeatStatus {
                instance: instance.as_str(),
                start: StartNumber(1),
                is_leaving: false,
                can_watch: true,
            },
            1_000,
        );
    }
    members
}

/// Guards against checks after the failure of one server, and against no check when several fail.
#[test]
fn servers_that_fail_in_a_row_start_a_check() {
    let [a, b, c] = handles(3).try_into().unwrap();
    // Failing servers, `None` for a new connection; and whether the last step starts a check.
    let cases: [(&[Option<_>], usize, bool); 6] = [
        (&[Some(a)], SERVERS, false),
        (&[Some(a), Some(a), Some(a)], SERVERS, false),
        (&[Some(a), Some(b)], SERVERS, true),
        (&[Some(a), None, Some(b)], SERVERS, false),
        (&[Some(a), None, Some(b), Some(c)], SERVERS, true),
        (&[Some(a)], 1, true),
    ];
    for (steps, servers, expected) in cases {
        let mut reachability = Reachability::default();
        let mut starts_check = false;
        for step in steps {
            match step {
                Some(handle) => {
                    starts_check = reachability.record_failure(&service(), *handle, servers, 1_000);
                }
                None => reachability.record_connection(&service()),
            }
        }
        assert_eq!(starts_check, expected, "{steps:?}");
    }
}

/// Guards against checks that run twice, or again and again while some servers are down.
#[test]
fn checks_do_not_overlap() {
    let [a, b] = handles(2).try_into().unwrap();
    let mut reachability = Reachability::default();
    let fail = |reachability: &mut Reachability, now_ms| {
        let first = reachability.record_failure(&service(), a, SERVERS, now_ms);
        first | reachability.record_failure(&service(), b, SERVERS, now_ms)
    };
    assert!(fail(&mut reachability, 0));
    assert!(!fail(&mut reachability, 10), "the first one is still running");
    assert!(!reachability.record_check(&service(), true, 100));
    assert!(!fail(&mut reachability, 200), "the links were found up a moment ago");
    assert!(fail(&mut reachability, 1_200));
    assert!(reachability.record_check(&service(), false, 1_400));
    assert!(reachability.is_unreachable(&service()));
    assert!(!fail(&mut reachability, 5_000), "checks go on by themselves");
    assert!(reachability.record_check(&service(), true, 6_000));
    assert!(!reachability.is_unreachable(&service()));
}

/// Guards against clients that are sent to instances without links to servers, and against empty
/// lookups when no instance has any.
#[test]
fn lookup_leaves_out_instances_without_links_to_servers() {
    // Instance n is in zone n modulo 6: a1, a2, b1, b2, c1, c2, a1, a2, b1.
    let cases: [(&[usize], &str, &str, &[usize]); 5] = [
        (&[], "a1", "a", &[0, 6]),
        (&[6], "a1", "a", &[0]),
        (&[0, 6], "a1", "a", &[1, 7]),
        (&[0, 1, 6, 7], "a1", "a", &[2, 3, 4, 5, 8]),
        (&[0, 1, 2, 3, 4, 5, 6, 7, 8], "a1", "a", &[0, 6]),
    ];
    for (cut_off, zone, region, expected) in cases {
        let mut members = live_members();
        members.set_local_cut_off(cut_off.contains(&0));
        for &number in cut_off {
            members.record_reachability(report(number, true, &[&service()]), 1_000);
        }
        let mut found = members.lookup(zone, region, 1_500);
        found.sort();
        let mut addrs: Vec<_> = expected.iter().map(|&n| member(n).traffic_addr).collect();
        addrs.sort();
        assert_eq!(found, addrs, "{cut_off:?}");
    }
    let mut members = live_members();
    members.record_reachability(report(6, false, &[&service()]), 1_000);
    assert_eq!(members.lookup("a1", "a", 1_500).len(), 2, "it reaches another service");
}

/// Guards against requests that leave their home regions, or that go to instances which cannot
/// serve them: those without links, of older versions, that are silent or were tried.
#[test]
fn requests_are_forwarded_to_the_nearest_instance_that_can_serve_them() {
    let region = |name| RegionName::new(name);
    let cases: [(&[usize], &[RegionName], &[usize]); 6] = [
        (&[], &[], &[6]),
        (&[6], &[], &[1, 7]),
        (&[6, 1, 7], &[], &[2, 3, 4, 5, 8]),
        (&[], &[region("b")], &[2, 3, 8]),
        (&[2, 3, 8], &[region("b")], &[]),
        (&[1, 2, 3, 4, 5, 6, 7, 8], &[], &[]),
    ];
    for (excluded, regions, expected) in cases {
        let names: Vec<_> = excluded.iter().map(|&number| instance(number)).collect();
        let unable: [fn(&mut Members, usize); 4] = [
            |members, n| members.record_reachability(report(n, true, &[&service()]), 1_400),
            |members, n| members.put(without_port(n)),
            |members, n| members.remove(instance(n).as_str()),
            |_, _| {},
        ];
        for (way, make_unable) in unable.into_iter().enumerate() {
            let mut members = live_members();
            excluded.iter().for_each(|&number| make_unable(&mut members, number));
            let tried: &[_] = if way == 3 { &names } else { &[] };
            let mut found: Vec<_> = (0..60)
                .filter_map(|random| {
                    members.forwarding_target(&service(), regions, tried, random, 1_500)
                })
                .map(|member| member.instance.clone())
                .collect();
            found.sort();
            found.dedup();
            let expected: Vec<_> = expected.iter().map(|&number| instance(number)).collect();
            assert_eq!(found, expected, "{excluded:?} {regions:?} {way}");
        }
    }
}

fn without_port(number: usize) -> Member {
    Member { forwarding_port: None, ..member(number) }
}

/// Guards against a report that is believed for longer than its instance is heard of, or of an
/// earlier run.
#[test]
fn reports_end_with_the_run_and_with_silence() {
    let mut members = live_members();
    members.record_reachability(report(6, true, &[&service()]), 1_000);
    let target = |members: &Members, now_ms| {
        members.forwarding_target(&service(), &[], &[], 0, now_ms).map(|m| m.instance.clone())
    };
    assert_ne!(target(&members, 1_500), Some(instance(6)));
    let other_run = ReachabilityReport { start: StartNumber(2), ..report(6, false, &[]) };
    members.record_reachability(other_run, 1_500);
    assert_ne!(target(&members, 1_500), Some(instance(6)), "a report of another run");
    members.record_reachability(report(6, false, &[]), 1_600);
    assert_eq!(target(&members, 1_600), Some(instance(6)));
}

/// Guards against servers that count as restarted and cold after the links to them were down.
#[test]
fn servers_are_used_as_before_once_links_are_back() {
    let mut balancer = balancer(0, 9, 1);
    for now_ms in [1_000, 2_000, 3_000] {
        let choice = balancer.choose(&query(&service(), 17), now_ms).unwrap();
        balancer.complete(choice.handle, Outcome::Unreachable, now_ms);
    }
    balancer.forget_failures(&service());
    for number in 0..8 {
        let choice = balancer.choose(&query(&service(), 17), 3_100 + number);
        assert!(choice.is_some(), "request {number} is refused as to a cold server");
        balancer.complete(choice.unwrap().handle, Outcome::Succeeded { taken_ms: 1 }, 3_200);
    }
}

/// Guards against requests that are sent to a server only because it was asked for a sample.
#[test]
fn draining_servers_are_not_checked() {
    let mut balancer = balancer(0, 9, 2);
    let draining = Backend { is_draining: true, ..backend(0) };
    balancer.put(draining, &members(0, 9), 0);
    assert_eq!(balancer.sample_servers(&service(), 6, 7, 0).len(), 1);
}

/// Guards against reports that do not fit into a datagram or cannot be read.
#[test]
fn report_round_trips() {
    let report = report(3, true, &[&service(), &ServiceName::new("other")]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&Datagram::Reachability(report.clone()), &mut bytes).unwrap();
    let read: Datagram = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, Datagram::Reachability(report));
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
}
