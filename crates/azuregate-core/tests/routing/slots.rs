//! A property test of slots and queue against a simple model.

use std::collections::{BTreeMap, VecDeque};

use azuregate_core::{
    names::BackendId,
    route::{
        Completion,
        dispatch::{Decision, Slot},
    },
    snapshot::{BackendServer, Liveness},
    time::Millis,
};
use proptest::prelude::*;

use crate::fixture::{Node, instance, server, snapshot};

const ZONE: &str = "sofia-a";

#[derive(Clone, Debug)]
enum Op {
    Acquire,
    Finish(usize, Completion),
    Cancel(usize),
    Advance(u64),
    /// Which of the four servers are live, and which are listed.
    List([bool; 4], [bool; 4]),
    /// A server restarts.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let completion = prop_oneof![
        4 => (1..60_u64).prop_map(|latency_ms| Completion::Responded { latency_ms }),
        2 => Just(Completion::Refused),
        1 => Just(Completion::Failed),
        1 => Just(Completion::Cancelled),
    ];
    prop_oneof![
        6 => Just(Op::Acquire),
        4 => (any::<usize>(), completion).prop_map(|(nth, completion)| Op::Finish(nth, completion)),
        1 => any::<usize>().prop_map(Op::Cancel),
        2 => (0..300_u64).prop_map(Op::Advance),
        1 => (any::<[bool; 4]>(), any::<[bool; 4]>()).prop_map(|(live, listed)| Op::List(live, listed)),
        1 => (0..4_usize).prop_map(Op::Restart),
    ]
}

/// The instance under test and the expected state.
struct Model {
    node: Node,
    starts: [u64; 4],
    live: [bool; 4],
    listed: [bool; 4],
    in_use: BTreeMap<BackendId, u32>,
    slots: Vec<Slot>,
    waiting: VecDeque<u64>,
    tickets: u64,
}

impl Model {
    fn new() -> Model {
        let (live, listed) = ([true; 4], [true; 4]);
        let node = Node::new("slots", "entry-1", ZONE, &list([1; 4], live, listed));
        Model {
            node,
            starts: [1; 4],
            live,
            listed,
            in_use: BTreeMap::new(),
            slots: Vec::new(),
            waiting: VecDeque::new(),
            tickets: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Acquire => self.acquire(),
            Op::Finish(nth, completion) => self.finish(nth, completion),
            Op::Cancel(nth) => self.cancel(nth),
            Op::Advance(ms) => {
                // A closed server may be due to reopen. Queued requests are not
                // served here, to check that a new one does not overtake them.
                self.node.now_ms = self.node.now_ms + Millis(ms);
                return;
            }
            Op::List(live, listed) => {
                (self.live, self.listed) = (live, listed);
                self.set_list();
            }
            Op::Restart(nth) => {
                self.starts[nth] += 1;
                self.set_list();
            }
        }
        self.serve_waiting();
    }

    fn acquire(&mut self) {
        self.tickets += 1;
        match self.node.place(&[ZONE]) {
            Decision::Serve(slot) => {
                assert!(self.waiting.is_empty(), "a request overtook the queue");
                self.take(slot);
            }
            Decision::Wait { .. } => self.waiting.push_back(self.tickets),
            Decision::Refuse(_) => {}
            Decision::HandOver(_) => panic!("handed over without a peer"),
        }
    }

    fn take(&mut self, slot: Slot) {
        let server = self.node.dispatch.server(&slot).expect("a listed server").clone();
        let nth = nth_of(&server);
        assert!(self.live[nth] && self.listed[nth], "{} is not available", server.id);
        let in_use = self.in_use.entry(server.id.clone()).or_default();
        *in_use += 1;
        assert!(*in_use <= server.slots, "{in_use} requests at {}", server.id);
        self.slots.push(slot);
    }

    fn finish(&mut self, nth: usize, completion: Completion) {
        if self.slots.is_empty() {
            return;
        }
        let slot = self.slots.swap_remove(nth % self.slots.len());
        let id = self.node.dispatch.server_id(&slot).clone();
        *self.in_use.get_mut(&id).unwrap() -= 1;
        self.node.dispatch.release(&slot, completion, self.node.now_ms);
    }

    fn cancel(&mut self, nth: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let ticket = self.waiting.remove(nth % self.waiting.len()).unwrap();
        assert!(self.node.dispatch.cancel_waiting(ticket).is_some(), "queued request not found");
        assert!(self.node.dispatch.cancel_waiting(ticket).is_none(), "request cancelled twice");
    }

    fn set_list(&mut self) {
        let snapshot = list(self.starts, self.live, self.listed);
        for (waiting, _) in self.node.dispatch.set_snapshot(&snapshot) {
            self.waiting.retain(|&ticket| ticket != waiting.ticket);
        }
    }

    fn serve_waiting(&mut self) {
        let (now_ms, node) = (self.node.now_ms, &mut self.node);
        let mut served = Vec::new();
        while let Some(next) = node.dispatch.serve_waiting(0, now_ms, &mut node.rng) {
            served.push(next);
        }
        for (waiting, slot) in served {
            assert_eq!(self.waiting.pop_front(), Some(waiting.ticket), "the queue is FIFO");
            self.take(slot);
        }
    }

    /// Checks that all slots can be acquired again once all requests have ended.
    fn check_no_leak(&mut self) {
        (self.live, self.listed) = ([true; 4], [true; 4]);
        self.set_list();
        while !self.slots.is_empty() || !self.waiting.is_empty() {
            self.finish(0, Completion::Responded { latency_ms: 20 });
            self.node.now_ms = self.node.now_ms + Millis(2_000);
            self.serve_waiting();
        }
        for _ in 0..10 {
            for slot in self.node.fill(&[ZONE]) {
                let completion = Completion::Responded { latency_ms: 20 };
                self.node.dispatch.release(&slot, completion, self.node.now_ms);
            }
            self.node.now_ms = self.node.now_ms + Millis(2_000);
        }
        assert_eq!(self.node.fill(&[ZONE]).len(), 12, "a slot leaked");
    }
}

fn nth_of(server: &BackendServer) -> usize {
    server.id.as_str().trim_start_matches("s").parse().unwrap()
}

fn list(
    starts: [u64; 4],
    live: [bool; 4],
    listed: [bool; 4],
) -> azuregate_core::snapshot::Snapshot {
    let servers: Vec<_> = (0..4)
        .filter(|&nth| listed[nth])
        .map(|nth| BackendServer {
            liveness: if live[nth] { Liveness::Live } else { Liveness::Leaving },
            ..server(&format!("s{nth}"), ZONE, starts[nth])
        })
        .collect();
    snapshot(&[instance("entry-1", ZONE)], &servers)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn slots_and_queue_match_the_model(ops in prop::collection::vec(op(), 1..200)) {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
        }
        model.check_no_leak();
    }
}
