//! Upstreams send long answers over a longer time than `idleTimeoutS`, and their clients read all the
//! while, so that no connection is idle. The machine gets SIGTERM before the answers are complete,
//! early enough to complete them.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::{self, Outcome, Request},
    net::Connection,
    record::Record,
    upstream::LONG_ANSWER_BYTES,
    world::{self, Plan, Route, World, config},
};

const CLIENTS: usize = 6;
/// `idleTimeoutS` is 15.
const SENDING_MS: u64 = 22_000;
/// Without the disruption: about as long as the other requests take.
const SHORT_SENDING_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 30_000;
/// The time of SIGTERM, from the first request.
const STOP_AFTER_MS: u64 = 18_500;
const GRACE_S: f64 = 6.0;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let routes = [Route {
        name: "views",
        kind: "idempotent",
        prefix: "/views/",
        service: "listings-app",
        timeout_s: 30.0,
    }];
    let world = World::start(
        &Plan {
            machines: &["em-derby", "wm-brum"],
            upstreams: &[("listings-app", "em-derby"), ("listings-app", "wm-brum")],
            config: config(1, &routes, &["listings-app"]),
        },
        record,
    );
    let machine = &world.machines[0];
    let sending_ms = if has_trouble { SENDING_MS } else { SHORT_SENDING_MS };
    // The answers are due at the same time with and without the disruption.
    let start_after_ms = SENDING_MS - sending_ms;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (addr, record) = (machine.traffic, Arc::clone(record));
            thread::spawn(move || view(n, addr, start_after_ms, sending_ms, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(STOP_AFTER_MS));
    let stopped_s = record.now_s();
    world::signal(machine.id, "TERM");
    record.line("machine 0 gets SIGTERM");
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    world.end(&judge(&world, &outcomes, stopped_s));
}

/// Sends a short request, and then one with a long answer on the same connection if it is open.
fn view(
    n: usize,
    addr: std::net::SocketAddr,
    start_after_ms: u64,
    sending_ms: u64,
    record: &Arc<Record>,
) -> Outcome {
    // A connection is not left idle for long: it is opened when it is needed.
    thread::sleep(Duration::from_millis(start_after_ms.min(STOP_AFTER_MS - 1_000)));
    let mut connection =
        Connection::open(addr).unwrap_or_else(|e| world::cannot_run(&e.to_string()));
    let first = Request {
        id: &format!("first-{n}"),
        method: "GET",
        path: "/views/a?work=20",
        body_bytes: 0,
        bytes_per_s: 0,
        deadline_ms: 1_200,
    };
    client::send(&mut connection, &first, record);
    thread::sleep(Duration::from_millis(100));
    let id = format!("view-{n}");
    let path = format!("/views/a?work=20&sending={sending_ms}");
    let second = Request { id: &id, path: &path, deadline_ms: DEADLINE_MS, ..first.clone() };
    client::send(&mut connection, &second, record)
}

fn judge(world: &World, outcomes: &[Outcome], stopped_s: f64) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut passed_on = 0;
    for outcome in outcomes {
        let runs = world.runs.of(&outcome.id);
        passed_on += runs.len().min(1);
        let ended_s = outcome.ended_s - stopped_s;
        let is_whole = outcome.status == 200 && outcome.body_bytes == LONG_ANSWER_BYTES;
        let taken_s = outcome.ended_s - outcome.sent_s;
        // The rule excuses what is still at work in the last sixth of `graceS`.
        let is_counted = ended_s < GRACE_S * 5.0 / 6.0 && taken_s * 1_000.0 < DEADLINE_MS as f64;
        if runs.is_empty() || is_whole || !is_counted {
            continue;
        }
        breaks.push(format!(
            "LOST: the connection of {} ended without a complete answer, {taken_s:.2} s after the \
             request was sent and {ended_s:.2} s after SIGTERM, while its upstream was sending",
            outcome.id
        ));
    }
    world.record.line(&format!("{passed_on} of {} requests were passed on", outcomes.len()));
    if passed_on == 0 {
        world::cannot_run("no request was passed on");
    }
    breaks
}
