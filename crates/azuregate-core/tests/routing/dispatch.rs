//! Tests of the placement of requests.

use azuregate_core::{
    error::ErrorKind,
    route::{
        Completion,
        dispatch::{Decision, DispatchRequest, Refusal},
    },
    snapshot::{BackendServer, Liveness, Snapshot},
    time::Millis,
};

use crate::fixture::{Node, instance, server, snapshot, zone};

const ALL: [&str; 4] = ["sofia-a", "sofia-b", "varna-a", "varna-b"];

/// Returns the only instance of a deployment with one server per availability
/// zone.
fn single_instance(test: &str) -> (Node, Snapshot) {
    let servers = ALL.map(|zone_name| server(&format!("s-{zone_name}"), zone_name, 1));
    let snapshot = snapshot(&[instance("entry-1", "sofia-a")], &servers);
    (Node::new(test, "entry-1", "sofia-a", &snapshot), snapshot)
}

fn refusal(decision: Decision) -> Refusal {
    let Decision::Refuse(refusal) = decision else { panic!("not refused: {decision:?}") };
    refusal
}

// Each queued request adds 6 to 7 ms of waiting; the round trip to the other zone
// takes 8 ms, to the other region 40 ms. Requests go where the sum is lowest.
#[test]
fn places_requests_where_they_start_first() {
    let (mut node, _) = single_instance("starts_first");
    let zone_of = |node: &Node, group| node.dispatch.group_id(group).zone.to_string();
    let mut decisions = Vec::new();
    for _ in 0..21 {
        decisions.push(match node.place(&ALL) {
            Decision::Serve(slot) => zone_of(&node, slot.group),
            Decision::Wait { group } => format!("wait {}", zone_of(&node, group)),
            decision => panic!("{decision:?}"),
        });
    }
    let (a, b, far) = ("sofia-a", "sofia-b", ["varna-a", "varna-b"]);
    let (wait_a, wait_b) = ("wait sofia-a", "wait sofia-b");
    let expected = [
        a, a, a, wait_a, b, b, b, wait_a, wait_b, wait_a, wait_b, wait_a, wait_b, wait_a, wait_b,
        // The sixth queued request would wait 40 ms. Of zones at the same distance,
        // the one with more free slots is used.
        far[0], far[1], far[0], far[1], far[0], far[1],
    ];
    assert_eq!(decisions[..expected.len()], expected);
}

#[test]
fn zones_outside_the_plan_receive_no_requests() {
    let (mut node, _) = single_instance("outside_the_plan");
    assert_eq!(node.fill(&["varna-b"]).len(), 3);
    let refused = refusal(node.place(&["nowhere"]));
    assert_eq!(refused.kind, ErrorKind::NoBackend);
}

// A request whose deadline would pass in the queue is refused at once, with the
// time after which a slot is expected to be free.
#[test]
fn request_is_refused_when_its_estimated_wait_is_too_long() {
    let (mut node, _) = single_instance("wait_too_long");
    let slots = node.fill(&["sofia-a"]);
    // With a service time of 90 ms, one of three slots is released every 30 ms.
    node.now_ms = node.now_ms + Millis(90);
    for slot in &slots {
        node.dispatch.release(slot, Completion::Responded { latency_ms: 90 }, node.now_ms);
    }
    node.fill(&["sofia-a"]);
    let plan = [zone("sofia-a")];
    let cases = [
        // Maximum wait, remaining time, expected refusal.
        (20, 10_000, Some(ErrorKind::TooLate)),
        (200, 100, Some(ErrorKind::TooLate)),
        (200, 10_000, None),
    ];
    for (max_wait_ms, remaining_ms, expected) in cases {
        let request = DispatchRequest { max_wait_ms, remaining_ms, ..node.request(&plan) };
        let decision = node.dispatch.place(&request, node.now_ms, &mut node.rng);
        match expected {
            None => assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}"),
            Some(kind) => {
                let refused = refusal(decision);
                assert_eq!(refused.kind, kind);
                assert!((30..=90).contains(&refused.retry_after_ms), "{refused:?}");
            }
        }
    }
}

#[test]
fn queue_is_bounded() {
    let (mut node, _) = single_instance("bounded");
    node.fill(&["sofia-a"]);
    let mut waiting = 0;
    let plan = [zone("sofia-a")];
    loop {
        let request =
            DispatchRequest { max_wait_ms: 60_000, remaining_ms: 60_000, ..node.request(&plan) };
        match node.dispatch.place(&request, node.now_ms, &mut node.rng) {
            Decision::Wait { .. } => waiting += 1,
            decision => {
                assert_eq!(refusal(decision).kind, ErrorKind::QueueFull);
                break;
            }
        }
    }
    assert_eq!(waiting, 12);
}

// Requests queued for a zone whose servers all leave are refused when the list
// changes, not at their deadline.
#[test]
fn queued_requests_are_refused_when_their_zone_closes() {
    let (mut node, snapshot) = single_instance("zone_closes");
    node.fill(&["sofia-a"]);
    assert!(matches!(node.place(&["sofia-a"]), Decision::Wait { .. }));
    let leaving: Vec<_> = snapshot
        .backends
        .values()
        .flat_map(|servers| servers.iter().cloned())
        .map(|server| BackendServer { liveness: Liveness::Leaving, ..server })
        .collect();
    let refused = node.dispatch.set_snapshot(&crate::fixture::snapshot(&[], &leaving));
    assert_eq!(refused.len(), 1);
    assert!(refused.iter().all(|(_, refusal)| refusal.kind == ErrorKind::NoBackend));
    assert_eq!(refusal(node.place(&ALL)).kind, ErrorKind::NoBackend);
}

// A restarted server has cold caches and would be slow at full load. It receives
// one request at first, and more as it responds.
#[test]
fn restarted_server_ramps_up_slowly() {
    let (mut node, snapshot) = single_instance("started_again");
    let instances = [instance("entry-1", "sofia-a")];
    let again = [server("s-sofia-a", "sofia-a", 2)];
    assert_eq!(snapshot.instances.len(), 1);
    node.dispatch.set_snapshot(&crate::fixture::snapshot(&instances, &again));
    let mut held = Vec::new();
    for expected in [1, 2, 3] {
        held.extend(node.fill(&["sofia-a"]));
        assert_eq!(held.len(), expected);
        node.now_ms = node.now_ms + Millis(20);
        for slot in held.drain(..) {
            node.dispatch.release(&slot, Completion::Responded { latency_ms: 20 }, node.now_ms);
        }
    }
}
