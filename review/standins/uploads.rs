//! Uploads within the manifest's limits, of which more come at once for some seconds, beside
//! short reads. The platform ends a process that exceeds its memory.

use std::{
    collections::HashSet,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, NoResponse},
    lab::{put_manifest, Instance, Lab, Rule, BROKEN, HELD, HOST},
    store::Store,
    upstream::{Plan, Upstream},
};

const INSTANCES: [&str; 2] = ["sofia-a", "plovdiv-a"];
const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv-a", "varna-a"];
const UPSTREAMS: usize = 12;
const PLAN: Plan = Plan { work: Duration::from_millis(240), pieces: 0, piece_bytes: 0 };
/// `memoryMb` of the settings.
const MEMORY_BYTES: u64 = 260 << 20;
const MEMORY_CHECK: Duration = Duration::from_millis(10);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Below `maxBodyBytes`, which is 64 MiB.
const UPLOAD_BYTES: usize = 60_000_000;
const UPLOAD_BYTES_PER_S: usize = 20_000_000;
const PIECE_BYTES: usize = 200_000;
/// Users of each instance who upload at the same time, and with `burst`, which has x = 1.7.
const USERS: usize = 3;
const BURST_USERS: usize = 5;
const ROUNDS: usize = 6;
const ROUND: Duration = Duration::from_secs(6);
const UPLOAD_DEADLINE: Duration = Duration::from_millis(5_500);

const READERS: usize = 10;
const READ_DEADLINE: Duration = Duration::from_millis(1_200);
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Number of requests from which the rule is broken.
const MIN_LOST: usize = 4;

struct Shared {
    lab: Lab,
    is_over: AtomicBool,
    kills: [AtomicUsize; INSTANCES.len()],
    peaks: [AtomicU64; INSTANCES.len()],
    /// Reads whose connection ended without an answer.
    cut: Mutex<Vec<String>>,
    served: AtomicUsize,
    uploads: Mutex<Vec<String>>,
}

pub fn run(lab: &Lab, has_trouble: bool) -> i32 {
    let runs = Arc::default();
    let store = match Store::start(&lab.ip(1)) {
        Ok(store) => store,
        Err(e) => return lab.cannot_run(&e.to_string()),
    };
    put_manifest(
        &store,
        &[
            Rule { prefix: "/reads/", kind: "idempotent", timeout_s: 1.2, attempts: 2 },
            Rule { prefix: "/photos/", kind: "upload", timeout_s: 5.0, attempts: 2 },
        ],
    );
    for number in 0..UPSTREAMS {
        let zone = ZONES[number % ZONES.len()];
        if let Err(e) = Upstream::start(lab, &store, number, zone, PLAN, &runs) {
            return lab.cannot_run(&e.to_string());
        }
    }
    let instances = match lab.start_instances(&INSTANCES, &store) {
        Ok(instances) => instances,
        Err(e) => return lab.cannot_run(&e),
    };
    let shared = Arc::new(Shared {
        lab: lab.clone(),
        is_over: AtomicBool::new(false),
        kills: Default::default(),
        peaks: Default::default(),
        cut: Mutex::default(),
        served: AtomicUsize::new(0),
        uploads: Mutex::default(),
    });
    // More than `contactS`.
    thread::sleep(Duration::from_secs(4));
    let mut threads = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        let (shared, instance) = (Arc::clone(&shared), Arc::clone(instance));
        threads.push(thread::spawn(move || limit_memory(&shared, number, &instance)));
    }
    for number in 0..READERS * instances.len() {
        let (shared, addr) = (Arc::clone(&shared), instances[number % instances.len()].traffic);
        threads.push(thread::spawn(move || read(&shared, number, addr)));
    }
    let mut uploading = Vec::new();
    for round in 0..ROUNDS {
        let is_burst = has_trouble && round % 2 == 1;
        let users = if is_burst { BURST_USERS } else { USERS };
        lab.log(&format!("{users} uploads begin at each instance"));
        for instance in &instances {
            for _ in 0..users {
                let (shared, addr) = (Arc::clone(&shared), instance.traffic);
                uploading.push(thread::spawn(move || upload(&shared, addr)));
            }
        }
        thread::sleep(ROUND);
    }
    shared.is_over.store(true, Ordering::SeqCst);
    if threads.into_iter().chain(uploading).any(|thread| thread.join().is_err()) {
        return lab.cannot_run("a thread failed");
    }
    let runs: HashSet<String> = runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    judge(&shared, &runs)
}

/// Ends the process each time it exceeds its memory, as the platform does, and starts it again.
fn limit_memory(shared: &Shared, number: usize, instance: &Instance) {
    while !shared.is_over.load(Ordering::SeqCst) {
        thread::sleep(MEMORY_CHECK);
        let bytes = instance.memory_bytes();
        shared.peaks[number].fetch_max(bytes, Ordering::SeqCst);
        if bytes > MEMORY_BYTES {
            shared.lab.log(&format!("{} exceeds its memory: {} MB", instance.name, bytes >> 20));
            shared.kills[number].fetch_add(1, Ordering::SeqCst);
            shared.lab.kill_and_restart(instance, RESTART_DELAY);
        }
    }
}

/// Uploads one photo set.
fn upload(shared: &Shared, addr: SocketAddr) {
    let lab = &shared.lab;
    let id = lab.request_id();
    let sent_at = Instant::now();
    let end = match TcpStream::connect(addr) {
        Ok(stream) => send_upload(lab, Connection::new(stream), &id, sent_at),
        Err(_) => "no connection".to_owned(),
    };
    lab.log(&format!("upload {id} ended after {} ms: {end}", sent_at.elapsed().as_millis()));
    shared.uploads.lock().unwrap().push(end);
}

fn send_upload(lab: &Lab, mut connection: Connection, id: &str, sent_at: Instant) -> String {
    let object = lab.random(1_000);
    let head = format!(
        "POST /photos/{object} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n",
        UPLOAD_DEADLINE.as_millis()
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    let piece = vec![b'p'; PIECE_BYTES];
    for sent in 0..UPLOAD_BYTES / PIECE_BYTES {
        let due = Duration::from_secs_f64((sent * PIECE_BYTES) as f64 / UPLOAD_BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(sent_at.elapsed()));
        if connection.stream.write_all(&piece).is_err() {
            return "closed".to_owned();
        }
    }
    match connection.read_response(sent_at + UPLOAD_DEADLINE) {
        Ok(response) => response.status.to_string(),
        Err(e) => format!("{e:?}"),
    }
}

/// Sends reads, one after the other, on an open connection.
fn read(shared: &Shared, number: usize, addr: SocketAddr) {
    let lab = &shared.lab;
    let mut connection: Option<Connection> = None;
    while !shared.is_over.load(Ordering::SeqCst) {
        thread::sleep(READ_PAUSE);
        if connection.is_none() {
            connection = TcpStream::connect(addr).ok().map(Connection::new);
        }
        let Some(open) = &mut connection else { continue };
        let id = lab.request_id();
        let object = lab.random(1_000);
        let request = format!(
            "GET /reads/{object} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\n\r\n",
            READ_DEADLINE.as_millis()
        );
        lab.log(&format!("reader {number}: {id} sent"));
        let answer = match open.stream.write_all(request.as_bytes()) {
            Ok(()) => open.read_response(Instant::now() + READ_DEADLINE),
            Err(_) => Err(NoResponse::Closed),
        };
        match answer {
            Ok(response) => {
                lab.log(&format!("reader {number}: {id} ended: {}", response.status));
                shared.served.fetch_add(usize::from(response.status == 200), Ordering::SeqCst);
            }
            Err(e) => {
                lab.log(&format!("reader {number}: {id} ended: {e:?}"));
                connection = None;
                if e == NoResponse::Closed {
                    shared.cut.lock().unwrap().push(id);
                }
            }
        }
    }
}

fn judge(shared: &Shared, runs: &HashSet<String>) -> i32 {
    let lab = &shared.lab;
    let cut = shared.cut.lock().unwrap();
    let lost: Vec<&String> = cut.iter().filter(|id| runs.contains(*id)).collect();
    for id in &lost {
        lab.log(&format!("LOST: {id} was at work at an upstream when its connection ended"));
    }
    let kills = shared.kills.each_ref().map(|kills| kills.load(Ordering::SeqCst));
    let peaks = shared.peaks.each_ref().map(|peak| peak.load(Ordering::SeqCst) >> 20);
    let uploads = shared.uploads.lock().unwrap();
    let uploaded = uploads.iter().filter(|end| *end == "200").count();
    lab.say(&format!("{} uploads, {uploaded} served", uploads.len()));
    lab.say(&format!("{} reads served, {} cut", shared.served.load(Ordering::SeqCst), cut.len()));
    lab.say(&format!("most memory of each process: {peaks:?} MB, allowed {}", MEMORY_BYTES >> 20));
    lab.say(&format!(
        "Fault: processes exceeded their memory {kills:?} times; broken by three times at two \
         of the machines"
    ));
    lab.say(&format!(
        "LOST: {} reads were passed on to an upstream and cut; broken from {MIN_LOST}",
        lost.len()
    ));
    if lost.len() >= MIN_LOST {
        BROKEN
    } else {
        HELD
    }
}
