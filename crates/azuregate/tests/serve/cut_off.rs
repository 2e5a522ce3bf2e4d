//! Instances that are cut off from all backend servers, and from nothing else.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use azuregate::serve::{Connector, TcpConnector};
use azuregate_platform::fakes::Behaviour;
use socket2::{SockRef, Socket};
use tokio::{net::TcpStream, time};

use crate::cluster::{Instance, TestCluster, eventually, get, get_request, post_request};

/// The contact bound of the settings fixture: the time from which requests must be served.
const CONTACT: Duration = Duration::from_secs(1);
/// The contact bound of the platform's example, within which a cut must be noticed.
const PLATFORM_CONTACT: Duration = Duration::from_secs(3);
/// Unacknowledged data breaks a connection after this time.
const UNACKED_DATA_TIMEOUT: Duration = Duration::from_millis(350);
const SERVERS: usize = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The links between one instance and all backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Links {
    Up,
    /// Packets are lost.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

const CUTS: [Links; 3] = [Links::Hang, Links::Reset, Links::RefuseNew];

/// The switch of an instance's links.
#[derive(Clone)]
struct Switch {
    links: Arc<Mutex<Links>>,
    open: Arc<Mutex<Vec<Socket>>>,
    connector: TcpConnector,
}

impl Switch {
    fn new(connector: TcpConnector) -> Switch {
        Switch { links: Arc::new(Mutex::new(Links::Up)), open: Arc::default(), connector }
    }

    async fn set(&self, links: Links) {
        *self.links.lock().unwrap() = links;
        if links == Links::Hang {
            time::sleep(UNACKED_DATA_TIMEOUT).await;
        }
        if matches!(links, Links::Hang | Links::Reset) {
            for socket in self.open.lock().unwrap().drain(..) {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

#[async_trait]
impl Connector for Switch {
    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let links = *self.links.lock().unwrap();
        match links {
            Links::Up => {
                let stream = self.connector.connect(addr).await?;
                self.open.lock().unwrap().push(SockRef::from(&stream).try_clone()?);
                Ok(stream)
            }
            Links::Hang => std::future::pending().await,
            Links::Reset | Links::RefuseNew => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }
}

/// A cluster with instances in the given zones, and the switches of their links.
async fn start(zones: &[&str]) -> (TestCluster, Vec<Instance>, Vec<Switch>) {
    let cluster = TestCluster::start(SERVERS).await;
    let (mut instances, mut switches) = (Vec::new(), Vec::new());
    for (number, zone) in (1..).zip(zones) {
        let text = cluster
            .settings_text(number)
            .replace("self.zone=zone-a", &format!("self.zone={zone}"))
            .replace("retryBudgetRatio=1000", "retryBudgetRatio=0.2");
        let ip = format!("{}.{number}", cluster.network).parse().unwrap();
        let switch = Switch::new(TcpConnector { ip });
        let connector = Box::new(switch.clone());
        let instance = cluster.start_instance_with_connector(number, &text, connector);
        eventually("the instance is ready", async || instance.readiness().await == 200).await;
        instances.push(instance);
        switches.push(switch);
    }
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    (cluster, instances, switches)
}

/// What happened to requests at one instance.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    /// Statuses of the others, 0 for a closed connection.
    failed: Vec<u16>,
}

/// Sends reads and writes to an instance for a time, each on a connection of its own.
async fn send_for(instance: &Instance, name: &str, duration: Duration) -> Counts {
    let start = Instant::now();
    let mut counts = Counts::default();
    for number in 0.. {
        if start.elapsed() > duration {
            break;
        }
        let id = format!("{name}{number}");
        let request = match number % 3 {
            0 => post_request("/write/x", &id, "an order"),
            _ => get_request("/read/x", &id),
        };
        let request = request.replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: k{number}"));
        let response = instance.send(&request).await;
        counts.sent += 1;
        match response {
            Some(response) if response.status == 200 => {
                assert_eq!(response.body, format!("answer to {id}"));
                counts.served += 1;
            }
            other => counts.failed.push(other.map_or(0, |response| response.status)),
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
    counts
}

/// Returns the ids that servers executed more than once.
fn repeated_writes(cluster: &TestCluster) -> Vec<String> {
    let received = cluster.backends.iter().flat_map(|backend| backend.received());
    let writes = received.filter(|r| r.is_executed && r.method_and_path.starts_with("POST"));
    let mut ids: Vec<String> = writes.map(|request| request.id).collect();
    ids.sort();
    ids.chunk_by(|a, b| a == b).filter(|same| same.len() > 1).map(|same| same[0].clone()).collect()
}

async fn metric(instance: &Instance, name: &str) -> f64 {
    let text = get(instance.metrics_addr, "/metrics").await.map_or_else(String::new, |r| r.body);
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok()).unwrap_or_default()
}

/// Guards against an instance that refuses all requests while other instances reach the servers.
#[tokio::test]
async fn requests_at_an_instance_without_links_to_servers_are_served() {
    for cut in CUTS {
        let (cluster, instances, switches) = start(&["zone-a", "zone-a", "zone-b"]).await;
        send_for(&instances[0], "a", Duration::from_millis(500)).await;
        switches[0].set(cut).await;
        send_for(&instances[0], "b", CONTACT).await;
        let counts = send_for(&instances[0], "c", Duration::from_secs(2)).await;
        eprintln!("{cut:?}: {counts:?}");
        assert!(counts.served >= counts.sent * 9 / 10, "{cut:?}: {counts:?}");
        assert_eq!(repeated_writes(&cluster), Vec::<String>::new(), "{cut:?}");
    }
}

/// Returns the time until an instance that has requests considers `count` services unreachable.
async fn time_until_unreachable(instance: &Instance, count: f64) -> Duration {
    let start = Instant::now();
    let noticed = async {
        while metric(instance, "azuregate_unreachable_services").await != count
            && start.elapsed() < PLATFORM_CONTACT
        {
            time::sleep(Duration::from_millis(5)).await;
        }
        start.elapsed()
    };
    let (_, elapsed) = tokio::join!(send_for(instance, "n", PLATFORM_CONTACT), noticed);
    elapsed
}

/// Guards against a cut, or its end, that is noticed too late for the contact bound.
#[tokio::test]
async fn cuts_are_noticed_within_the_contact_bound() {
    // While open connections live on, they are used.
    for cut in [Links::Hang, Links::Reset] {
        let (_cluster, instances, switches) = start(&["zone-a", "zone-a"]).await;
        send_for(&instances[0], "a", Duration::from_millis(500)).await;
        let set = async { switches[0].set(cut).await };
        let (down, ()) = tokio::join!(time_until_unreachable(&instances[0], 1.0), set);
        switches[0].set(Links::Up).await;
        let up = time_until_unreachable(&instances[0], 0.0).await;
        eprintln!("{cut:?}: noticed after {down:?}, back after {up:?}");
        assert!(down.max(up) < PLATFORM_CONTACT, "{cut:?}: {down:?}, {up:?}");
    }
}

/// Guards against clients of a zone that has no instance with links to servers.
#[tokio::test]
async fn requests_are_served_while_a_zone_has_no_links_to_servers() {
    let (_cluster, instances, switches) = start(&["zone-a", "zone-a", "zone-b", "zone-c"]).await;
    for switch in &switches[..2] {
        switch.set(Links::Reset).await;
    }
    send_for(&instances[0], "b", CONTACT / 2).await;
    send_for(&instances[1], "c", CONTACT / 2).await;
    for instance in &instances[..2] {
        let counts = send_for(instance, "d", Duration::from_secs(1)).await;
        assert!(counts.served >= counts.sent * 9 / 10, "{counts:?}");
    }
    let named = instances[2].lookup("zone-a", "region-1").await;
    assert_eq!(named, [instances[2].traffic_addr], "instances with links are named");
}

/// Guards against an instance that sends its requests elsewhere although its links are back.
#[tokio::test]
async fn instance_uses_its_links_again_when_they_are_back() {
    let (_cluster, instances, switches) = start(&["zone-a", "zone-a"]).await;
    for round in ["a", "b"] {
        switches[0].set(Links::Reset).await;
        send_for(&instances[0], round, CONTACT).await;
        switches[0].set(Links::Up).await;
        time::sleep(CONTACT).await;
        let before = metric(&instances[0], "azuregate_forwarded_requests_total").await;
        assert!(before > 0.0, "requests are forwarded while links are down");
        let counts = send_for(&instances[0], &format!("{round}-later-"), CONTACT).await;
        assert_eq!(counts.served, counts.sent, "{counts:?}");
        let after = metric(&instances[0], "azuregate_forwarded_requests_total").await;
        assert_eq!(after, before, "requests that were forwarded");
        eventually("lookups name both", async || {
            instances[1].lookup("zone-a", "region-1").await.len() == 2
        })
        .await;
    }
}

/// Guards against an instance that does not start, or gets forwarded requests, without a port for
/// them.
#[tokio::test]
async fn instance_with_one_internal_port_takes_no_forwarded_requests() {
    let (cluster, instances, switches) = start(&["zone-a"]).await;
    let one_port = |text: String| text.replace(",18171", ",18170");
    let other = cluster.start_instance_with(2, one_port);
    eventually("the instance is ready", async || other.readiness().await == 200).await;
    time::sleep(CONTACT).await;
    switches[0].set(Links::Reset).await;
    send_for(&instances[0], "a", CONTACT).await;
    let counts = send_for(&instances[0], "b", CONTACT / 2).await;
    assert!(counts.failed.iter().all(|&status| status == 503), "{counts:?}");
    assert_eq!(counts.served, 0);
    let response = other.send(&get_request("/read/x", "c")).await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

/// Guards against requests that instances send to each other while all servers are down, and that
/// wait instead of being refused.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_instances_lost_the_servers() {
    let (cluster, instances, switches) = start(&["zone-a", "zone-a", "zone-b"]).await;
    for switch in &switches {
        switch.set(Links::Reset).await;
    }
    for instance in &instances {
        send_for(instance, "a", CONTACT / 2).await;
    }
    for instance in &instances {
        let start = Instant::now();
        let counts = send_for(instance, "b", CONTACT / 2).await;
        assert!(counts.failed.iter().all(|&status| status == 503), "{counts:?}");
        assert_eq!(counts.failed.len(), counts.sent);
        let each = start.elapsed() / u32::try_from(counts.sent).unwrap();
        assert!(each < REQUEST_INTERVAL * 3, "{each:?} for each refusal");
        assert!(!instance.lookup("zone-a", "region-1").await.is_empty(), "lookups are answered");
        assert_eq!(instance.readiness().await, 200);
    }
    assert_eq!(repeated_writes(&cluster), Vec::<String>::new());
}

/// Guards against the crash of one server, or of most, being taken for a cut.
#[tokio::test]
async fn crashed_servers_are_told_from_a_cut() {
    let (cluster, instances, _switches) = start(&["zone-a", "zone-a"]).await;
    for server in &cluster.backends[1..] {
        server.set_crash_downtime(Duration::from_secs(60));
        server.crash();
    }
    let counts = send_for(&instances[0], "a", CONTACT * 2).await;
    assert!(counts.served > counts.sent / 2, "{counts:?}");
    assert_eq!(metric(&instances[0], "azuregate_forwarded_requests_total").await, 0.0);
    assert_eq!(instances[1].lookup("zone-a", "region-1").await.len(), 2);
}

/// Guards against crashes that a cut-off instance reports although only its own links broke.
#[tokio::test]
async fn broken_links_are_not_reported_as_crashes() {
    let (cluster, instances, switches) = start(&["zone-a", "zone-a"]).await;
    let slow = Behaviour::Delay(Duration::from_millis(400));
    cluster.backends.iter().for_each(|server| server.set(slow.clone()));
    let send = async |number: usize| {
        let request = get_request("/read/popular", &format!("p{number}"));
        let object = format!("X-Affinity-Key: k{number}");
        instances[0].send(&request.replace("X-Affinity-Key: 17", &object)).await
    };
    let cut = async {
        time::sleep(Duration::from_millis(200)).await;
        switches[0].set(Links::Reset).await;
    };
    tokio::join!(futures_util::future::join_all((0..12).map(send)), cut);
    time::sleep(CONTACT).await;
    for instance in &instances {
        assert_eq!(metric(instance, "azuregate_backend_crashes_total").await, 0.0);
    }
    let response = instances[1].send(&get_request("/read/popular", "p-last")).await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

/// Guards against servers that are taken for crashed since a second cut began after the links had been
/// found up, and before the server was probed again.
#[tokio::test]
async fn second_cut_is_not_reported_as_crashes() {
    let (cluster, instances, switches) = start(&["zone-a", "zone-a"]).await;
    let slow = Behaviour::Delay(Duration::from_millis(400));
    cluster.backends.iter().for_each(|server| server.set(slow.clone()));
    let sends = (0..12).map(|number| {
        let request = get_request("/read/popular", &format!("p{number}"));
        let object = format!("X-Affinity-Key: k{number}");
        let instance = &instances[0];
        async move { instance.send(&request.replace("X-Affinity-Key: 17", &object)).await }
    });
    let cuts = async {
        time::sleep(Duration::from_millis(200)).await;
        switches[0].set(Links::Reset).await;
        time::sleep(CONTACT / 2).await;
        let unreachable = "azuregate_unreachable_services";
        assert_eq!(metric(&instances[0], unreachable).await, 1.0);
        switches[0].set(Links::Up).await;
        while metric(&instances[0], unreachable).await > 0.0 {
            time::sleep(Duration::from_millis(1)).await;
        }
        switches[0].set(Links::RefuseNew).await;
    };
    tokio::join!(futures_util::future::join_all(sends), cuts);
    time::sleep(CONTACT).await;
    assert_eq!(metric(&instances[0], "azuregate_backend_crashes_total").await, 0.0);
}
