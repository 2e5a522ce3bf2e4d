//! The open connections to the store go silent, without a reset; new ones work. Then a manifest
//! moves a route of writes to another service, and adds a route.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::{self, Outcome, Request},
    record::Record,
    world::{self, Plan, Route, World, config},
};

const CONTACT_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;
/// How long requests are sent after the manifest.
const OBSERVED_S: u64 = 8;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let world = Arc::new(World::start(
        &Plan {
            machines: &["em-derby", "wm-brum", "sm-north"],
            upstreams: &[
                ("listings-app", "em-derby"),
                ("listings-app", "wm-brum"),
                ("uploads-app", "em-derby"),
                ("uploads-app", "wm-brum"),
            ],
            config: manifest(1, 1.0),
        },
        record,
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..world.machines.len())
        .map(|n| {
            let (world, is_over, outcomes) =
                (Arc::clone(&world), Arc::clone(&is_over), Arc::clone(&outcomes));
            thread::spawn(move || send_requests(&world, n, &is_over, &outcomes))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    // A first manifest changes a time-out only.
    world.put_config(&manifest(2, 1.2));
    record.line("store acknowledges manifest 2");
    thread::sleep(Duration::from_millis(400));
    if has_trouble {
        world.store.silence_open_connections();
        record.line("the open connections to the store go silent; new ones work");
    }
    let silent_s = record.now_s();
    thread::sleep(Duration::from_millis(100));
    world.put_config(&manifest(3, 1.2));
    let acknowledged_s = record.now_s();
    record.line("store acknowledges manifest 3: /moved/ goes to uploads-app, /added/ is new");
    thread::sleep(Duration::from_secs(OBSERVED_S));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // A machine is in touch again `contactS` after what counts as a reset of its connections.
    let in_touch_s = if has_trouble { silent_s + CONTACT_S } else { 0.0 };
    let due_s = in_touch_s.max(acknowledged_s + CONFIG_APPLY_S);
    record.line(&format!("requests sent after {due_s:.3} s have to be handled by manifest 3"));
    world.end(&judge(&world, &outcomes.lock().unwrap(), due_s));
}

/// Version 3 moves one route and adds another one.
fn manifest(version: u32, timeout_s: f64) -> String {
    let is_moved = version >= 3;
    let service = if is_moved { "uploads-app" } else { "listings-app" };
    let mut routes = vec![Route {
        name: "moved",
        kind: "non_idempotent",
        prefix: "/moved/",
        service,
        timeout_s,
    }];
    if is_moved {
        routes.push(Route {
            name: "added",
            kind: "idempotent",
            prefix: "/added/",
            service: "listings-app",
            timeout_s,
        });
    }
    config(version, &routes, &["listings-app", "uploads-app"])
}

/// Sends a write on the route that is moved and a read on the one that is added, by turns.
fn send_requests(
    world: &World,
    n: usize,
    is_over: &AtomicBool,
    outcomes: &Mutex<Vec<(usize, Outcome)>>,
) {
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let is_write = number % 2 == 0;
        let name = if is_write { "write" } else { "read" };
        let request = Request {
            id: &format!("{name}-{n}-{number}"),
            method: if is_write { "POST" } else { "GET" },
            path: if is_write { "/moved/a?work=20" } else { "/added/a?work=20" },
            body_bytes: if is_write { 300 } else { 0 },
            bytes_per_s: 0,
            deadline_ms: 1_200,
        };
        let outcome = client::send_once(world.machines[n].traffic, &request, &world.record);
        outcomes.lock().unwrap().push((n, outcome));
        thread::sleep(Duration::from_millis(30));
    }
}

fn judge(world: &World, outcomes: &[(usize, Outcome)], due_s: f64) -> Vec<String> {
    let is_write = |outcome: &Outcome| outcome.id.starts_with("write");
    let writes: Vec<&Outcome> =
        outcomes.iter().map(|(_, outcome)| outcome).filter(|o| is_write(o)).collect();
    let served = writes.iter().filter(|outcome| outcome.status == 200).count();
    if served * 10 < writes.len() * 9 {
        world::cannot_run(&format!("only {served} of {} writes were served", writes.len()));
    }
    let runs = world.runs.all();
    let ran_old =
        |id: &str| runs.iter().any(|run| run.request == id && run.service == "listings-app");
    let is_stale = |outcome: &Outcome| match is_write(outcome) {
        true => ran_old(&outcome.id),
        false => outcome.status == 404,
    };
    let mut breaks = Vec::new();
    for (n, machine) in world.machines.iter().enumerate() {
        let stale: Vec<&Outcome> = outcomes
            .iter()
            .filter(|(at, outcome)| *at == n && outcome.sent_s > due_s && is_stale(outcome))
            .map(|(_, outcome)| outcome)
            .collect();
        let (Some(first), Some(last)) = (stale.first(), stale.last()) else { continue };
        let old_writes = stale.iter().filter(|outcome| is_write(outcome)).count();
        breaks.push(format!(
            "CONFIG: {}: {old_writes} writes were run by the old service and {} reads refused with \
             404, the first sent {:.3} s and the last {:.3} s after the bound",
            machine.name,
            stale.len() - old_writes,
            first.sent_s - due_s,
            last.sent_s - due_s
        ));
    }
    breaks
}
