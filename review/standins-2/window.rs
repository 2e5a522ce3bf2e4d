//! A machine gets SIGTERM while clients upload. The upstream begins to work when it has the head,
//! and reads the body at the end of that work: the window of its connection is closed meanwhile.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::{self, Outcome, Request},
    net::Connection,
    record::Record,
    world::{self, Plan, Route, World, config},
};

const CLIENTS: usize = 3;
/// More than the window of a connection that is not read holds.
const UPLOAD_BYTES: usize = 360_000;
const WORK_MS: u64 = 860;
const DEADLINE_MS: u64 = 1_500;
const GRACE_S: f64 = 6.0;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let routes = [Route {
        name: "records",
        kind: "upload",
        prefix: "/records/",
        service: "uploads-app",
        timeout_s: 6.0,
    }];
    let world = Arc::new(World::start(
        &Plan {
            machines: &["em-derby", "wm-brum"],
            upstreams: &[("uploads-app", "em-derby"), ("uploads-app", "wm-brum")],
            config: config(1, &routes, &["uploads-app"]),
        },
        record,
    ));
    let machine = &world.machines[0];
    let connections: Vec<Connection> = (0..CLIENTS)
        .map(|_| {
            Connection::open(machine.traffic).unwrap_or_else(|e| world::cannot_run(&e.to_string()))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let stopped_s = record.now_s();
    world::signal(machine.id, "TERM");
    record.line("machine 0 gets SIGTERM");
    thread::sleep(Duration::from_millis(100));
    // With the disruption, the upstream reads on after its work; without it, before.
    let (first_ms, work_ms) = if has_trouble { (WORK_MS, 0) } else { (0, WORK_MS) };
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(n, mut connection)| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let request = Request {
                    id: &format!("upload-{n}"),
                    method: "POST",
                    path: &format!("/records/a?first={first_ms}&work={work_ms}"),
                    body_bytes: UPLOAD_BYTES,
                    bytes_per_s: 0,
                    deadline_ms: DEADLINE_MS,
                };
                client::send(&mut connection, &request, &record)
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    // For the upstreams to find their connections broken, so that the record shows it.
    thread::sleep(Duration::from_secs(1));
    world.end(&judge(&world, &outcomes, stopped_s));
}

fn judge(world: &World, outcomes: &[Outcome], stopped_s: f64) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut passed_on = 0;
    for outcome in outcomes {
        let runs = world.runs.of(&outcome.id);
        let Some(run) = runs.first() else { continue };
        passed_on += 1;
        let ended_s = outcome.ended_s - stopped_s;
        let is_within = ended_s < GRACE_S + 1.0
            && (outcome.ended_s - outcome.sent_s) * 1_000.0 < DEADLINE_MS as f64;
        if outcome.is_signed || !is_within {
            continue;
        }
        breaks.push(format!(
            "LOST: {} ended {ended_s:.3} s after SIGTERM with status {} of the system's own, {:.3} s \
             after its upstream began to work, and {:.3} s after its last byte was sent",
            outcome.id,
            outcome.status,
            outcome.ended_s - run.started_s,
            outcome.ended_s - outcome.sent_s
        ));
    }
    world.record.line(&format!("{passed_on} uploads were passed on"));
    if passed_on == 0 {
        world::cannot_run("no upload was passed on");
    }
    breaks
}
