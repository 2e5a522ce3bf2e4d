//! Availability of instances and backend servers, from heartbeats, lists and
//! probes.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use azuregate_core::{
    membership::{Heartbeat, HeartbeatTiming, Membership},
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    neighbours::{LinkGraph, MAX_FULL_MESH, link_graph},
    probe::{ProbeReport, ProbeTracker, watched_servers},
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
    topology::Topology,
};

const DIGEST: u64 = 7;
const CONFIRMATION_TIMEOUT_MS: u64 = 7_000;

fn id(index: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{index:03}"))
}

fn ids(indices: &[usize]) -> BTreeSet<InstanceId> {
    indices.iter().map(|&index| id(index)).collect()
}

fn heartbeat(confirmed_age_ms: u64) -> Heartbeat {
    Heartbeat { ready: true, confirmed_age_ms: Some(confirmed_age_ms), digest: DIGEST }
}

/// Instance 0 of five, with a heartbeat from each of the others at time 0.
fn five_instances() -> Membership {
    let mut membership = Membership::new(&id(0));
    membership.set_neighbours(&ids(&[1, 2, 3, 4]), Millis(0));
    membership.set_confirmation_timeout_ms(CONFIRMATION_TIMEOUT_MS);
    membership.record_confirmation(Millis(0));
    for index in 1..5 {
        membership.record_heartbeat(&id(index), StartNumber(1), heartbeat(0), DIGEST, Millis(0));
    }
    membership
}

// Guards against taking an instance out of service after a single lost heartbeat.
#[test]
fn one_lost_heartbeat_is_tolerated_at_any_size() {
    for listed in [2, 9, MAX_FULL_MESH, MAX_FULL_MESH + 1, 680] {
        let timing = HeartbeatTiming::for_deployment(listed);
        let mut membership = five_instances();
        membership.set_heartbeat_timing(timing);
        let mut record = |heartbeats: &[usize], at_ms| {
            membership.record_confirmation(at_ms);
            for &index in heartbeats {
                membership.record_heartbeat(
                    &id(index),
                    StartNumber(1),
                    heartbeat(0),
                    DIGEST,
                    at_ms,
                );
            }
            membership.unavailable(at_ms)
        };
        let at = |beats| Millis(beats * timing.heartbeat_ms);
        assert_eq!(record(&[1, 2, 3], at(1)), ids(&[]), "of {listed}");
        assert_eq!(record(&[1, 2, 3], at(2)), ids(&[]), "of {listed}, one lost");
        assert_eq!(record(&[1, 2, 3, 4], at(2)), ids(&[]), "of {listed}, received again");
        let timed_out_at_ms = at(2) + Millis(timing.failure_timeout_ms + 1);
        assert_eq!(record(&[1, 2, 3], timed_out_at_ms), ids(&[4]), "of {listed}, timed out");
    }
}

// Some of the five instances send heartbeats; the others have timed out or cannot
// confirm their configuration.
#[test]
fn unavailable_instances() {
    struct Case {
        case: &'static str,
        /// The instances with a heartbeat, and the age of their confirmation.
        heartbeats: &'static [(usize, u64)],
        unavailable: &'static [usize],
    }
    let later_ms = Millis(100_000);
    let cases = [
        Case {
            case: "all send heartbeats",
            heartbeats: &[(1, 0), (2, 0), (3, 0), (4, 0)],
            unavailable: &[],
        },
        Case { case: "one timed out", heartbeats: &[(1, 0), (2, 0), (3, 0)], unavailable: &[4] },
        Case { case: "two timed out", heartbeats: &[(1, 0), (2, 0)], unavailable: &[3, 4] },
        Case { case: "the observer is partitioned", heartbeats: &[(1, 0)], unavailable: &[] },
        Case {
            case: "one is unconfirmed",
            heartbeats: &[(1, 0), (2, 0), (3, CONFIRMATION_TIMEOUT_MS + 1), (4, 0)],
            unavailable: &[3],
        },
    ];
    for Case { case, heartbeats, unavailable } in cases {
        let mut membership = five_instances();
        membership.record_confirmation(later_ms);
        for &(index, age_ms) in heartbeats {
            membership.record_heartbeat(
                &id(index),
                StartNumber(1),
                heartbeat(age_ms),
                DIGEST,
                later_ms,
            );
        }
        assert_eq!(membership.unavailable(later_ms), ids(unavailable), "{case}");
    }
}

// While the platform is down nobody can confirm, and all stay available. Once one
// instance has read the platform again, those with other versions become unavailable.
#[test]
fn platform_outage_leaves_all_available() {
    let mut membership = five_instances();
    let later_ms = Millis(100_000);
    for index in 1..5 {
        membership.record_heartbeat(
            &id(index),
            StartNumber(1),
            heartbeat(100_000),
            DIGEST,
            later_ms,
        );
    }
    assert_eq!(membership.unavailable(later_ms), ids(&[]));

    membership.record_heartbeat(&id(1), StartNumber(1), heartbeat(0), DIGEST, later_ms);
    assert_eq!(membership.confirmed_age_ms(later_ms), Some(0));
    assert_eq!(membership.unavailable(later_ms), ids(&[2, 3, 4]));

    let mut other = five_instances();
    for index in 1..5 {
        other.record_heartbeat(&id(index), StartNumber(1), heartbeat(0), DIGEST + 1, later_ms);
    }
    assert_eq!(
        other.unavailable(later_ms),
        ids(&[0]),
        "it has other versions than all that confirmed"
    );
}

// A planned stop applies to one start of an instance; late heartbeats of an earlier
// start change nothing.
#[test]
fn stopping_applies_to_one_start() {
    let mut membership = five_instances();
    membership.record_stopping(&id(4), StartNumber(1));
    assert_eq!(membership.unavailable(Millis(1)), ids(&[4]));
    membership.record_heartbeat(&id(4), StartNumber(2), heartbeat(0), DIGEST, Millis(2));
    assert_eq!(membership.unavailable(Millis(2)), ids(&[]));
    membership.record_heartbeat(
        &id(4),
        StartNumber(1),
        heartbeat(CONFIRMATION_TIMEOUT_MS + 1),
        DIGEST,
        Millis(3),
    );
    assert_eq!(membership.unavailable(Millis(3)), ids(&[]));
}

// An instance that starts while the platform is down gets no callers until it is ready.
#[test]
fn instance_that_is_not_ready_is_unavailable() {
    let mut membership = five_instances();
    let starting = Heartbeat { ready: false, confirmed_age_ms: None, digest: 0 };
    membership.record_heartbeat(&id(4), StartNumber(2), starting, DIGEST, Millis(1));
    assert_eq!(membership.unavailable(Millis(1)), ids(&[4]));
    membership.record_heartbeat(&id(4), StartNumber(2), heartbeat(0), DIGEST, Millis(2));
    assert_eq!(membership.unavailable(Millis(2)), ids(&[]));

    let mut all_down = five_instances();
    let later_ms = Millis(100_000);
    for index in 1..4 {
        all_down.record_heartbeat(&id(index), StartNumber(1), heartbeat(100_000), DIGEST, later_ms);
    }
    all_down.record_heartbeat(&id(4), StartNumber(2), starting, DIGEST, later_ms);
    assert_eq!(all_down.unavailable(later_ms), ids(&[4]));
}

// After a pause of the process, peers have not timed out, and earlier confirmations and
// agreement no longer count.
#[test]
fn pause_discards_confirmations() {
    let mut membership = five_instances();
    assert_eq!(membership.agreeing_peers(Millis(1)), 4);
    let resumed_at_ms = Millis(10_000);
    membership.reset_after_pause(resumed_at_ms);
    assert_eq!(
        (membership.agreeing_peers(resumed_at_ms), membership.confirmed_age_ms(resumed_at_ms)),
        (0, None)
    );
    membership.record_heartbeat(&id(1), StartNumber(1), heartbeat(0), DIGEST, resumed_at_ms);
    assert_eq!(membership.agreeing_peers(resumed_at_ms), 1);
}

fn instances(count: usize) -> Vec<Instance> {
    let instance = |index| Instance {
        id: id(index),
        zone: ZoneName::new(&format!("zone-{}", index % 19)),
        ip: "127.0.0.1".parse().unwrap(),
        traffic_port: 1,
        peer_port: 2,
        liveness: Liveness::Live,
    };
    (0..count).map(instance).collect()
}

/// Counts the `live` instances that a change reaches from one of them.
fn count_reachable(graph: &LinkGraph, live: &BTreeSet<InstanceId>) -> usize {
    let first = live.first().unwrap();
    let mut seen = BTreeSet::from([first]);
    let mut queue = VecDeque::from([first]);
    while let Some(id) = queue.pop_front() {
        let next = graph[id].iter().filter(|other| live.contains(*other));
        queue.extend(next.filter(|other| seen.insert(*other)));
    }
    seen.len()
}

#[test]
fn link_graph_is_symmetric_bounded_and_fault_tolerant() {
    for count in [1, 2, 9, MAX_FULL_MESH, MAX_FULL_MESH + 1, 85, 680] {
        let graph = link_graph(&instances(count));
        for (id, linked) in &graph {
            assert!(!linked.contains(id));
            assert!(linked.iter().all(|other| graph[other].contains(id)), "{id} of {count}");
            assert!(linked.len() <= 40, "{id} of {count} has {} links", linked.len());
        }
        let mut rng = fastrand::Rng::with_seed(count as u64);
        for failures in [0, count / 15] {
            let mut live: BTreeSet<_> = graph.keys().cloned().collect();
            for _ in 0..failures {
                live.remove(&id(rng.usize(..count)));
            }
            assert_eq!(count_reachable(&graph, &live), live.len(), "{failures} of {count} failed");
        }
    }
}

fn server(index: usize, start: u64) -> BackendServer {
    BackendServer {
        id: BackendId::new(&format!("desk-{index}")),
        service: ServiceName::new("desk"),
        zone: ZoneName::new("zone-0"),
        addr: "127.0.0.1:1".parse().unwrap(),
        start: StartNumber(start),
        slots: 3,
        liveness: Liveness::Live,
    }
}

fn snapshot(servers: usize) -> Snapshot {
    let topology = Topology {
        regions: Vec::new(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    };
    let mut snapshot = Snapshot::empty(Arc::new(topology));
    let backends = (0..servers).map(|index| server(index, 1)).collect();
    snapshot.set_list(InstanceList { instances: instances(5), backends });
    snapshot
}

fn open_servers(snapshot: &Snapshot) -> usize {
    let servers = snapshot.route_servers(&ServiceName::new("desk"));
    servers.iter().filter(|server| server.available).count()
}

fn backends(indices: &[usize]) -> BTreeSet<BackendId> {
    indices.iter().map(|&index| server(index, 1).id).collect()
}

// Consecutive probe failures per server of one watcher.
#[test]
fn failed_servers_by_consecutive_failures() {
    let cases: [(&str, &[u32], &[usize]); 5] = [
        ("one lost packet", &[1, 0, 0, 0], &[]),
        ("one server failed", &[2, 0, 0, 0], &[0]),
        ("half of the servers failed", &[2, 2, 0, 0], &[0, 1]),
        ("the watcher is partitioned", &[2, 2, 2, 0], &[]),
        ("too few servers to detect a partition", &[2, 2], &[0, 1]),
    ];
    for (case, failures, failed) in cases {
        let mut tracker = ProbeTracker::default();
        let all: Vec<usize> = (0..failures.len()).collect();
        tracker.set_servers(&backends(&all));
        for (index, &count) in failures.iter().enumerate() {
            tracker.record_probe(&server(index, 1).id, true);
            for _ in 0..count {
                tracker.record_probe(&server(index, 1).id, false);
            }
        }
        assert_eq!(tracker.failed_servers(), backends(failed), "{case}");
        tracker.record_probe(&server(0, 1).id, true);
        assert!(!tracker.failed_servers().contains(&server(0, 1).id), "{case}: it answers again");
    }
}

// A server is unreachable only if both of its watchers report it, since one watcher may
// be partitioned. Reports that arrive out of order change nothing.
#[test]
fn server_is_unreachable_when_all_watchers_agree() {
    let mut snapshot = snapshot(4);
    let suspect = server(0, 1).id;
    let mut watchers = (0..5)
        .filter(|&i| watched_servers(&id(i), &snapshot).iter().any(|server| server.id == suspect));
    let (first, second) = (id(watchers.next().unwrap()), id(watchers.next().unwrap()));
    assert_eq!(watchers.next(), None);
    let report = |sequence, failed| ProbeReport { start: StartNumber(1), sequence, failed };
    assert!(snapshot.record_probe_report(&first, report(1, backends(&[0]))));
    assert_eq!(open_servers(&snapshot), 4);
    assert!(snapshot.record_probe_report(&second, report(1, backends(&[0]))));
    assert_eq!(open_servers(&snapshot), 3);
    assert!(snapshot.record_probe_report(&first, report(2, backends(&[]))));
    assert_eq!(open_servers(&snapshot), 4, "it answers the first watcher again");
    assert!(!snapshot.record_probe_report(&first, report(1, backends(&[0]))), "an outdated report");
    let unlisted = InstanceId::new("unlisted");
    assert!(!snapshot.record_probe_report(&unlisted, report(1, backends(&[0]))), "not listed");
}

#[test]
fn leaving_applies_to_one_start_of_a_listed_server() {
    let mut snapshot = snapshot(3);
    let first = server(0, 1).id;
    assert!(!snapshot.mark_leaving(&BackendId::new("unlisted"), StartNumber(1)));
    assert!(!snapshot.mark_leaving(&first, StartNumber(0)), "a start before the listed one");
    assert!(snapshot.mark_leaving(&first, StartNumber(1)));
    assert!(!snapshot.mark_leaving(&first, StartNumber(1)), "already recorded");
    assert_eq!(open_servers(&snapshot), 2);
    let backends = vec![server(0, 2), server(1, 1), server(2, 1)];
    snapshot.set_list(InstanceList { instances: instances(5), backends });
    assert_eq!((open_servers(&snapshot), snapshot.leaving.len()), (3, 0), "it was restarted");
}

#[test]
fn empty_list_is_ignored() {
    let mut snapshot = snapshot(3);
    assert!(!snapshot.set_list(InstanceList::default()));
    assert_eq!((open_servers(&snapshot), snapshot.instances.len()), (3, 5));
}

// Unavailable instances are merged into the list, and callers always get some instance.
#[test]
fn unavailable_instances_count_as_leaving() {
    let mut snapshot = snapshot(1);
    let live = |snapshot: &Snapshot| {
        snapshot.instances.iter().filter(|i| i.liveness == Liveness::Live).count()
    };
    assert!(snapshot.set_unavailable(ids(&[1, 2])));
    assert_eq!(live(&snapshot), 3);
    assert!(snapshot.set_unavailable(ids(&[0, 1, 2, 3, 4])));
    assert_eq!(live(&snapshot), 5);
}
