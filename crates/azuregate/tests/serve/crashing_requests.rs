//! Requests that crash each backend server that executes them.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::{FakeBackend, ReceivedRequest, backend_row};
use tokio::time;

use crate::cluster::{Instance, SERVICE, TestCluster, get_request, post_request};

/// The contact bound of the settings fixture: the time within which instances learn of the
/// third crash.
const CONTACT: Duration = Duration::from_secs(1);
/// Servers that a request may crash before instances must recognize it.
const CRASHES: usize = 3;
/// How often such a request may still reach servers after that.
const MAX_RETRIES: usize = 3;
const SERVERS: usize = 14;

/// Starts a cluster whose servers register again after each crash.
async fn start_cluster() -> TestCluster {
    let cluster = TestCluster::start(SERVERS).await;
    for backend in cluster.backends.clone() {
        let store = cluster.store.clone();
        tokio::spawn(async move {
            loop {
                let crashed_id = backend.restarted().await;
                store.remove("servers", &crashed_id);
                store.put("servers", &backend.id(), row(&backend));
            }
        });
    }
    cluster
}

fn row(backend: &FakeBackend) -> Vec<u8> {
    backend_row(SERVICE, backend.addr(), "zone-a", "ready")
}

/// Returns the requests that reached servers and begin with `line`, in order.
fn received(cluster: &TestCluster, line: &str) -> Vec<ReceivedRequest> {
    let all = cluster.backends.iter().flat_map(FakeBackend::received);
    let mut received: Vec<_> = all.filter(|r| r.method_and_path.starts_with(line)).collect();
    received.sort_by_key(|request| request.received_at);
    received
}

/// Returns when the third server crashed.
fn third_crash(received: &[ReceivedRequest]) -> Option<Instant> {
    let mut crashes: Vec<Instant> = received.iter().filter_map(|r| r.crashed_at).collect();
    crashes.sort();
    crashes.get(CRASHES - 1).copied()
}

/// Sends a request at each instance in turn, under a new id each time, for `duration`.
async fn send_repeatedly(
    instances: &[Instance],
    duration: Duration,
    request: impl Fn(&str) -> String,
) {
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() > duration {
            return;
        }
        let id = format!("crash{number}");
        let _ = instances[number % instances.len()].send(&request(&id)).await;
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a request that is sent from one server to the next and crashes all of them,
/// since it comes back under new ids and at other instances.
#[tokio::test]
async fn request_that_crashes_servers_is_stopped_on_all_instances() {
    type Request = fn(&str) -> String;
    let cases: [(&str, Request); 2] = [
        ("GET /read/crash-1", |id| get_request("/read/crash-1?q=2", id)),
        ("POST /upload/crash-1", |id| post_request("/upload/crash-1", id, &"x".repeat(40_000))),
    ];
    for (line, request) in cases {
        let cluster = start_cluster().await;
        let mut instances = Vec::new();
        for number in 1..=3 {
            instances.push(cluster.start_ready_instance(number).await);
        }
        // Wait until instances know each other.
        time::sleep(Duration::from_secs(1)).await;
        send_repeatedly(&instances, Duration::from_secs(4), request).await;
        let received = received(&cluster, line);
        let deadline = third_crash(&received).expect("three servers crash") + CONTACT;
        let late = received.iter().filter(|request| request.received_at > deadline).count();
        assert!(
            late <= MAX_RETRIES,
            "{line} reached servers {late} more times, {} in all",
            received.len()
        );
    }
}
