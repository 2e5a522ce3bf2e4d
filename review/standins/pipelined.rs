//! Reads that are sent one behind the other on a connection while their entry instance is stopped
//! by a SIGTERM.

use std::{
    collections::HashSet,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    lab::{put_manifest, Lab, Rule, BROKEN, HELD, HOST, SIGTERM},
    store::Store,
    upstream::{Plan, Upstream},
};

const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv-a", "varna-a"];
const UPSTREAMS: usize = 12;
const PLAN: Plan = Plan { work: Duration::from_millis(240), pieces: 0, piece_bytes: 0 };
const CLIENTS: usize = 4;
/// Requests that a client sends before it has an answer.
const PIPELINED: usize = 4;
const ROUNDS: usize = 8;
/// The round during which the instance is stopped, and the time after its requests were sent.
const STOPPED_ROUND: usize = 4;
const STOPPED_AFTER: Duration = Duration::from_millis(100);
const ROUND: Duration = Duration::from_millis(1_000);
const DEADLINE: Duration = Duration::from_millis(1_200);

/// The answer to each request, or how its connection ended.
type Ends = Arc<Mutex<Vec<(String, String)>>>;

pub fn run(lab: &Lab, has_trouble: bool) -> i32 {
    let runs = Arc::default();
    let store = match Store::start(&lab.ip(1)) {
        Ok(store) => store,
        Err(e) => return lab.cannot_run(&e.to_string()),
    };
    put_manifest(
        &store,
        &[Rule { prefix: "/reads/", kind: "idempotent", timeout_s: 1.2, attempts: 2 }],
    );
    for number in 0..UPSTREAMS {
        let zone = ZONES[number % ZONES.len()];
        if let Err(e) = Upstream::start(lab, &store, number, zone, PLAN, &runs) {
            return lab.cannot_run(&e.to_string());
        }
    }
    let instances = match lab.start_instances(&["sofia-a", "plovdiv-a"], &store) {
        Ok(instances) => instances,
        Err(e) => return lab.cannot_run(&e),
    };
    thread::sleep(Duration::from_secs(3));
    let ends = Ends::default();
    let begins = Instant::now() + ROUND;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (lab, ends) = (lab.clone(), Arc::clone(&ends));
            let addrs = [instances[0].traffic, instances[1].traffic];
            thread::spawn(move || read(&lab, number, addrs, begins, &ends))
        })
        .collect();
    if has_trouble {
        let at = begins + ROUND * STOPPED_ROUND as u32 + STOPPED_AFTER;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        lab.signal(&instances[0], SIGTERM);
    }
    for client in clients {
        if client.join().is_err() {
            return lab.cannot_run("a client failed");
        }
    }
    let runs: HashSet<String> = runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let ends = ends.lock().unwrap().clone();
    judge(lab, &ends, &runs)
}

/// Sends several reads in each round before it reads their answers.
fn read(lab: &Lab, number: usize, addrs: [SocketAddr; 2], begins: Instant, ends: &Ends) {
    let mut connection: Option<Connection> = None;
    for round in 0..ROUNDS {
        let at = begins + ROUND * round as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        // Look-ups do not name the instance any more that is being stopped.
        let addr = addrs[usize::from(round > STOPPED_ROUND)];
        if connection.is_none() {
            connection = TcpStream::connect(addr).ok().map(Connection::new);
        }
        let Some(open) = &mut connection else { continue };
        if !read_round(lab, number, open, ends) {
            connection = None;
        }
    }
}

/// Returns whether the connection stays open.
fn read_round(lab: &Lab, number: usize, connection: &mut Connection, ends: &Ends) -> bool {
    let ids: Vec<String> = (0..PIPELINED).map(|_| lab.request_id()).collect();
    for id in &ids {
        let object = lab.random(1_000);
        let request = format!(
            "GET /reads/{object} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        lab.log(&format!("client {number}: {id} sent"));
        if connection.stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
    }
    let mut is_open = true;
    for id in ids {
        let end = match connection.read_response(Instant::now() + DEADLINE) {
            Ok(response) if response.header("x-request-id") != id && response.status == 200 => {
                "the answer to another request".to_owned()
            }
            Ok(response) => {
                let closes = response.header("connection") == "close";
                is_open &= !closes;
                format!("{}{}", response.status, if closes { ", connection: close" } else { "" })
            }
            Err(e) => {
                is_open = false;
                format!("no answer, {e:?}")
            }
        };
        lab.log(&format!("client {number}: {id} ended: {end}"));
        ends.lock().unwrap().push((id, end));
    }
    is_open
}

fn judge(lab: &Lab, ends: &[(String, String)], runs: &HashSet<String>) -> i32 {
    let cut: Vec<_> = ends.iter().filter(|(_, end)| end == "no answer, Closed").collect();
    let lost: Vec<_> = cut.iter().filter(|(id, _)| runs.contains(id)).collect();
    for (id, _) in &lost {
        lab.log(&format!("LOST: {id} was at work at an upstream, and its connection was closed"));
    }
    let served = ends.iter().filter(|(_, end)| end.starts_with("200")).count();
    lab.say(&format!("{} requests, {served} served, {} cut", ends.len(), cut.len()));
    lab.say(&format!(
        "LOST: {} had been passed on to an upstream when their connection ended (0 allowed)",
        lost.len()
    ));
    if lost.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
