//! A machine gets SIGTERM. Clients whose answer of the directory still counts open new connections
//! to it later than 3 s after that and send requests whose work ends within `graceS`.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::{self, Outcome, Request},
    record::Record,
    world::{self, Plan, Route, World, config},
};

const GRACE_S: f64 = 6.0;
const CLIENTS: usize = 5;
/// When the requests are sent. The rule excuses none that is sent later than 3 s after SIGTERM.
const SENT_AFTER_MS: u64 = 3_060;
const EXCUSED_S: f64 = 3.0;
/// The answers are due 5.7 s after SIGTERM.
const WORK_MS: u64 = 2_640;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let routes = [Route {
        name: "holds",
        kind: "non_idempotent",
        prefix: "/holds/",
        service: "listings-app",
        timeout_s: 6.0,
    }];
    let world = Arc::new(World::start(
        &Plan {
            machines: &["em-derby", "wm-brum"],
            upstreams: &[("listings-app", "em-derby"), ("listings-app", "wm-brum")],
            config: config(1, &routes, &["listings-app"]),
        },
        record,
    ));
    let machine = &world.machines[0];
    let question = format!("/-/resolve?name={}&region=east-mids&zone=em-derby", client::HOST);
    match client::get(machine.directory, &question) {
        Ok((200, body)) if body.contains(&machine.traffic.to_string()) => {
            record.line(&format!("directory answers {body}; some clients keep that for 3 x ttlS"));
        }
        other => world::cannot_run(&format!("the directory does not name the machine: {other:?}")),
    }
    let stopped_s = record.now_s();
    if has_trouble {
        world::signal(machine.id, "TERM");
        record.line("machine 0 gets SIGTERM");
    }
    thread::sleep(Duration::from_millis(SENT_AFTER_MS));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let world = Arc::clone(&world);
            thread::spawn(move || {
                let request = Request {
                    id: &format!("hold-{n}"),
                    method: "POST",
                    path: &format!("/holds/a?work={WORK_MS}"),
                    body_bytes: 1_200,
                    bytes_per_s: 0,
                    deadline_ms: 6_000,
                };
                client::send_once(world.machines[0].traffic, &request, &world.record)
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    world.end(&judge(&world, &outcomes, stopped_s));
}

fn judge(world: &World, outcomes: &[Outcome], stopped_s: f64) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut passed_on = 0;
    for outcome in outcomes {
        let runs = world.runs.of(&outcome.id);
        let Some(run) = runs.first() else { continue };
        passed_on += 1;
        let sent_s = outcome.sent_s - stopped_s;
        let ended_s = outcome.ended_s - stopped_s;
        let is_whole = outcome.status == 200 && outcome.is_signed;
        if is_whole || sent_s <= EXCUSED_S || ended_s > GRACE_S + 1.0 {
            continue;
        }
        breaks.push(format!(
            "LOST: {} was sent {sent_s:.3} s after SIGTERM and passed on; it ended {ended_s:.3} s \
             after SIGTERM with status {}, while its upstream was at work (from {:.3} s)",
            outcome.id,
            outcome.status,
            run.started_s - stopped_s
        ));
    }
    world.record.line(&format!("{passed_on} requests were passed on"));
    if passed_on == 0 {
        world::cannot_run("no request was passed on");
    }
    breaks
}
