//! Orders while upstreams shed a part of their requests and sometimes send an answer twice.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    lab::{put_manifest, Lab, Rule, BROKEN, HELD, HOST},
    store::Store,
    upstream::{Faults, Plan, Run, Upstream},
};

const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv-a", "varna-a"];
const INSTANCES: [&str; 3] = ["sofia-a", "plovdiv-a", "varna-a"];
const UPSTREAMS: usize = 24;
const CLIENTS: usize = 66;
const DURATION: Duration = Duration::from_secs(86);
/// Time between two orders of one client, so that all send some 189 a second, retries aside.
const PAUSE: Duration = Duration::from_millis(350);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Doses of `srv_grey` (shed all) and of `garble` (extra late) on days of the site, and their
/// lengths.
const SHED: f64 = 0.55;
const SHED_FOR: Duration = Duration::from_millis(8_500);
const GARBLED_UPSTREAMS: f64 = 0.6;
const EXTRA_LATE: f64 = 0.03;
const EXTRA_LATE_FOR: Duration = Duration::from_millis(5_000);
/// The first time, and the time between the end of one and the next.
const FIRST: Duration = Duration::from_secs(4);
const GAP: Duration = Duration::from_millis(500);

/// An attempt of a client.
#[derive(Clone)]
struct Attempt {
    /// The order, which is the same for a retry.
    order: String,
    answer: String,
}

/// Attempts by their request ids.
type Attempts = HashMap<String, Attempt>;

pub fn run(lab: &Lab, has_trouble: bool) -> i32 {
    let runs = Arc::new(Mutex::new(Vec::new()));
    let store = match Store::start(&lab.ip(1)) {
        Ok(store) => store,
        Err(e) => return lab.cannot_run(&e.to_string()),
    };
    put_manifest(
        &store,
        &[Rule { prefix: "/orders/", kind: "non_idempotent", timeout_s: 1.5, attempts: 2 }],
    );
    let plan = Plan { work: Duration::from_millis(312), pieces: 0, piece_bytes: 0 };
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let zone = ZONES[number % ZONES.len()];
        match Upstream::start(lab, &store, number, zone, plan, &runs) {
            Ok(upstream) => upstreams.push(upstream),
            Err(e) => return lab.cannot_run(&e.to_string()),
        }
    }
    let instances = match lab.start_instances(&INSTANCES, &store) {
        Ok(instances) => instances,
        Err(e) => return lab.cannot_run(&e),
    };
    if has_trouble {
        let lab = lab.clone();
        // To tell which of the two matters.
        let extra_late = if std::env::var_os("SHED_ONLY").is_some() { 0.0 } else { EXTRA_LATE };
        thread::spawn(move || disturb(&lab, &upstreams, extra_late));
    }
    let attempts = Arc::<Mutex<Attempts>>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (lab, attempts) = (lab.clone(), Arc::clone(&attempts));
            let addr = instances[number % instances.len()].traffic;
            thread::spawn(move || order(&lab, number, addr, &attempts))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            return lab.cannot_run("a client failed");
        }
    }
    // Runs that a refused request may still have.
    thread::sleep(Duration::from_secs(2));
    let (runs, attempts) = (runs.lock().unwrap().clone(), attempts.lock().unwrap().clone());
    judge(lab, &runs, &attempts)
}

/// Makes all upstreams shed and a part of them send answers twice, again and again.
fn disturb(lab: &Lab, upstreams: &[Upstream], extra_late_share: f64) {
    let garbled = (GARBLED_UPSTREAMS * upstreams.len() as f64) as usize;
    let started_at = Instant::now();
    let mut last = (0.0, 0.0);
    while started_at.elapsed() < DURATION {
        thread::sleep(Duration::from_millis(10));
        let shed = if is_on(started_at, SHED_FOR) { SHED } else { 0.0 };
        let extra_late = if is_on(started_at, EXTRA_LATE_FOR) { extra_late_share } else { 0.0 };
        if (shed, extra_late) == last {
            continue;
        }
        last = (shed, extra_late);
        lab.log(&format!(
            "all upstreams shed {shed}, {garbled} repeat {extra_late} of their answers"
        ));
        for (number, upstream) in upstreams.iter().enumerate() {
            let extra_late = if number < garbled { extra_late } else { 0.0 };
            upstream.set_faults(Faults { shed, extra_late });
        }
    }
}

/// Returns whether a disruption of this length is on that comes again and again.
fn is_on(started_at: Instant, length: Duration) -> bool {
    let Some(elapsed) = started_at.elapsed().checked_sub(FIRST) else { return false };
    let period = length + GAP;
    elapsed.as_millis() % period.as_millis() < length.as_millis()
}

/// Sends orders on the client's open connection. Each is sent once more, on a new connection and
/// under another request id, if the answer promises that it has not run and never will.
fn order(lab: &Lab, number: usize, addr: SocketAddr, attempts: &Mutex<Attempts>) {
    let end = Instant::now() + DURATION;
    thread::sleep(PAUSE * number as u32 / CLIENTS as u32);
    let mut connection: Option<Connection> = None;
    while Instant::now() < end {
        let begun_at = Instant::now();
        let order = format!("{number}-{}", begun_at.duration_since(end - DURATION).as_millis());
        let object = lab.random(200);
        for is_retry in [false, true] {
            if is_retry || connection.is_none() {
                connection = TcpStream::connect(addr).ok().map(Connection::new);
            }
            let id = lab.request_id();
            let left = DEADLINE.saturating_sub(begun_at.elapsed());
            let (answer, retry_after) = match &mut connection {
                Some(connection) => send(lab, connection, &id, &order, object, left),
                None => ("no connection".to_owned(), Duration::ZERO),
            };
            if !answer.chars().all(|c| c.is_ascii_digit()) {
                connection = None;
            }
            lab.log(&format!("client {number}: order {order} as {id} ended: {answer}"));
            let may_retry = answer == "503";
            let attempt = Attempt { order: order.clone(), answer };
            attempts.lock().unwrap().insert(id, attempt);
            if !may_retry {
                break;
            }
            thread::sleep(retry_after.min(DEADLINE.saturating_sub(begun_at.elapsed()) / 3));
        }
        thread::sleep(PAUSE.saturating_sub(begun_at.elapsed()));
    }
}

/// Returns the status or how the connection ended, and when to come back.
fn send(
    lab: &Lab,
    connection: &mut Connection,
    id: &str,
    order: &str,
    object: u64,
    left: Duration,
) -> (String, Duration) {
    let body = format!("order {order}");
    let request = format!(
        "POST /orders/{object} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    lab.log(&format!("order {order} sent as {id}"));
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return ("closed".to_owned(), Duration::ZERO);
    }
    match connection.read_response(Instant::now() + left + Duration::from_millis(200)) {
        Ok(response) => {
            let retry_after_s: f64 = response.header("retry-after").parse().unwrap_or(0.0);
            (response.status.to_string(), Duration::from_secs_f64(retry_after_s))
        }
        Err(e) => (format!("{e:?}"), Duration::ZERO),
    }
}

fn judge(lab: &Lab, runs: &[Run], attempts: &Attempts) -> i32 {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut twice = 0;
    let mut refused = 0;
    let mut runs_by_order: HashMap<&str, usize> = HashMap::new();
    for (id, runs) in &by_id {
        let Some(Attempt { order, answer }) = attempts.get(*id) else { continue };
        *runs_by_order.entry(order).or_default() += runs.len();
        let servers: Vec<&str> = runs.iter().map(|run| run.server.as_str()).collect();
        let servers = servers.join(", ");
        if runs.len() > 1 {
            twice += 1;
            lab.log(&format!("TWICE: {id} ran at {servers}; the client got {answer}"));
        }
        if matches!(answer.as_str(), "429" | "503" | "408" | "421") {
            refused += 1;
            lab.log(&format!("REFUSED: {id} (order {order}) got {answer} and ran at {servers}"));
        }
    }
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for attempt in attempts.values() {
        *counts.entry(&attempt.answer).or_default() += 1;
    }
    let doubled: Vec<_> = runs_by_order.iter().filter(|(_, runs)| **runs > 1).collect();
    for (order, runs) in &doubled {
        lab.log(&format!("order {order} ran {runs} times, since its client trusted a refusal"));
    }
    lab.say(&format!("{} requests, ended: {counts:?}; {} ran", attempts.len(), by_id.len()));
    lab.say(&format!("TWICE: {twice} requests ran more than once (0 allowed)"));
    lab.say(&format!("REFUSED: {refused} requests were answered as not run and ran (0 allowed)"));
    lab.say(&format!("{} orders ran more than once, retries included", doubled.len()));
    if twice > 0 || refused > 0 {
        BROKEN
    } else {
        HELD
    }
}
