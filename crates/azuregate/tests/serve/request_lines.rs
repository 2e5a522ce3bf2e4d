//! Requests of which only the log of a process tells what became of them.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time;

use crate::{
    cluster::{Client, TestCluster, eventually, get_request, post_request},
    process::Process,
};

/// Time within which a process that goes on has read what has arrived.
const SETTLING: Duration = Duration::from_millis(200);

/// Guards against requests without a line that have been read when their clients have already left.
#[tokio::test]
async fn request_of_a_client_that_has_left_has_a_line() {
    let cluster = TestCluster::start(1).await;
    let process = Process::start(&cluster, 1).await;
    let mut kept = Client::connect(process.traffic_addr).await;
    kept.send(&post_request("/write/x", "first", "body")).await;
    assert_eq!(kept.response().await.unwrap().status, 200);
    process.signal(Signal::STOP);
    let mut new = Client::connect(process.traffic_addr).await;
    new.send(&post_request("/write/x", "new", "body")).await;
    kept.send(&post_request("/write/x", "kept", "body")).await;
    let mut pipelined = Client::connect(process.traffic_addr).await;
    for id in ["front", "behind"] {
        pipelined.send(&get_request("/read/x", id)).await;
    }
    let mut chunked = Client::connect(process.traffic_addr).await;
    let head = post_request("/write/x", "chunked", "")
        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
    chunked.send(&format!("{head}4\r\nbody\r\n0\r\n\r\n")).await;
    drop((new, kept, pipelined, chunked));
    process.signal(Signal::CONT);
    time::sleep(SETTLING).await;
    for id in ["new", "kept", "front", "behind", "chunked"] {
        let line = process.request_line(id);
        assert!(line.is_some_and(|line| line.contains("code=cancelled")), "{id} has no line");
    }
}

/// Guards against passing on a request that a freeze has left too little time for, and against a refusal
/// or a cut at a stop that the log does not explain.
#[tokio::test]
async fn request_at_a_stop_has_a_line_that_explains_it() {
    let mut cluster = TestCluster::start(1).await;
    cluster.update_config(|config| config.timeout_ms = 9_000);
    let mut process = Process::start(&cluster, 1).await;
    let work = |id: &str, work_ms: u64| {
        let text = post_request(&format!("/write/x?work_ms={work_ms}"), id, "body");
        text.replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 9000")
    };
    let send = async |text: &str| {
        let mut client = Client::connect(process.traffic_addr).await;
        client.send(text).await;
        client
    };
    let mut known = send(&work("known", 900)).await;
    assert_eq!(known.response().await.unwrap().status, 200);
    process.signal(Signal::TERM);
    // Nothing tells that it takes longer than the others.
    let mut cut = send(&work("cut", 8_000)).await;
    time::sleep(Duration::from_millis(2_000)).await;
    process.signal(Signal::STOP);
    let mut frozen = send(&work("frozen", 900)).await;
    time::sleep(Duration::from_millis(3_200)).await;
    process.signal(Signal::CONT);
    let response = frozen.response().await.unwrap();
    assert_eq!((response.status, cluster.request_count("frozen")), (503, 0));
    assert!(cut.response().await.is_none());
    eventually("the process has ended", async || process.has_exited()).await;
    for (id, parts) in [
        ("frozen", ["code=stopping", "basis=longest_ms:", "stopping_ms=5"]),
        ("cut", ["code=stopped", "backend=b0", "stopping_ms="]),
    ] {
        let line = process.request_line(id).unwrap();
        assert!(parts.iter().all(|part| line.contains(part)), "{line}");
    }
}
