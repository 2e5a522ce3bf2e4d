//! Tests of hand-overs between instances.

use std::collections::VecDeque;

use azuregate_core::{
    error::ErrorKind,
    names::{InstanceId, StartNumber},
    route::{
        Completion,
        dispatch::{Decision, DispatchRequest, Slot},
        group::{GroupId, GroupLoad},
    },
    snapshot::Snapshot,
    time::Millis,
};

use crate::fixture::{Node, instance, server, snapshot, zone};

/// Returns a deployment of two instances in two availability zones, each with one
/// server.
fn pair() -> Snapshot {
    let instances = [instance("entry-1", "sofia-a"), instance("entry-2", "sofia-b")];
    snapshot(&instances, &[server("s1", "sofia-a", 1), server("s2", "sofia-b", 1)])
}

fn group(zone_name: &str) -> GroupId {
    GroupId { zone: zone(zone_name), part: 0 }
}

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// Delivers a request that `from` hands over to `to`.
fn receive_hand_over(from: &str, to: &mut Node, zone_name: &str) -> Decision {
    let request = to.request(&[]);
    let (now_ms, rng) = (to.now_ms, &mut to.rng);
    to.dispatch.place_handed_over(&id(from), &group(zone_name), &request, now_ms, rng)
}

/// Delivers the load of a group from its dispatcher `from` to `to`, with a service
/// time of 100 ms, so that waiting there costs more than another zone.
fn deliver_load(from: &mut Node, from_id: &str, to: &mut Node, to_id: &str, zone_name: &str) {
    let load = from.dispatch.load_for(&id(to_id), &group(zone_name), from.now_ms).unwrap();
    let load = GroupLoad { service_ms: 100, ..load };
    to.dispatch.receive_load(&id(from_id), &group(zone_name), load, false, to.now_ms);
}

#[test]
fn each_group_is_dispatched_by_an_instance_of_its_zone() {
    let snapshot = pair();
    let mut first = Node::new("own_zone", "entry-1", "sofia-a", &snapshot);
    first.serve(&["sofia-a"]);
    let hand_over = first.hand_over(&["sofia-b"]);
    assert_eq!(first.dispatch.dispatcher_id(&hand_over).as_str(), "entry-2");
}

// Without the deduction, all requests until the next update would go to the group
// that reported free slots, and queue there.
#[test]
fn requests_sent_since_the_last_update_are_deducted() {
    let snapshot = pair();
    let mut first = Node::new("sent_since", "entry-1", "sofia-a", &snapshot);
    let mut second = Node::new("sent_since_2", "entry-2", "sofia-b", &snapshot);
    first.hand_over(&["sofia-b"]);
    assert!(matches!(receive_hand_over("entry-1", &mut second, "sofia-b"), Decision::Serve(_)));
    deliver_load(&mut second, "entry-2", &mut first, "entry-1", "sofia-b");
    for _ in 0..2 {
        first.hand_over(&["sofia-b", "sofia-a"]);
    }
    first.serve(&["sofia-b", "sofia-a"]);
}

// A stale update may lower the estimate of free slots, but must not raise it above
// the equal share of this instance.
#[test]
fn stale_update_cannot_raise_the_estimate() {
    let snapshot = pair();
    let mut first = Node::new("old_update", "entry-1", "sofia-a", &snapshot);
    let mut second = Node::new("old_update_2", "entry-2", "sofia-b", &snapshot);
    let probe = first.hand_over(&["sofia-b"]);
    let Decision::Serve(slot) = receive_hand_over("entry-1", &mut second, "sofia-b") else {
        panic!("refused")
    };
    let completion = Completion::Responded { latency_ms: 20 };
    second.dispatch.release(&slot, completion, second.now_ms);
    deliver_load(&mut second, "entry-2", &mut first, "entry-1", "sofia-b");
    first.dispatch.finish_hand_over(&probe, completion, first.now_ms);
    first.now_ms = first.now_ms + Millis(1_000);
    // The update reports three free slots; the equal share is two.
    for _ in 0..2 {
        first.hand_over(&["sofia-b", "sofia-a"]);
    }
    first.serve(&["sofia-b", "sofia-a"]);
}

// The sender has an older list and considers this instance the dispatcher of the
// group. Handing the request over again could loop forever.
#[test]
fn handed_over_request_is_not_handed_over_again() {
    let snapshot = pair();
    let mut first = Node::new("second_hop", "entry-1", "sofia-a", &snapshot);
    assert!(matches!(first.place(&["sofia-b"]), Decision::HandOver(_)));
    let mut decisions = Vec::new();
    for _ in 0..40 {
        decisions.push(receive_hand_over("entry-2", &mut first, "sofia-b"));
    }
    let handed_on =
        decisions.iter().filter(|decision| matches!(decision, Decision::HandOver(_))).count();
    let served = decisions.iter().filter(|decision| matches!(decision, Decision::Serve(_))).count();
    let refused =
        decisions.iter().filter(|decision| matches!(decision, Decision::Refuse(_))).count();
    assert_eq!((handed_on, served), (0, 3));
    assert!(refused > 0, "the queue is bounded");
}

// A failed dispatcher is bypassed at once. After its ejection time, a single
// request probes it; a response ends the ejection.
#[test]
fn failed_dispatcher_is_ejected_and_probed() {
    let snapshot = pair();
    let mut first = Node::new("passed_over", "entry-1", "sofia-a", &snapshot);
    let failed = first.hand_over(&["sofia-b"]);
    first.dispatch.finish_hand_over(&failed, Completion::Failed, first.now_ms);
    first.serve(&["sofia-b"]);
    first.now_ms = first.now_ms + Millis(999);
    first.serve(&["sofia-b"]);
    first.now_ms = first.now_ms + Millis(1);
    let probe = first.hand_over(&["sofia-b"]);
    first.serve(&["sofia-b"]);
    let mut second = Node::new("passed_over_2", "entry-2", "sofia-b", &snapshot);
    receive_hand_over("entry-1", &mut second, "sofia-b");
    deliver_load(&mut second, "entry-2", &mut first, "entry-1", "sofia-b");
    first.dispatch.finish_hand_over(&probe, Completion::Responded { latency_ms: 9 }, first.now_ms);
    first.hand_over(&["sofia-b"]);
}

/// Advances the clock in ticks; returns whether a dispatcher was reported silent.
fn advance(node: &mut Node, ms: u64) -> bool {
    let mut silent = false;
    for _ in 0..ms / 50 {
        node.now_ms = node.now_ms + Millis(50);
        silent |= !node.dispatch.tick(node.now_ms).1.is_empty();
    }
    silent
}

// The connections of a frozen dispatcher stay open. It is detected because it
// sends no frames, which are due every 200 ms while it holds requests.
#[test]
fn silent_dispatcher_is_ejected() {
    let snapshot = pair();
    let mut first = Node::new("silent", "entry-1", "sofia-a", &snapshot);
    let mut second = Node::new("silent_2", "entry-2", "sofia-b", &snapshot);
    advance(&mut first, 50);
    first.hand_over(&["sofia-b"]);
    receive_hand_over("entry-1", &mut second, "sofia-b");
    for _ in 0..20 {
        second.now_ms = second.now_ms + Millis(50);
        for update in second.dispatch.tick(second.now_ms).0 {
            first.dispatch.receive_load(
                &id("entry-2"),
                &update.group,
                update.load,
                true,
                first.now_ms,
            );
        }
        assert!(!advance(&mut first, 50), "reported silent despite its updates");
    }
    assert!(advance(&mut first, 600));
    first.serve(&["sofia-b"]);
}

// Responses every few milliseconds carry all updates. Without frames as well, a
// later silence of this dispatcher would not be detected.
#[test]
fn busy_dispatcher_still_sends_frames() {
    let mut second = Node::new("busy", "entry-2", "sofia-b", &pair());
    let mut frames = 0;
    for _ in 0..400 {
        receive_hand_over("entry-1", &mut second, "sofia-b");
        second.dispatch.load_for(&id("entry-1"), &group("sofia-b"), second.now_ms).unwrap();
        second.now_ms = second.now_ms + Millis(10);
        frames += second.dispatch.tick(second.now_ms).0.len();
    }
    assert_eq!(frames, 8, "in four seconds");
}

// After a pause of this process all peers look silent, since their updates are
// still unread. Ejecting them would make it dispatch for every group.
#[test]
fn own_pause_ejects_no_dispatcher() {
    let snapshot = pair();
    let mut first = Node::new("own_pause", "entry-1", "sofia-a", &snapshot);
    let mut second = Node::new("own_pause_2", "entry-2", "sofia-b", &snapshot);
    advance(&mut first, 50);
    first.hand_over(&["sofia-b"]);
    receive_hand_over("entry-1", &mut second, "sofia-b");
    let load = second.dispatch.load_for(&id("entry-1"), &group("sofia-b"), second.now_ms).unwrap();
    first.dispatch.receive_load(&id("entry-2"), &group("sofia-b"), load, true, first.now_ms);
    first.now_ms = first.now_ms + Millis(30_000);
    assert!(first.dispatch.tick(first.now_ms).1.is_empty());
    first.hand_over(&["sofia-b"]);
}

// A hand-over to a full queue would only delay the refusal by a round trip.
#[test]
fn no_hand_over_to_a_full_queue() {
    let snapshot = pair();
    let mut first = Node::new("full_queue", "entry-1", "sofia-a", &snapshot);
    first.hand_over(&["sofia-b"]);
    let load = GroupLoad { queued: 12, slots: 3, service_ms: 1, seen: 1, ..Default::default() };
    first.dispatch.receive_load(&id("entry-2"), &group("sofia-b"), load, true, first.now_ms);
    let Decision::Refuse(refusal) = first.place(&["sofia-b"]) else { panic!("not refused") };
    assert_eq!(refusal.kind, ErrorKind::QueueFull);
    first.now_ms = first.now_ms + Millis(301);
    first.hand_over(&["sofia-b"]);
}

// A restarted dispatcher has received none of the requests sent before. Comparing
// the counts of two starts would make it look full forever.
#[test]
fn restarted_dispatcher_does_not_look_full() {
    let snapshot = pair();
    let mut first = Node::new("new_start", "entry-1", "sofia-a", &snapshot);
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(first.hand_over(&["sofia-b"]));
    }
    for (start, seen) in [(1, 2), (2, 0)] {
        let load = GroupLoad {
            start: StartNumber(start),
            free: 2,
            slots: 3,
            service_ms: 100,
            seen,
            ..Default::default()
        };
        first.dispatch.receive_load(&id("entry-2"), &group("sofia-b"), load, true, first.now_ms);
    }
    for _ in 0..2 {
        first.hand_over(&["sofia-b", "sofia-a"]);
    }
    first.serve(&["sofia-b", "sofia-a"]);
}

// The probe of a dispatcher that is still frozen fails after 500 ms, not at its
// deadline. A request that is not idempotent is not used as a probe.
#[test]
fn probe_of_a_frozen_dispatcher_is_reported_silent() {
    let snapshot = pair();
    let mut first = Node::new("probe", "entry-1", "sofia-a", &snapshot);
    advance(&mut first, 50);
    first.hand_over(&["sofia-b"]);
    first.dispatch.receive_load(
        &id("entry-2"),
        &group("sofia-b"),
        Default::default(),
        true,
        first.now_ms,
    );
    assert!(advance(&mut first, 600));
    assert!(!advance(&mut first, 1_000), "reported silent twice");
    let plan = [zone("sofia-b")];
    let request = DispatchRequest { idempotent: false, ..first.request(&plan) };
    let decision = first.dispatch.place(&request, first.now_ms, &mut first.rng);
    assert!(matches!(decision, Decision::Serve(_)), "{decision:?}");
    first.hand_over(&["sofia-b"]);
    assert!(advance(&mut first, 600));
}

/// A backend server with three slots.
#[derive(Default)]
struct Backend {
    /// Completion time, instance and slot of each request in progress.
    running: VecDeque<(Millis, usize, Slot)>,
}

// Two instances that do not know of each other dispatch for the same server. The
// refusals of the server must lower both limits without leaving slots idle.
#[test]
fn refusals_limit_two_dispatchers_of_one_group() {
    let server = [server("s1", "sofia-a", 1)];
    let list = |me: &str| snapshot(&[instance(me, "sofia-a")], &server);
    let mut nodes = [
        Node::new("doubled_1", "entry-1", "sofia-a", &list("entry-1")),
        Node::new("doubled_2", "entry-2", "sofia-a", &list("entry-2")),
    ];
    let mut backend = Backend::default();
    let (mut ran, mut refused, mut busy_ms) = (0, 0, 0);
    for ms in 0..10_000 {
        let now_ms = Millis(1_000 + ms);
        while backend.running.front().is_some_and(|(done_ms, ..)| *done_ms <= now_ms) {
            let (_, of, slot) = backend.running.pop_front().unwrap();
            let completion = Completion::Responded { latency_ms: 20 };
            nodes[of].dispatch.release(&slot, completion, now_ms);
        }
        for (of, node) in nodes.iter_mut().enumerate() {
            node.now_ms = now_ms;
            for slot in node.fill(&["sofia-a"]) {
                if backend.running.len() >= 3 {
                    refused += 1;
                    node.dispatch.release(&slot, Completion::Refused, now_ms);
                } else {
                    ran += 1;
                    backend.running.push_back((now_ms + Millis(20), of, slot));
                }
            }
        }
        busy_ms += backend.running.len();
    }
    assert!(refused * 10 <= ran, "{refused} refused, {ran} ran");
    assert!(busy_ms >= 20_000, "{busy_ms} of 30000 ms of slots in use");
}
