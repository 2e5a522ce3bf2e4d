//! Backend servers that limit the rate of their requests.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::{FakeBackend, ReceivedRequest, backend_row};
use tokio::time;

use crate::cluster::{Instance, SERVICE, TestCluster, eventually, get, get_request, post_request};

/// The contact bound of the settings fixture: the time from which a limit binds.
const CONTACT: Duration = Duration::from_secs(1);
/// The limit holds over every span of this length.
const WINDOW: Duration = Duration::from_secs(4);
const SERVERS: usize = 3;
const INSTANCES: u8 = 4;

/// Returns how many requests a server may receive in one window.
fn max_received(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns when the requests reached a server, from `since` on.
fn arrivals(server: &FakeBackend, since: Instant) -> Vec<Instant> {
    let received = server.received();
    let times = received.iter().map(|request: &ReceivedRequest| request.received_at);
    times.filter(|at| *at >= since).collect()
}

/// Returns the most requests that reached a server in one window.
fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

async fn start_instances(cluster: &TestCluster) -> Vec<Instance> {
    let mut instances = Vec::new();
    for number in 1..=INSTANCES {
        instances.push(cluster.start_ready_instance(number).await);
    }
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    instances
}

/// Requests an object of its own each time, from all instances in turn, 50 times a second.
/// Returns the statuses.
async fn send_for(instances: &[Instance], name: &str, duration: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    for number in 0.. {
        if start.elapsed() > duration {
            break;
        }
        let id = format!("{name}{number}");
        let request = get_request("/read/x", &id)
            .replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: k{number}"));
        let response = instances[number % instances.len()].send(&request).await;
        statuses.push(response.map_or(0, |response| response.status));
        time::sleep(Duration::from_millis(20)).await;
    }
    statuses
}

/// Guards against sending a server more than the rate that it names, by all instances together.
#[tokio::test]
async fn servers_get_no_more_than_the_rate_that_they_name() {
    let cluster = TestCluster::start(SERVERS).await;
    let instances = start_instances(&cluster).await;
    let limited = &cluster.backends[0];
    limited.set_rate_limit(Some("3"));
    let named_at = Instant::now();
    let statuses = send_for(&instances, "a", CONTACT + WINDOW + WINDOW).await;
    let arrivals = arrivals(limited, named_at + CONTACT);
    let most = most_in_a_window(&arrivals);
    assert!(most <= max_received(3.0), "{most} requests in {WINDOW:?}");
    assert!(!arrivals.is_empty(), "the limit is not used");
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

/// Guards against a server that stays limited after it has named a limit for the last time, or
/// after a restart.
#[tokio::test]
async fn limit_ends_when_the_server_names_it_no_more() {
    for is_restarted in [false, true] {
        let cluster = TestCluster::start(SERVERS).await;
        let instances = start_instances(&cluster).await;
        let limited = &cluster.backends[0];
        limited.set_rate_limit(Some("3"));
        send_for(&instances, "before", Duration::from_secs(2)).await;
        match is_restarted {
            false => limited.set_rate_limit(None),
            true => {
                limited.crash();
                limited.restarted().await;
                let row = backend_row(SERVICE, limited.addr(), "zone-a", "ready");
                cluster.store.put("servers", &limited.id(), row);
            }
        }
        time::sleep(Duration::from_secs(1)).await;
        let ended_at = Instant::now();
        send_for(&instances, "after", Duration::from_secs(3)).await;
        let count = arrivals(limited, ended_at).len();
        assert!(count > 20, "restarted {is_restarted}: {count} requests in 3 s");
    }
}

/// Guards against an instance that has sent nothing to a server since it named a limit, and sends
/// as before until it is told by a response.
#[tokio::test]
async fn instance_learns_of_a_limit_from_others() {
    let cluster = TestCluster::start(1).await;
    let instances = start_instances(&cluster).await;
    cluster.backends[0].set_rate_limit(Some("0"));
    instances[0].send(&get_request("/read/x", "first")).await;
    eventually("all instances know the limit", async || {
        let mut known = Vec::new();
        for instance in &instances {
            let metrics = get(instance.metrics_addr, "/metrics").await.unwrap().body;
            known.push(metrics.contains("azuregate_limited_backends 1"));
        }
        known.iter().all(|known| *known)
    })
    .await;
    for (number, instance) in instances.iter().enumerate() {
        let id = format!("other{number}");
        let refused = instance.send(&get_request("/read/x", &id)).await.unwrap();
        assert_eq!((refused.status, cluster.request_count(&id)), (503, 0));
    }
}

/// Guards against holding a request that no server may get, against a refusal without the time to
/// come back, and against sending what was refused.
#[tokio::test]
async fn request_is_refused_at_once_when_all_servers_are_limited() {
    let cluster = TestCluster::start(SERVERS).await;
    let instances = start_instances(&cluster).await;
    cluster.backends.iter().for_each(|backend| backend.set_rate_limit(Some("0")));
    send_for(&instances, "tell", Duration::from_secs(2)).await;
    for method in ["GET", "POST"] {
        let id = format!("refused{method}");
        let request = match method {
            "GET" => get_request("/read/x", &id),
            _ => post_request("/write/x", &id, "order"),
        };
        let start = Instant::now();
        let refused = instances[0].send(&request).await.unwrap();
        assert_eq!((refused.status, cluster.request_count(&id)), (503, 0), "{method}");
        assert!(start.elapsed() < Duration::from_millis(200), "{method} {:?}", start.elapsed());
        let retry_after_s: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after_s > 0.0 && retry_after_s <= 1.0, "{method} {retry_after_s}");
    }
}

/// Guards against taking nonsense for a limit, or for the end of one, and against the limit that
/// another server names at the address of one that is gone.
#[tokio::test]
async fn nonsense_is_no_limit() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let limited = &cluster.backends[0];
    let is_limited = async || {
        let metrics = get(instance.metrics_addr, "/metrics").await.unwrap().body;
        metrics.contains("azuregate_limited_backends 1")
    };
    for text in ["-3", "many", "NaN", "inf", ""] {
        limited.set_rate_limit(Some(text));
        instance.send(&get_request("/read/x", &format!("bad{text}"))).await;
        assert!(!is_limited().await, "{text:?}");
    }
    limited.set_rate_limit(Some("2.5"));
    instance.send(&get_request("/read/x", "good")).await;
    assert!(is_limited().await);
    limited.set_rate_limit(Some("many"));
    time::sleep(Duration::from_millis(600)).await;
    let sent = instance.send(&get_request("/read/x", "bad")).await.unwrap();
    assert_eq!(sent.status, 200);
    assert!(is_limited().await, "ended by nonsense");
}

/// Guards against a limit that is left unused since the instances that have a part of it get no
/// requests, and against exceeding it when others send on their account.
#[tokio::test]
async fn instance_without_a_part_sends_on_the_account_of_others() {
    let cluster = TestCluster::start(1).await;
    let instances = start_instances(&cluster).await;
    let limited = &cluster.backends[0];
    limited.set_rate_limit(Some("5"));
    let named_at = Instant::now();
    for instance in &instances {
        let only = std::slice::from_ref(instance);
        send_for(only, &instance.traffic_addr.to_string(), Duration::from_secs(3)).await;
    }
    let arrivals = arrivals(limited, named_at + CONTACT);
    let most = most_in_a_window(&arrivals);
    assert!(most <= max_received(5.0), "{most} requests in {WINDOW:?}");
    // Half of five a second in 11 seconds.
    assert!(arrivals.len() >= 27, "{} requests", arrivals.len());
}
