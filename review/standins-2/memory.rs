//! Several clients upload large bodies at once, each within `maxBodyBytes` and all together within
//! the link's rate. The platform kills a process that occupies more than `memoryMb`.

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
    net::Connection,
    record::Record,
    world::{self, MEMORY_MB, Plan, Route, World, config},
};

const UPLOADS: usize = 6;
/// Below `maxBodyBytes`, which is 67,108,864.
const UPLOAD_BYTES: usize = 60_000_000;
/// All uploads together take 96 MB/s; `linkMbps` = 1000 are 125 MB/s.
const UPLOAD_BYTES_PER_S: usize = 16_000_000;
const HOLD_CLIENTS: usize = 8;
/// The rule is broken by more than these.
const ALLOWED_LOSSES: usize = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let routes = [
        Route {
            name: "holds",
            kind: "non_idempotent",
            prefix: "/holds/",
            service: "listings-app",
            timeout_s: 6.0,
        },
        Route {
            name: "records",
            kind: "upload",
            prefix: "/records/",
            service: "uploads-app",
            timeout_s: 6.0,
        },
    ];
    let world = Arc::new(World::start(
        &Plan {
            machines: &["em-derby", "em-notts"],
            upstreams: &[
                ("listings-app", "em-derby"),
                ("listings-app", "em-notts"),
                ("uploads-app", "em-derby"),
                ("uploads-app", "em-notts"),
            ],
            config: config(1, &routes, &["listings-app", "uploads-app"]),
        },
        record,
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let holds = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..HOLD_CLIENTS)
        .map(|n| {
            let (world, is_over, holds) =
                (Arc::clone(&world), Arc::clone(&is_over), Arc::clone(&holds));
            thread::spawn(move || send_holds(&world, n, &is_over, &holds))
        })
        .collect();
    let limiter = limit_memory(&world, &is_over);
    thread::sleep(Duration::from_secs(1));
    upload(&world, has_trouble);
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let most_bytes = limiter.join().unwrap_or(0);
    record.line(&format!("most memory of machine 0: {:.1} MB", most_bytes as f64 / 1e6));
    world.end(&judge(&world, &holds.lock().unwrap()));
}

/// Sends one hold after the other on a kept connection, until it ends.
fn send_holds(world: &World, n: usize, is_over: &AtomicBool, holds: &Mutex<Vec<(Outcome, bool)>>) {
    let Ok(mut connection) = Connection::open(world.machines[0].traffic) else {
        world::cannot_run("a client cannot connect");
    };
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let request = Request {
            id: &format!("hold-{n}-{number}"),
            method: "POST",
            path: "/holds/a?work=300",
            body_bytes: 4_000,
            bytes_per_s: 0,
            deadline_ms: 1_500,
        };
        let outcome = client::send(&mut connection, &request, &world.record);
        let has_ended = outcome.status == 0 || outcome.closes;
        holds.lock().unwrap().push((outcome, number > 0));
        if has_ended {
            return;
        }
    }
}

fn upload(world: &Arc<World>, has_trouble: bool) {
    let start = |n: usize, bytes_per_s: usize| {
        let world = Arc::clone(world);
        thread::spawn(move || {
            let request = Request {
                id: &format!("upload-{n}"),
                method: "POST",
                path: "/records/a?work=288",
                body_bytes: UPLOAD_BYTES,
                bytes_per_s,
                deadline_ms: 6_000,
            };
            client::send_once(world.machines[0].traffic, &request, &world.record)
        })
    };
    if has_trouble {
        let uploads: Vec<_> = (0..UPLOADS).map(|n| start(n, UPLOAD_BYTES_PER_S)).collect();
        uploads.into_iter().for_each(|upload| drop(upload.join()));
    } else {
        // The same bodies at the same rate of bytes, but one after the other.
        (0..UPLOADS).for_each(|n| drop(start(n, UPLOAD_BYTES_PER_S * UPLOADS).join()));
    }
}

/// The platform: kills the process on machine 0 if it exceeds `memoryMb`.
fn limit_memory(world: &Arc<World>, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<u64> {
    let (world, is_over) = (Arc::clone(world), Arc::clone(is_over));
    thread::spawn(move || {
        let machine = &world.machines[0];
        let (mut most_bytes, mut recorded_bytes) = (0, 0);
        while !is_over.load(Ordering::SeqCst) {
            let bytes = machine.memory_bytes();
            most_bytes = most_bytes.max(bytes);
            if most_bytes > recorded_bytes + 20_000_000 {
                recorded_bytes = most_bytes;
                world.record.line(&format!("machine 0 occupies {:.1} MB", bytes as f64 / 1e6));
            }
            if bytes > MEMORY_MB << 20 {
                world.record.line(&format!(
                    "platform: machine 0 occupies {bytes} bytes, more than memoryMb={MEMORY_MB}; killed"
                ));
                world::signal(machine.id, "KILL");
                return most_bytes;
            }
            thread::sleep(Duration::from_millis(10));
        }
        most_bytes
    })
}

fn judge(world: &World, holds: &[(Outcome, bool)]) -> Vec<String> {
    let answered = holds.iter().filter(|(outcome, _)| outcome.status == 200).count();
    if answered < 50 {
        world::cannot_run(&format!("only {answered} holds were answered"));
    }
    let lost: Vec<&str> = holds
        .iter()
        .filter(|(outcome, was_kept)| *was_kept && outcome.status == 0)
        .map(|(outcome, _)| outcome.id.as_str())
        .filter(|id| !world.runs.of(id).is_empty())
        .collect();
    world.record.line(&format!(
        "{answered} holds answered, {} passed on and closed without an answer",
        lost.len()
    ));
    if lost.len() <= ALLOWED_LOSSES {
        return Vec::new();
    }
    vec![format!(
        "LOST: {} requests from kept connections were passed on to sound upstreams and their \
         connections closed without an answer: {}",
        lost.len(),
        lost.join(", ")
    )]
}
