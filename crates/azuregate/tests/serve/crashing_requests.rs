//! Requests that crash each backend server that executes them.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::{Behaviour, FakeBackend, ReceivedRequest, backend_row};
use tokio::time;

use crate::cluster::{
    Instance, PEER_PORT, SERVICE, TestCluster, eventually, get_request, post_request,
};

/// The contact bound of the settings fixture: the time within which instances learn of the
/// third crash.
const CONTACT: Duration = Duration::from_secs(1);
/// Servers that a request may crash before instances must recognize it.
const CRASHES: usize = 3;
/// How often such a request may still reach servers after that.
const MAX_RETRIES: usize = 3;
const SERVERS: usize = 14;

/// Time after which the row of a crashed server is removed.
const ROW_EXPIRY: Duration = Duration::from_secs(4);

/// Starts a cluster whose servers register again after each crash.
async fn start_cluster() -> TestCluster {
    start_cluster_with_downtime(None).await
}

/// As `start_cluster`, with servers that start again after this time.
async fn start_cluster_with_downtime(downtime: Option<Duration>) -> TestCluster {
    let cluster = TestCluster::start(SERVERS).await;
    for backend in cluster.backends.clone() {
        let store = cluster.store.clone();
        if let Some(downtime) = downtime {
            backend.set_crash_downtime(downtime);
        }
        tokio::spawn(async move {
            loop {
                let crashed_id = backend.restarted().await;
                store.put("servers", &backend.id(), row(&backend));
                let store = store.clone();
                tokio::spawn(async move {
                    time::sleep(ROW_EXPIRY).await;
                    store.remove("servers", &crashed_id);
                });
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
    let cases: [(&str, Request); 4] = [
        ("GET /read/crash-1", |id| get_request("/read/crash-1?q=2", id)),
        ("POST /upload/crash-1", |id| post_request("/upload/crash-1", id, &"x".repeat(40_000))),
        // The server crashes after the start of a long response.
        ("GET /read/crash-late", |id| get_request("/read/crash-late", id)),
        // Two pipelined requests.
        ("GET /read/crash-2", |id| {
            let second = get_request("/read/crash-2", &format!("{id}-second"));
            get_request("/read/crash-2", id) + &second
        }),
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

/// Guards against taking a server for alive that has crashed and is back under another id before
/// it is examined.
#[tokio::test]
async fn crash_of_a_server_that_is_back_at_once_is_recognized() {
    let cluster = start_cluster_with_downtime(Some(Duration::from_millis(10))).await;
    let instances = [cluster.start_ready_instance(1).await, cluster.start_ready_instance(2).await];
    time::sleep(Duration::from_secs(1)).await;
    let request = |id: &str| get_request("/read/crash-1", id);
    send_repeatedly(&instances, Duration::from_secs(4), request).await;
    let before = received(&cluster, "GET /read/crash-1").len();
    send_repeatedly(&instances, Duration::from_secs(1), request).await;
    let late = received(&cluster, "GET /read/crash-1").len() - before;
    assert_eq!(late, 0, "{before} before");
}

/// Guards against a request that crashes servers again because all instances that remembered it
/// have restarted at once.
#[tokio::test]
async fn quarantine_outlasts_a_restart_of_all_instances() {
    let cluster = start_cluster().await;
    let instances = [cluster.start_ready_instance(1).await, cluster.start_ready_instance(2).await];
    send_repeatedly(&instances, Duration::from_secs(2), |id| get_request("/read/crash-1", id))
        .await;
    eventually("the request is stored", async || !cluster.store.keys("quarantine").is_empty())
        .await;
    for instance in instances {
        instance.stopper.stop();
        instance.thread.join().unwrap();
    }
    let instance = cluster.start_ready_instance(3).await;
    time::sleep(Duration::from_millis(200)).await;
    let refused = instance.send(&get_request("/read/crash-1", "again")).await.unwrap();
    assert_eq!((refused.status, cluster.request_count("again")), (503, 0));
}

/// Guards against an instance that is cut off from all others, still reaches the store and
/// clients, and sends the request on.
#[tokio::test]
async fn instance_without_contact_to_others_learns_from_the_store() {
    let cluster = start_cluster().await;
    let instance = cluster.start_ready_instance(1).await;
    // Datagrams to another port reach nobody.
    let ports = |first| format!("network.internalPorts={first},{}", first + 1);
    let cut = cluster
        .start_instance_with(2, |text| text.replace(&ports(PEER_PORT), &ports(PEER_PORT + 2)));
    eventually("the instance is ready", async || cut.readiness().await == 200).await;
    send_repeatedly(&[instance], Duration::from_secs(2), |id| get_request("/read/crash-1", id))
        .await;
    time::sleep(CONTACT).await;
    let refused = cut.send(&get_request("/read/crash-1", "at-cut")).await.unwrap();
    assert_eq!((refused.status, cluster.request_count("at-cut")), (503, 0));
}

/// Guards against a quarantined request that is held or invites the client to come straight
/// back, and against refusing requests for the same path with another query, body or caller.
#[tokio::test]
async fn only_the_request_that_crashes_servers_is_refused() {
    let cluster = start_cluster().await;
    let instance = cluster.start_ready_instance(1).await;
    for number in 0..CRASHES {
        let _ = instance.send(&get_request("/read/crash-1", &format!("a{number}"))).await;
        time::sleep(Duration::from_millis(300)).await;
    }
    let start = Instant::now();
    let refused = instance.send(&get_request("/read/crash-1", "refused")).await.unwrap();
    assert_eq!(refused.status, 503);
    let retry_after_s: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after_s > 60.0, "{retry_after_s}");
    assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
    assert_eq!(cluster.request_count("refused"), 0);
    let caller =
        get_request("/read/crash-1", "caller").replace("X-Affinity", "Cookie: c=2\r\nX-Affinity");
    let others = [
        ("query", get_request("/read/crash-1?q=2", "query")),
        ("method", post_request("/read/crash-1", "method", "")),
        ("caller", caller),
        ("path", get_request("/read/x", "path")),
    ];
    for (id, request) in others {
        // Another object, since the servers of the first one are down.
        let request = request.replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: {id}"));
        let _ = instance.send(&request).await;
        assert!(cluster.request_count(id) > 0, "{id} was refused");
    }
}

/// Guards against taking a server that breaks connections for one that crashed: a request
/// that is never answered for this reason would be refused.
#[tokio::test]
async fn broken_connections_to_live_servers_quarantine_nothing() {
    for behaviour in [Behaviour::DropResponse, Behaviour::Truncate, Behaviour::Unsigned] {
        let cluster = TestCluster::start(SERVERS).await;
        let instance = cluster.start_ready_instance(1).await;
        cluster.backends.iter().for_each(|backend| backend.set(behaviour.clone()));
        for number in 0..8 {
            let id = format!("a{number}");
            let _ = instance.send(&get_request("/read/x", &id)).await;
            time::sleep(Duration::from_millis(250)).await;
            assert!(cluster.request_count(&id) > 0, "{behaviour:?}: {id} was refused");
        }
    }
}

/// Guards against refusing a request that was only in flight at servers that crash for other
/// reasons, and against counting servers that end after they have drained.
#[tokio::test]
async fn requests_beside_other_crashes_are_not_refused() {
    for is_draining in [false, true] {
        let cluster = start_cluster().await;
        let instance = cluster.start_ready_instance(1).await;
        let slow = Behaviour::Delay(Duration::from_millis(300));
        cluster.backends.iter().for_each(|backend| backend.set(slow.clone()));
        for number in 0..=CRASHES {
            let id = format!("a{number}");
            let request = get_request("/read/x", &id);
            let crash = async {
                time::sleep(Duration::from_millis(150)).await;
                let is_busy = |b: &&FakeBackend| b.received().iter().any(|r| r.id == id);
                let busy = cluster.backends.iter().find(is_busy).expect("the request has arrived");
                if is_draining {
                    let row = backend_row(SERVICE, busy.addr(), "zone-a", "draining");
                    cluster.store.put("servers", &busy.id(), row);
                    time::sleep(Duration::from_millis(100)).await;
                }
                busy.crash();
            };
            let (response, ()) = tokio::join!(instance.send(&request), crash);
            assert_eq!(response.map(|response| response.status), Some(200), "{id} {is_draining}");
            // Until the server is up again.
            time::sleep(Duration::from_millis(1_800)).await;
        }
    }
}
