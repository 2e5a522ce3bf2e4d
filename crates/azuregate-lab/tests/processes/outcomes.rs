//! Orders with a key, while processes die or are paused and the platform fails.

use std::{
    process::{Child, Command},
    time::{Duration, Instant},
};

use azuregate_core::entries::Entries;
use azuregate_lab::client;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle, time};

use crate::deployment::Deployment;

/// How long anything may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

fn order(home: Option<&str>, timeout_ms: u64) -> Request<Full<Bytes>> {
    let mut builder = Request::post("/orders")
        .header("host", "starter-desk")
        .header("idempotency-key", "k1")
        .header("azuregate-request-id", "o1")
        .header("azuregate-timeout-ms", timeout_ms);
    if let Some(home) = home {
        builder = builder.header("azuregate-home", home);
    }
    builder.body(Full::from(Bytes::from_static(b"one starter"))).unwrap()
}

fn told(answer: &Response<Bytes>) -> (u16, &str) {
    let outcome = answer.headers().get("azuregate-outcome");
    (answer.status().as_u16(), outcome.map_or("-", |outcome| outcome.to_str().unwrap()))
}

pub(crate) fn signal(name: &str, child: &Child) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
}

async fn platform(deployment: &Deployment, faults: serde_json::Value) {
    let addr = deployment.example.platform_addr;
    assert!(client::post_json(addr, "/lab/faults", &faults).await.unwrap().status().is_success());
}

async fn platform_writes(deployment: &Deployment) -> u64 {
    let answer = client::get(deployment.example.platform_addr, "/lab/counts").await.unwrap();
    let counts: serde_json::Value = serde_json::from_slice(answer.body()).unwrap();
    counts["writes"].as_u64().unwrap()
}

async fn backends(deployment: &Deployment, behaviour: serde_json::Value) {
    for backend in deployment.example.backends(&deployment.example.services[0]) {
        client::post_json(backend.addr, "/lab/behaviour", &behaviour).await.unwrap();
    }
}

/// Sends an order whose caller may lose its answer.
fn send(
    deployment: &Deployment,
    index: usize,
    order: Request<Full<Bytes>>,
) -> JoinHandle<Option<Response<Bytes>>> {
    let addr = deployment.traffic(index);
    tokio::spawn(async move { client::call(addr, order).await.ok() })
}

async fn wait_for_run(deployment: &Deployment, first: &mut JoinHandle<Option<Response<Bytes>>>) {
    let start = Instant::now();
    while deployment.runs("o1").await < 1 {
        if first.is_finished() {
            panic!("the order did not run and was answered {:?}", first.await);
        }
        assert!(start.elapsed() < PATIENCE, "the order never ran");
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// The home that one entry instance names for another, once they have met.
async fn home_of(deployment: &Deployment, index: usize, asked: usize) -> String {
    let path = format!("/v1/entries?service={}", deployment.example.services[0].name);
    let id = &deployment.example.entries[index].id;
    let start = Instant::now();
    loop {
        let answer = client::get(deployment.traffic(asked), &path).await.unwrap();
        let entries: Entries = serde_json::from_slice(answer.body()).unwrap();
        let entry = entries.entries.into_iter().find(|entry| entry.id == *id);
        if let Some(home) = entry.and_then(|entry| entry.home) {
            return home;
        }
        assert!(start.elapsed() < PATIENCE, "the home of {id} was never named");
        time::sleep(Duration::from_millis(50)).await;
    }
}

// The caller's order runs at a slow backend server when its entry instance is
// killed. The caller sends it again to another instance, which finds the claim
// and cannot know: it must say so, and never run the order again.
#[tokio::test]
async fn an_order_whose_owner_was_killed_is_not_run_again() {
    let mut deployment = Deployment::start("owner_killed").await;
    backends(&deployment, json!({ "service_ms": 2_000 })).await;
    let mut first = send(&deployment, 0, order(None, 10_000));
    wait_for_run(&deployment, &mut first).await;
    signal("-KILL", &deployment.entries[0]);
    deployment.entries[0].wait().unwrap();
    assert!(first.await.unwrap().is_none(), "a killed instance answered");
    for index in [1, 2] {
        let again = deployment.send(index, order(None, 10_000)).await;
        assert_eq!(told(&again), (409, "unknown"));
    }
    assert_eq!(deployment.runs("o1").await, 1);
}

// The caller of an order loses its connection, and then the entry instance is told
// to stop. The order is in progress though nobody waits for it: the instance must
// finish it and keep its answer, which the caller gets from another instance.
#[tokio::test]
async fn a_planned_stop_finishes_orders_whose_callers_have_left() {
    let mut deployment = Deployment::start("stop_with_orders").await;
    backends(&deployment, json!({ "service_ms": 1_500 })).await;
    let mut caller = TcpStream::connect(deployment.traffic(0)).await.unwrap();
    let order_in_bytes = "POST /orders HTTP/1.1\r\nhost: starter-desk\r\n\
        idempotency-key: k1\r\nazuregate-request-id: o1\r\ncontent-length: 11\r\n\r\none starter";
    caller.write_all(order_in_bytes.as_bytes()).await.unwrap();
    let mut waiting = tokio::spawn(std::future::pending());
    wait_for_run(&deployment, &mut waiting).await;
    drop(caller);
    signal("-TERM", &deployment.entries[0]);
    assert!(deployment.entries[0].wait().unwrap().success());
    let again = deployment.send(1, order(None, 10_000)).await;
    assert_eq!(told(&again), (200, "-"), "{again:?}");
    assert_eq!(deployment.runs("o1").await, 1);
}

// The entry instance is paused while the platform takes its claim, and wakes
// long past the caller's deadline. Meanwhile the caller tried another instance.
// The woken owner holds a good claim, but must not send: its caller has left.
#[tokio::test]
async fn an_owner_that_wakes_past_its_deadline_sends_nothing() {
    let deployment = Deployment::start("owner_paused").await;
    platform(&deployment, json!({ "slow_ms": 400 })).await;
    let first = send(&deployment, 0, order(None, 900));
    time::sleep(Duration::from_millis(150)).await;
    signal("-STOP", &deployment.entries[0]);
    time::sleep(Duration::from_millis(1_500)).await;
    let meanwhile = deployment.send(1, order(None, 5_000)).await;
    assert_eq!(told(&meanwhile), (409, "unknown"), "the claim of the paused owner stands");
    signal("-CONT", &deployment.entries[0]);
    if let Some(answer) = first.await.unwrap() {
        assert_ne!(told(&answer).1, "-", "the order ran past its deadline");
    }
    assert_eq!(deployment.runs("o1").await, 0);
    // Nothing ran, so the claim is given up and the same key works in the end.
    platform(&deployment, json!({})).await;
    let start = Instant::now();
    while told(&deployment.send(1, order(None, 5_000)).await) != (200, "-") {
        assert!(start.elapsed() < PATIENCE, "the claim was never given up");
        time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(deployment.runs("o1").await, 1);
}

// The platform takes the claim, but its answer is lost on the way back, twice.
// The owner must find its own claim there and run the order, once.
#[tokio::test]
async fn an_order_runs_once_when_the_platform_loses_its_answers() {
    let deployment = Deployment::start("answers_lost").await;
    platform(&deployment, json!({ "lose_answers": 2 })).await;
    let first = deployment.send(0, order(None, 10_000)).await;
    assert_eq!(told(&first), (200, "-"), "{first:?}");
    let again = deployment.send(1, order(None, 10_000)).await;
    assert_eq!(told(&again), (200, "-"));
    assert_eq!(first.body(), again.body());
    assert_eq!(deployment.runs("o1").await, 1);
}

// The platform is down. An order that names its home still runs, once, though
// it is sent to another instance first. Then the home is killed, and nobody may
// run the order any more.
#[tokio::test]
async fn an_order_at_its_home_runs_once_while_the_platform_is_down() {
    let mut deployment = Deployment::start("home_form").await;
    let home = home_of(&deployment, 0, 1).await;
    let writes = platform_writes(&deployment).await;
    platform(&deployment, json!({ "down": true })).await;
    let row_form = deployment.send(0, order(None, 10_000)).await;
    assert_eq!(told(&row_form), (503, "unknown"));
    let first = deployment.send(1, order(Some(&home), 10_000)).await;
    assert_eq!(told(&first), (200, "-"), "{first:?}");
    let again = deployment.send(0, order(Some(&home), 10_000)).await;
    assert_eq!(told(&again), (200, "-"));
    assert_eq!(first.body(), again.body());
    signal("-KILL", &deployment.entries[0]);
    deployment.entries[0].wait().unwrap();
    let gone = deployment.send(1, order(Some(&home), 10_000)).await;
    assert_eq!(told(&gone).1, "unknown");
    assert_eq!(deployment.runs("o1").await, 1);
    assert_eq!(platform_writes(&deployment).await, writes);
}
