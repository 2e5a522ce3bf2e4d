//! Configuration, leaving servers and planned stops, with real processes that are
//! paused and stopped while the platform is down.

use std::{
    process::{Child, Command},
    time::{Duration, Instant},
};

use azuregate_core::{entries::Entries, names::BackendId};
use azuregate_lab::{client, example::Example, platform::Faults};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::deployment::{Deployment, azuregate};

/// How long anything may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

fn signal(name: &str, child: &Child) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
}

async fn platform_down(deployment: &Deployment) {
    let faults = Faults { down: true, ..Faults::default() };
    let addr = deployment.example.platform_addr;
    assert!(client::post_json(addr, "/lab/faults", &faults).await.unwrap().status().is_success());
}

async fn behave(deployment: &Deployment, index: usize, behaviour: serde_json::Value) {
    let backend = &deployment.example.backends(&deployment.example.services[0])[index];
    let answer = client::post_json(backend.addr, "/lab/behaviour", &behaviour).await.unwrap();
    assert!(answer.status().is_success());
}

/// How many requests ran at one backend server.
async fn ran_at(deployment: &Deployment, index: usize) -> u64 {
    let backend = &deployment.example.backends(&deployment.example.services[0])[index];
    let answer = client::get(backend.addr, "/lab/ran").await.unwrap();
    let ran: std::collections::HashMap<String, u64> =
        serde_json::from_slice(answer.body()).unwrap();
    ran.values().sum()
}

async fn read(deployment: &Deployment, index: usize) -> u16 {
    let request = Request::get("/hello").body(Full::<Bytes>::default()).unwrap();
    deployment.send(index, request).await.status().as_u16()
}

/// The status line of an instance.
async fn ready(deployment: &Deployment, index: usize) -> String {
    let ip = deployment.example.entries[index].ip;
    let addr = (ip, deployment.example.ports.status).into();
    let answer = client::get(addr, "/ready").await.unwrap();
    String::from_utf8(answer.body().to_vec()).unwrap()
}

/// Whether `index` is among the entries that instance `asked` names.
async fn is_named(deployment: &Deployment, asked: usize, index: usize) -> bool {
    let path = format!("/v1/entries?service={}", deployment.example.services[0].name);
    let answer = client::get(deployment.traffic(asked), &path).await.unwrap();
    let entries: Entries = serde_json::from_slice(answer.body()).unwrap();
    let id = &deployment.example.entries[index].id;
    entries.entries.iter().any(|entry| entry.id == *id)
}

fn drain(deployment: &Deployment, at: usize, backend: &BackendId) {
    let line = format!("drain start --service starter-desk --backend {backend}");
    let mut command = Command::new(azuregate());
    command.args(line.split(' ')).arg("--at").arg(deployment.operators(at).to_string());
    assert!(command.output().unwrap().status.success());
}

fn version(deployment: &Deployment, at: usize) -> u64 {
    let mut command = Command::new(azuregate());
    command.args(["policy", "get", "--service", "starter-desk", "--output", "json", "--at"]);
    let output = command.arg(deployment.operators(at).to_string()).output().unwrap();
    let policy: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    policy["version"].as_u64().unwrap()
}

async fn until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        time::sleep(Duration::from_millis(30)).await;
    }
}

// One instance is frozen. The operator drains a server through another, and the
// platform goes down right after: the change reaches the third by the peers alone.
// The frozen one wakes with the old version. Requests that reach it at once must
// not run at the drained server; it serves when its peers have told it, and the
// others keep the new version.
#[tokio::test]
async fn a_woken_instance_serves_no_old_version() {
    let deployment = Deployment::start("woken").await;
    let backends = deployment.example.backends(&deployment.example.services[0]);
    for index in 0..3 {
        assert_eq!(read(&deployment, index).await, 200);
    }
    signal("-STOP", &deployment.entries[2]);
    drain(&deployment, 0, &backends[0].id);
    platform_down(&deployment).await;
    until("in force at the other", || async { version(&deployment, 1) == 2 }).await;
    time::sleep(Duration::from_secs(3)).await;
    let before = ran_at(&deployment, 0).await;
    signal("-CONT", &deployment.entries[2]);
    let start = Instant::now();
    let mut served = 0;
    while served < 30 {
        assert!(start.elapsed() < PATIENCE, "it never served again");
        match read(&deployment, 2).await {
            200 => served += 1,
            status => assert_eq!(status, 503),
        }
    }
    assert_eq!(ran_at(&deployment, 0).await, before, "the drained server got work");
    assert_eq!([0, 1, 2].map(|at| version(&deployment, at)), [2, 2, 2]);
    assert!(ready(&deployment, 2).await.contains("peers"));
}

/// Runs the operators' client against instance 0; returns what it printed.
fn operate(deployment: &Deployment, line: &str) -> String {
    let mut command = Command::new(azuregate());
    command.args(line.split(' ')).arg("--at").arg(deployment.operators(0).to_string());
    let output = command.output().unwrap();
    assert!(output.status.success(), "{line}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

// Nearness decides, until the operator shifts everything to one zone that no
// instance is near to, a quarter of all requests a second. Counted at the callers,
// no second sees more than that more than the one before, give or take the two
// requests by which each instance may be off, and in the end all go there.
#[tokio::test]
async fn a_shift_moves_requests_within_its_cap() {
    const CAP: f64 = 0.25;
    let deployment = Deployment::start("shift").await;
    let policy = operate(&deployment, "policy get --service starter-desk --output json");
    let mut policy: serde_json::Value = serde_json::from_str(&policy).unwrap();
    policy["shift_delay_ms"] = json!(1_000);
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("shift-policy.json");
    std::fs::write(&file, policy.to_string()).unwrap();
    operate(&deployment, &format!("policy set --file {} --based-on 1", file.display()));
    let goal = "--to-share-ppm varna-b=1000000 --cap-ppm 250000 --window-ms 1000";
    operate(&deployment, &format!("shift start --service starter-desk {goal}"));
    let goal = deployment.example.backends(&deployment.example.services[0])[5].id.clone();
    let start = Instant::now();
    let mut seen = Vec::new();
    while seen.iter().rev().take_while(|(_, there)| *there).count() < 100 {
        assert!(start.elapsed() < PATIENCE, "it never ends");
        let request = Request::get("/hello").body(Full::<Bytes>::default()).unwrap();
        let answer = deployment.send(seen.len() % 3, request).await;
        assert_eq!(answer.status(), 200);
        let there = answer.body().starts_with(goal.as_str().as_bytes());
        seen.push((start.elapsed().as_millis() as u64, there));
    }
    let share = |from_ms: u64| {
        let window = seen.iter().filter(|(at_ms, _)| (from_ms..from_ms + 1_000).contains(at_ms));
        let (all, there) = (window.clone().count(), window.filter(|(_, there)| *there).count());
        (there as f64 / all.max(1) as f64, all)
    };
    let end_ms = seen.last().unwrap().0;
    assert!(share(0).0 < 0.5 && end_ms > 3_000, "it takes its time");
    for from_ms in (0..end_ms.saturating_sub(2_000)).step_by(100) {
        let ((before, count), (after, next)) = (share(from_ms), share(from_ms + 1_000));
        let rounding = 2.0 * 3.0 * 2.0 / count.min(next).max(1) as f64;
        assert!(after - before <= CAP + rounding, "{before} then {after} at {from_ms} ms");
    }
}

// The platform is down. One server says by itself that it leaves: it closes its
// connections. After some requests through one instance, no instance sends it
// anything.
#[tokio::test]
async fn a_leaving_server_gets_no_new_work_while_the_platform_is_down() {
    let deployment = Deployment::start("leaving").await;
    platform_down(&deployment).await;
    let start = Instant::now();
    behave(&deployment, 0, json!({ "service_ms": 5, "leaving": true })).await;
    let mut quiet = 0;
    let mut before = ran_at(&deployment, 0).await;
    while quiet < 60 {
        assert!(start.elapsed() < PATIENCE, "it still gets work");
        for index in 0..3 {
            assert_eq!(read(&deployment, index).await, 200);
        }
        let ran = ran_at(&deployment, 0).await;
        quiet = if ran == before { quiet + 1 } else { 0 };
        before = ran;
    }
    assert!(before > 0, "it never got any");
}

/// Sends a head and then a body in pieces; returns the whole answer.
async fn upload(deployment: &Deployment, pieces: usize, pause: Duration) -> String {
    let mut stream = TcpStream::connect(deployment.traffic(0)).await.unwrap();
    let length = pieces * 100;
    let head =
        format!("POST /photos HTTP/1.1\r\nHost: starter-desk\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..pieces {
        time::sleep(pause).await;
        stream.write_all(&[b'x'; 100]).await.unwrap();
    }
    answer(&mut stream).await
}

/// Reads what comes until the other end closes.
async fn answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = time::timeout(PATIENCE, stream.read_to_string(&mut text)).await;
    assert!(read.is_ok(), "not closed after: {text}");
    text
}

// SIGTERM comes while an upload, a slow request and a kept connection are open.
// The others stop naming the instance; the upload and the slow request get their
// whole answers, long after the port has closed; the answer on the kept
// connection says that it is the last; the process exits with 0.
#[tokio::test]
async fn a_planned_stop_cuts_nothing_off() {
    let longer = |example: &mut Example| example.stop_delay_ms = 1_500;
    let mut deployment = Deployment::start_with("planned_stop", longer).await;
    let mut kept = TcpStream::connect(deployment.traffic(0)).await.unwrap();
    let get = b"GET /hello HTTP/1.1\r\nHost: starter-desk\r\n\r\n";
    kept.write_all(get).await.unwrap();
    let mut first = [0; 4096];
    let length = kept.read(&mut first).await.unwrap();
    assert!(!String::from_utf8_lossy(&first[..length]).contains("close"));
    for index in 0..6 {
        behave(&deployment, index, json!({ "service_ms": 2_000 })).await;
    }
    let slow = read(&deployment, 0);
    let sent = upload(&deployment, 20, Duration::from_millis(100));
    let stop = async {
        time::sleep(Duration::from_millis(300)).await;
        signal("-TERM", &deployment.entries[0]);
        until("stopping", || async { ready(&deployment, 0).await.contains("stopping") }).await;
        let get = b"GET /v1/entries?service=starter-desk HTTP/1.1\r\nHost: x\r\n\r\n";
        kept.write_all(get).await.unwrap();
        answer(&mut kept).await
    };
    let away = async {
        time::sleep(Duration::from_millis(300)).await;
        until("no longer named", || async { !is_named(&deployment, 1, 0).await }).await;
        assert!(ready(&deployment, 0).await.contains("stopping"), "named to its end");
    };
    let (slow, sent, last, ()) = tokio::join!(slow, sent, stop, away);
    assert_eq!(slow, 200);
    assert!(sent.starts_with("HTTP/1.1 200") && sent.contains("after 2000 bytes"), "{sent}");
    assert!(last.starts_with("HTTP/1.1 200") && last.contains("connection: close"), "{last}");
    let exit = deployment.entries[0].wait().unwrap();
    assert!(exit.success(), "{exit}");
}

// The operator has waited long enough and signals again: the process ends at
// once, with a failure.
#[tokio::test]
async fn a_second_signal_ends_at_once() {
    let mut deployment = Deployment::start("second_signal").await;
    for index in 0..6 {
        behave(&deployment, index, json!({ "service_ms": 30_000 })).await;
    }
    let mut slow = TcpStream::connect(deployment.traffic(0)).await.unwrap();
    slow.write_all(b"GET /hello HTTP/1.1\r\nHost: starter-desk\r\n\r\n").await.unwrap();
    time::sleep(Duration::from_millis(200)).await;
    signal("-TERM", &deployment.entries[0]);
    time::sleep(Duration::from_millis(500)).await;
    assert!(deployment.entries[0].try_wait().unwrap().is_none(), "a request is in progress");
    signal("-TERM", &deployment.entries[0]);
    let start = Instant::now();
    let exit = loop {
        if let Some(exit) = deployment.entries[0].try_wait().unwrap() {
            break exit;
        }
        assert!(start.elapsed() < PATIENCE, "it never ends");
        time::sleep(Duration::from_millis(20)).await;
    };
    assert!(!exit.success());
}
