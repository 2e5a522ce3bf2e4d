//! The whole path through separate processes.

use std::process::Command;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::deployment::{Deployment, azuregate};

#[tokio::test]
async fn a_request_is_served_end_to_end() {
    let deployment = Deployment::start("end_to_end").await;
    let request = Request::get("/hello").header("azuregate-request-id", "r1");
    let answer = deployment.send(0, request.body(Full::default()).unwrap()).await;
    assert_eq!(answer.status(), 200, "{:?}", answer.body());
    assert!(answer.headers().get("azuregate-outcome").is_none());
    assert_eq!(deployment.runs("r1").await, 1);
}

// The caller sends the same order twice, to two entry instances. The second
// finds the claim of the first with its answer, and gives that again.
#[tokio::test]
async fn a_keyed_order_runs_once_and_its_repeat_gets_the_same_answer() {
    let deployment = Deployment::start("keyed_order").await;
    let order = || {
        Request::post("/orders")
            .header("idempotency-key", "k1")
            .header("azuregate-request-id", "o1")
            .body(Full::from(Bytes::from_static(b"one starter")))
            .unwrap()
    };
    let first = deployment.send(0, order()).await;
    let second = deployment.send(1, order()).await;
    assert_eq!((first.status(), second.status()), (200.try_into().unwrap(), first.status()));
    assert_eq!(first.body(), second.body());
    assert_eq!(deployment.runs("o1").await, 1);
}

#[tokio::test]
async fn an_operator_reads_a_policy() {
    let deployment = Deployment::start("reads_a_policy").await;
    let output = Command::new(azuregate())
        .args(["policy", "get", "--service", "starter-desk", "--at"])
        .arg(deployment.operators(2).to_string())
        .output()
        .unwrap();
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("\"version\": 1"));
}
