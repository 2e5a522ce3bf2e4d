//! What instances do with each other's groups.

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

/// Two instances in two availability zones, each with one server.
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

/// Hands a request of `from` over to `to`, as the wire would.
fn receive_hand_over(from: &str, to: &mut Node, zone_name: &str) -> Decision {
    let request = to.request(&[]);
    let (now_ms, rng) = (to.now_ms, &mut to.rng);
    to.dispatch.place_handed_over(&id(from), &group(zone_name), &request, now_ms, rng)
}

/// Brings back the update of `from` about its group, where requests take 100 ms:
/// waiting there is longer than going elsewhere.
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

// The dispatcher said that three slots were free. Its next update takes a while.
// Without counting what was sent since, all requests of that while would go
// there and wait, and the other zone's slots would stay idle.
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

// An update that is old says nothing of free slots any more: it may lower what is
// sent, but never lets through more than this instance's even share.
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
    // The update says that all three are free; two are an even share.
    for _ in 0..2 {
        first.hand_over(&["sofia-b", "sofia-a"]);
    }
    first.serve(&["sofia-b", "sofia-a"]);
}

// The sender's list is behind: it takes this instance for the dispatcher of a
// group that another dispatches here. Passing the request on could lead it back,
// and round for ever; it is served here or refused.
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

// The dispatcher of a zone dies. The request that found out is tried again, and
// goes to the next in order at once. Later one request alone asks whether the
// dispatcher is back; when that is answered, all go there again.
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

/// Lets time pass in ticks; returns whether any dispatcher was found silent.
fn advance(node: &mut Node, ms: u64) -> bool {
    let mut silent = false;
    for _ in 0..ms / 50 {
        node.now_ms = node.now_ms + Millis(50);
        silent |= !node.dispatch.tick(node.now_ms).1.is_empty();
    }
    silent
}

// A dispatcher freezes: its connections stay open and nothing comes back. It had
// spoken by frames, which come every 200 ms while it holds requests, so after
// 500 ms of silence it is passed over; its requests are told.
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
        assert!(!advance(&mut first, 50), "it speaks while it holds the request");
    }
    assert!(advance(&mut first, 600));
    first.serve(&["sofia-b"]);
}

// Answers come every few milliseconds and carry all updates, so no frame is due for
// news. Without one the other instance would not know that this one speaks by
// frames, and would take its silence for that of an instance that never does.
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

// This process was paused. On waking, all others look silent, since what they
// said is still unread; passing them over would make it dispatch for everybody.
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

// The dispatcher said that its queue is full. Handing more over would only bring
// back the same answer a round trip later; the caller gets it at once.
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

// The dispatcher is replaced by a new start that has seen none of what was sent
// to the old one. Comparing the counts would make it look full for ever.
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

// The probe of a frozen dispatcher is lost as well: it is told after 500 ms, not
// left to its deadline. A request that may not be sent twice does not ask.
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
    assert!(!advance(&mut first, 1_000), "it is told once");
    let plan = [zone("sofia-b")];
    let order = DispatchRequest { idempotent: false, ..first.request(&plan) };
    let decision = first.dispatch.place(&order, first.now_ms, &mut first.rng);
    assert!(matches!(decision, Decision::Serve(_)), "{decision:?}");
    first.hand_over(&["sofia-b"]);
    assert!(advance(&mut first, 600));
}

/// A backend server of three slots that refuses what does not fit.
#[derive(Default)]
struct Backend {
    /// When each request in progress is done, by instance.
    running: VecDeque<(Millis, usize, Slot)>,
}

// Two instances do not see each other and both dispatch for the same server.
// Each counts only its own requests, so the server refuses some; the refusals
// lower both limits, and no request runs that does not fit.
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
