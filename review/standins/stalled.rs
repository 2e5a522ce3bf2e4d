//! Long answers while a zone of upstreams loses power.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, NoResponse},
    lab::{put_manifest, Lab, Rule, BROKEN, HELD, HOST},
    store::Store,
    upstream::{Plan, Upstream},
};

/// As many in each zone as the deployment has there.
const ZONES: [&str; 12] = [
    "sofia-a", "sofia-a", "sofia-a", "sofia-a", "sofia-a", "sofia-a", "sofia-b", "sofia-b",
    "sofia-b", "sofia-b", "sofia-b", "sofia-b",
];
const LOST_ZONE: &str = "sofia-a";
const PLAN: Plan = Plan { work: Duration::from_millis(480), pieces: 40, piece_bytes: 8 << 10 };
const CLIENTS: usize = 36;
/// No request is sent later. The run ends before the power would be back after the 5.5 s of
/// `zone_loss` on days of the site.
const DURATION: Duration = Duration::from_millis(7_000);
const LOST_AT: Duration = Duration::from_secs(6);
const EXPIRY: Duration = Duration::from_millis(4_500);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// The rule's time after the route's timeout, and the number from which it counts.
const SLACK: Duration = Duration::from_millis(500);
const MIN_UNANSWERED: usize = 8;

/// How a request ended, and how long after it was sent.
type Ends = Arc<Mutex<Vec<(String, String, Duration)>>>;

pub fn run(lab: &Lab, has_trouble: bool) -> i32 {
    let runs = Arc::default();
    let store = match Store::start(&lab.ip(1)) {
        Ok(store) => store,
        Err(e) => return lab.cannot_run(&e.to_string()),
    };
    let timeout_s = ROUTE_TIMEOUT.as_secs_f64();
    put_manifest(
        &store,
        &[Rule { prefix: "/photos/", kind: "idempotent", timeout_s, attempts: 2 }],
    );
    let mut upstreams = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        match Upstream::start(lab, &store, number, zone, PLAN, &runs) {
            Ok(upstream) => upstreams.push(upstream),
            Err(e) => return lab.cannot_run(&e.to_string()),
        }
    }
    let instances = match lab.start_instances(&["sofia-b"], &store) {
        Ok(instances) => instances,
        Err(e) => return lab.cannot_run(&e),
    };
    let ends = Ends::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (lab, ends, addr) = (lab.clone(), Arc::clone(&ends), instances[0].traffic);
            thread::spawn(move || read(&lab, number, addr, &ends))
        })
        .collect();
    if has_trouble {
        thread::sleep(LOST_AT);
        lose_zone(lab, &store, &upstreams);
    }
    for client in clients {
        if client.join().is_err() {
            return lab.cannot_run("a client failed");
        }
    }
    let ends = ends.lock().unwrap().clone();
    judge(lab, &ends)
}

/// Takes the power of a zone. Its upstreams' entries expire after three heartbeats.
fn lose_zone(lab: &Lab, store: &Store, upstreams: &[Upstream]) {
    lab.log(&format!("the upstreams of {LOST_ZONE} have no power any more"));
    let lost: Vec<_> = upstreams.iter().filter(|upstream| upstream.zone() == LOST_ZONE).collect();
    lost.iter().for_each(|upstream| upstream.lose_power());
    thread::sleep(EXPIRY);
    lost.iter().for_each(|upstream| store.remove("servers", upstream.id()));
}

/// Reads photos, one after the other, on an open connection.
fn read(lab: &Lab, number: usize, addr: SocketAddr, ends: &Ends) {
    let end = Instant::now() + DURATION;
    let mut connection: Option<Connection> = None;
    while Instant::now() < end {
        if connection.is_none() {
            connection = TcpStream::connect(addr).ok().map(Connection::new);
        }
        let Some(open) = &mut connection else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let sent_at = Instant::now();
        let id = lab.request_id();
        let answer = send(lab, open, &id);
        let taken = sent_at.elapsed();
        lab.log(&format!("client {number}: {id} ended after {} ms: {answer}", taken.as_millis()));
        if answer != "200" {
            connection = None;
            thread::sleep(Duration::from_millis(100));
        }
        ends.lock().unwrap().push((id, answer, taken));
    }
}

fn send(lab: &Lab, connection: &mut Connection, id: &str) -> String {
    let object = lab.random(1_000);
    let request = format!(
        "GET /photos/{object} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    lab.log(&format!("{id} sent"));
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    match connection.read_response(Instant::now() + DEADLINE) {
        Ok(response) if response.status == 200 && response.body.len() != PLAN.body_bytes() => {
            "200 with another body".to_owned()
        }
        Ok(response) => response.status.to_string(),
        Err(NoResponse::Closed) => "closed".to_owned(),
        Err(NoResponse::TimedOut) => "never, the client gave up".to_owned(),
    }
}

fn judge(lab: &Lab, ends: &[(String, String, Duration)]) -> i32 {
    let unanswered: Vec<_> = ends.iter().filter(|(.., taken)| *taken > ROUTE_TIMEOUT).collect();
    let late: Vec<_> =
        unanswered.iter().filter(|(.., taken)| *taken > ROUTE_TIMEOUT + SLACK).collect();
    for (id, answer, taken) in &late {
        lab.log(&format!(
            "CONFIG: {id} had no answer in time: {answer} ({} ms)",
            taken.as_millis()
        ));
    }
    let never = late.iter().filter(|(_, answer, _)| answer.starts_with("never")).count();
    let served = ends.iter().filter(|(_, answer, _)| answer == "200").count();
    lab.say(&format!("{} requests, {served} served", ends.len()));
    lab.say(&format!(
        "CONFIG: {} unanswered after the route's timeout, {} of them half a second later \
         ({never} never answered); broken from {MIN_UNANSWERED} and over a quarter of them",
        unanswered.len(),
        late.len()
    ));
    let is_broken = late.len() >= MIN_UNANSWERED && late.len() * 4 > unanswered.len();
    if is_broken {
        BROKEN
    } else {
        HELD
    }
}
