//! Who takes new work, from what is heard of instances and backend servers.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use azuregate_core::{
    membership::{Heartbeat, Membership, Pace},
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    neighbours::{FULL_MESH, Graph, graph},
    probe::{ProbeReport, Watch, watched},
    snapshot::{BackendServer, Instance, InstanceList, Liveness, Snapshot},
    time::Millis,
    topology::Topology,
};

const DIGEST: u64 = 7;
const LIMIT_MS: u64 = 7_000;

fn id(index: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{index:03}"))
}

fn ids(indices: &[usize]) -> BTreeSet<InstanceId> {
    indices.iter().map(|&index| id(index)).collect()
}

fn beat(confirmed_age_ms: u64) -> Heartbeat {
    Heartbeat { ready: true, confirmed_age_ms: Some(confirmed_age_ms), digest: DIGEST }
}

/// Instance 0 of five, which all were heard of at 0.
fn five() -> Membership {
    let mut membership = Membership::new(&id(0));
    membership.watch(&ids(&[1, 2, 3, 4]), Millis(0));
    membership.set_confirm_limit(LIMIT_MS);
    membership.confirmed(Millis(0));
    for index in 1..5 {
        membership.heard(&id(index), StartNumber(1), beat(0), DIGEST, Millis(0));
    }
    membership
}

// One heartbeat of a neighbour is lost, then it falls silent. Callers would be
// sent away from a live instance if the one that was lost counted as silence.
#[test]
fn one_lost_heartbeat_is_no_silence_at_any_size() {
    for listed in [2, 9, FULL_MESH, FULL_MESH + 1, 680] {
        let pace = Pace::of(listed);
        let mut membership = five();
        membership.set_pace(pace);
        let mut hear = |heard: &[usize], at_ms| {
            membership.confirmed(at_ms);
            for &index in heard {
                membership.heard(&id(index), StartNumber(1), beat(0), DIGEST, at_ms);
            }
            membership.away(at_ms)
        };
        let at = |beats| Millis(beats * pace.heartbeat_ms);
        assert_eq!(hear(&[1, 2, 3], at(1)), ids(&[]), "of {listed}");
        assert_eq!(hear(&[1, 2, 3], at(2)), ids(&[]), "of {listed}, one lost");
        assert_eq!(hear(&[1, 2, 3, 4], at(2)), ids(&[]), "of {listed}, heard again");
        let silent_at = at(2) + Millis(pace.silent_ms + 1);
        assert_eq!(hear(&[1, 2, 3], silent_at), ids(&[4]), "of {listed}, silent");
    }
}

// Which instances of five send heartbeats goes through a table; the others have
// gone silent, or cannot confirm their configuration.
#[test]
fn who_is_away() {
    struct Case {
        case: &'static str,
        /// Who is heard, and how long ago its configuration was confirmed.
        heard: &'static [(usize, u64)],
        away: &'static [usize],
    }
    let later = Millis(100_000);
    let cases = [
        Case { case: "all heard", heard: &[(1, 0), (2, 0), (3, 0), (4, 0)], away: &[] },
        Case { case: "one silent", heard: &[(1, 0), (2, 0), (3, 0)], away: &[4] },
        Case { case: "two silent", heard: &[(1, 0), (2, 0)], away: &[3, 4] },
        Case { case: "cut off itself", heard: &[(1, 0)], away: &[] },
        Case {
            case: "one missed a change",
            heard: &[(1, 0), (2, 0), (3, LIMIT_MS + 1), (4, 0)],
            away: &[3],
        },
    ];
    for Case { case, heard, away } in cases {
        let mut membership = five();
        membership.confirmed(later);
        for &(index, age_ms) in heard {
            membership.heard(&id(index), StartNumber(1), beat(age_ms), DIGEST, later);
        }
        assert_eq!(membership.away(later), ids(away), "{case}");
    }
}

// The platform is down for so long that nobody can confirm anything. All go on:
// no change can be made meanwhile. Then one reads the platform again, and by its
// heartbeats so do those with the same versions; one with others is away.
#[test]
fn nobody_leaves_while_the_platform_is_down() {
    let mut membership = five();
    let later = Millis(100_000);
    for index in 1..5 {
        membership.heard(&id(index), StartNumber(1), beat(100_000), DIGEST, later);
    }
    assert_eq!(membership.away(later), ids(&[]));

    membership.heard(&id(1), StartNumber(1), beat(0), DIGEST, later);
    assert_eq!(membership.confirmed_age_ms(later), Some(0));
    assert_eq!(membership.away(later), ids(&[2, 3, 4]));

    let mut other = five();
    for index in 1..5 {
        other.heard(&id(index), StartNumber(1), beat(0), DIGEST + 1, later);
    }
    assert_eq!(other.away(later), ids(&[0]), "it has other versions than all that confirmed");
}

// An instance tells that it stops, ends, and is started again. Heartbeats of its
// former start come late.
#[test]
fn a_stop_holds_for_one_start() {
    let mut membership = five();
    membership.stopping(&id(4), StartNumber(1));
    assert_eq!(membership.away(Millis(1)), ids(&[4]));
    membership.heard(&id(4), StartNumber(2), beat(0), DIGEST, Millis(2));
    assert_eq!(membership.away(Millis(2)), ids(&[]));
    membership.heard(&id(4), StartNumber(1), beat(LIMIT_MS + 1), DIGEST, Millis(3));
    assert_eq!(membership.away(Millis(3)), ids(&[]));
}

// The platform is down, and an instance has just started: it knows of nothing,
// and says so. It is named to callers once it serves.
#[test]
fn an_instance_that_is_not_ready_is_away() {
    let mut membership = five();
    let starting = Heartbeat { ready: false, confirmed_age_ms: None, digest: 0 };
    membership.heard(&id(4), StartNumber(2), starting, DIGEST, Millis(1));
    assert_eq!(membership.away(Millis(1)), ids(&[4]));
    membership.heard(&id(4), StartNumber(2), beat(0), DIGEST, Millis(2));
    assert_eq!(membership.away(Millis(2)), ids(&[]));

    let mut all_down = five();
    let later = Millis(100_000);
    for index in 1..4 {
        all_down.heard(&id(index), StartNumber(1), beat(100_000), DIGEST, later);
    }
    all_down.heard(&id(4), StartNumber(2), starting, DIGEST, later);
    assert_eq!(all_down.away(later), ids(&[4]));
}

// A process is paused. On waking, the others seem silent, and what it had
// confirmed and they had agreed to is of no use.
#[test]
fn waking_starts_afresh() {
    let mut membership = five();
    assert_eq!(membership.agreeing(Millis(1)), 4);
    let woken = Millis(10_000);
    membership.woke(woken);
    assert_eq!((membership.agreeing(woken), membership.confirmed_age_ms(woken)), (0, None));
    membership.heard(&id(1), StartNumber(1), beat(0), DIGEST, woken);
    assert_eq!(membership.agreeing(woken), 1);
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

/// How many of the `alive` instances a change reaches that starts at one.
fn reached(graph: &Graph, alive: &BTreeSet<InstanceId>) -> usize {
    let first = alive.first().unwrap();
    let mut seen = BTreeSet::from([first]);
    let mut queue = VecDeque::from([first]);
    while let Some(id) = queue.pop_front() {
        let next = graph[id].iter().filter(|other| alive.contains(*other));
        queue.extend(next.filter(|other| seen.insert(*other)));
    }
    seen.len()
}

#[test]
fn links_are_mutual_bounded_and_survive_deaths() {
    for count in [1, 2, 9, FULL_MESH, FULL_MESH + 1, 85, 680] {
        let graph = graph(&instances(count));
        for (id, linked) in &graph {
            assert!(!linked.contains(id));
            assert!(linked.iter().all(|other| graph[other].contains(id)), "{id} of {count}");
            assert!(linked.len() <= 40, "{id} of {count} has {} links", linked.len());
        }
        let mut rng = fastrand::Rng::with_seed(count as u64);
        for deaths in [0, count / 15] {
            let mut alive: BTreeSet<_> = graph.keys().cloned().collect();
            for _ in 0..deaths {
                alive.remove(&id(rng.usize(..count)));
            }
            assert_eq!(reached(&graph, &alive), alive.len(), "{deaths} of {count} died");
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

fn open(snapshot: &Snapshot) -> usize {
    let servers = snapshot.route_servers(&ServiceName::new("desk"));
    servers.iter().filter(|server| server.available).count()
}

fn backends(indices: &[usize]) -> BTreeSet<BackendId> {
    indices.iter().map(|&index| server(index, 1).id).collect()
}

// The probes of one watcher: the failures in a row of each of its servers.
#[test]
fn what_a_watcher_says() {
    let cases: [(&str, &[u32], &[usize]); 5] = [
        ("one lost packet", &[1, 0, 0, 0], &[]),
        ("one server gone", &[2, 0, 0, 0], &[0]),
        ("half of them gone", &[2, 2, 0, 0], &[0, 1]),
        ("the watcher is cut off", &[2, 2, 2, 0], &[]),
        ("too few to tell", &[2, 2], &[0, 1]),
    ];
    for (case, failures, failed) in cases {
        let mut watch = Watch::default();
        let all: Vec<usize> = (0..failures.len()).collect();
        watch.set_servers(&backends(&all));
        for (index, &count) in failures.iter().enumerate() {
            watch.probed(&server(index, 1).id, true);
            for _ in 0..count {
                watch.probed(&server(index, 1).id, false);
            }
        }
        assert_eq!(watch.failed(), backends(failed), "{case}");
        watch.probed(&server(0, 1).id, true);
        assert!(!watch.failed().contains(&server(0, 1).id), "{case}: it answers again");
    }
}

// A server has two watchers. One word takes nothing out of service: the way of
// one watcher may be cut. Reports that come late change nothing.
#[test]
fn both_watchers_have_to_agree() {
    let mut snapshot = snapshot(4);
    let suspect = server(0, 1).id;
    let mut watchers =
        (0..5).filter(|&i| watched(&id(i), &snapshot).iter().any(|server| server.id == suspect));
    let (first, second) = (id(watchers.next().unwrap()), id(watchers.next().unwrap()));
    assert_eq!(watchers.next(), None);
    let report = |sequence, failed| ProbeReport { start: StartNumber(1), sequence, failed };
    assert!(snapshot.add_probes(&first, report(1, backends(&[0]))));
    assert_eq!(open(&snapshot), 4);
    assert!(snapshot.add_probes(&second, report(1, backends(&[0]))));
    assert_eq!(open(&snapshot), 3);
    assert!(snapshot.add_probes(&first, report(2, backends(&[]))));
    assert_eq!(open(&snapshot), 4, "it answers the first again");
    assert!(!snapshot.add_probes(&first, report(1, backends(&[0]))), "an old report");
    let stranger = InstanceId::new("stranger");
    assert!(!snapshot.add_probes(&stranger, report(1, backends(&[0]))), "not listed");
}

#[test]
fn leaving_holds_for_one_start_of_a_listed_server() {
    let mut snapshot = snapshot(3);
    let first = server(0, 1).id;
    assert!(!snapshot.add_leaving(&BackendId::new("stranger"), StartNumber(1)));
    assert!(!snapshot.add_leaving(&first, StartNumber(0)), "a start before the listed one");
    assert!(snapshot.add_leaving(&first, StartNumber(1)));
    assert!(!snapshot.add_leaving(&first, StartNumber(1)), "no news");
    assert_eq!(open(&snapshot), 2);
    let backends = vec![server(0, 2), server(1, 1), server(2, 1)];
    snapshot.set_list(InstanceList { instances: instances(5), backends });
    assert_eq!((open(&snapshot), snapshot.leaving.len()), (3, 0), "it was started again");
}

#[test]
fn an_empty_list_takes_nothing_out_of_service() {
    let mut snapshot = snapshot(3);
    assert!(!snapshot.set_list(InstanceList::default()));
    assert_eq!((open(&snapshot), snapshot.instances.len()), (3, 5));
}

// The peers' word is joined with the list, and callers always get somebody.
#[test]
fn instances_that_are_away_count_as_leaving() {
    let mut snapshot = snapshot(1);
    let live = |snapshot: &Snapshot| {
        snapshot.instances.iter().filter(|i| i.liveness == Liveness::Live).count()
    };
    assert!(snapshot.set_away(ids(&[1, 2])));
    assert_eq!(live(&snapshot), 3);
    assert!(snapshot.set_away(ids(&[0, 1, 2, 3, 4])));
    assert_eq!(live(&snapshot), 5);
}
