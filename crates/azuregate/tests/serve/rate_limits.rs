//! Backend servers that limit the rate of their requests.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::{FakeBackend, ReceivedRequest};
use tokio::time;

use crate::cluster::{Instance, TestCluster, get_request};

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
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}
