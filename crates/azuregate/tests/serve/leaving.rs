//! Backend servers that say in their responses that they are leaving, while the store is away.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use azuregate_platform::fakes::{Behaviour, FakeBackend, StoreFault, backend_row};
use tokio::time;

use crate::{
    cluster::{Client, Instance, SERVICE, TestCluster, eventually, get, get_request, post_request},
    connectors::{CutConnector, SlowConnector, start_with},
    traffic::{request, send_for},
};

const SERVERS: usize = 3;
const LEAVING: &str = "Server-Leaving: 1";
/// Time in which requests that were sent before may arrive.
const IN_TRANSIT: Duration = Duration::from_millis(100);

/// Returns the requests that reached a server after it had said that it is leaving.
fn received_late(server: &FakeBackend) -> Vec<String> {
    let received = server.received();
    let Some(said_at) = received.iter().filter_map(|request| request.leaving_said_at).min() else {
        return vec!["it has not said so".to_owned()];
    };
    let late = received.into_iter().filter(|request| request.received_at > said_at + IN_TRANSIT);
    late.map(|request| request.id).collect()
}

/// Guards against sending requests to a server that has said that it is leaving, in a response of
/// whatever kind, and against refusing them while other servers have room.
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_new_requests() {
    for behaviour in [
        Behaviour::Respond,
        Behaviour::Reject,
        Behaviour::RejectWith(429),
        Behaviour::ServerError,
        Behaviour::Stream(Duration::from_millis(700)),
        Behaviour::CloseDelimited,
    ] {
        let cluster = TestCluster::start(SERVERS).await;
        let instance = cluster.start_ready_instance(1).await;
        let leaving = &cluster.backends[0];
        cluster.store.set_fault(StoreFault::ErrorStatus(503));
        leaving.set(behaviour.clone());
        leaving.set_headers(&[LEAVING]);
        let streamed = async {
            let mut statuses = Vec::new();
            for number in 0..12 {
                statuses.push(instance.send(&request("streamed", number)).await.map(|r| r.status));
            }
            statuses
        };
        let sent = send_for(&instance, "sent", Duration::from_secs(1));
        let (streamed, sent) = tokio::join!(streamed, sent);
        let late = received_late(leaving);
        assert!(late.is_empty(), "{behaviour:?}: {late:?}");
        let statuses = sent.into_iter().chain(streamed.into_iter().map(Option::unwrap_or_default));
        let failed: Vec<u16> = statuses.filter(|&status| status != 200).collect();
        // A write that the server failed is not sent again.
        let allowed = usize::from(behaviour == Behaviour::ServerError);
        assert!(failed.len() <= allowed, "{behaviour:?}: {failed:?}");
    }
}

/// Guards against a server that gets requests again since its row was updated, expired and returned or
/// read anew, and against one that gets none after a restart.
#[tokio::test]
async fn row_does_not_undo_that_a_server_is_leaving() {
    let cluster = TestCluster::start(SERVERS).await;
    let instance = cluster.start_ready_instance(1).await;
    let leaving = &cluster.backends[0];
    leaving.set_headers(&[LEAVING]);
    send_for(&instance, "before", Duration::from_millis(500)).await;
    let row = |zone| backend_row(SERVICE, leaving.addr(), zone, "ready");
    // Another zone is a change that is applied.
    cluster.store.put("servers", "b0", row("zone-b"));
    send_for(&instance, "updated", Duration::from_secs(1)).await;
    cluster.store.remove("servers", "b0");
    send_for(&instance, "removed", Duration::from_secs(1)).await;
    cluster.store.put("servers", "b0", row("zone-a"));
    send_for(&instance, "back", Duration::from_secs(1)).await;
    cluster.store.discard_history();
    send_for(&instance, "anew", Duration::from_secs(1)).await;
    assert_eq!(received_late(leaving), Vec::<String>::new());
    leaving.crash();
    leaving.restarted().await;
    cluster.store.remove("servers", "b0");
    cluster.store.put("servers", &leaving.id(), row("zone-a"));
    eventually("the new run is used", async || {
        send_for(&instance, "new", Duration::from_millis(200)).await;
        leaving.received().iter().any(|request| request.id.starts_with("new"))
    })
    .await;
}

/// Guards against requests that wait for a connection and are sent to a server that has said meanwhile
/// that it is leaving.
#[tokio::test]
async fn request_that_waits_for_a_connection_is_not_sent_to_a_leaving_server() {
    let delay = Duration::from_millis(150);
    let cluster = TestCluster::start(SERVERS).await;
    let instance =
        start_with(&cluster, 1, |connector| Box::new(SlowConnector { connector, delay })).await;
    let leaving = &cluster.backends[0];
    leaving.set_headers(&[LEAVING]);
    // The second requests are assigned to a server before the first ones reach it.
    let send = async |name: &str| {
        let requests = (1..9).filter(|number| number % 3 > 0).map(|n| request(name, n));
        let mut client = Client::connect(instance.traffic_addr).await;
        client.send(&requests.collect::<String>()).await;
        let mut statuses = Vec::new();
        for _ in 0..6 {
            statuses.push(client.response().await.map_or(0, |response| response.status));
        }
        statuses
    };
    let later = async {
        time::sleep(delay / 2).await;
        send("second").await
    };
    let (first, second) = tokio::join!(send("first"), later);
    let said_at = leaving.received().iter().filter_map(|r| r.leaving_said_at).min().unwrap();
    let received = leaving.received();
    let late = received.iter().filter(|request| request.received_at > said_at + delay / 4);
    let late: Vec<&str> = late.map(|request| request.id.as_str()).collect();
    assert!(late.is_empty(), "{late:?}");
    assert!(first.iter().chain(&second).all(|&status| status == 200), "{first:?} {second:?}");
}

/// Guards against an instance that passes on the responses of a leaving server through another
/// instance, and sends to that server itself when its links are back.
#[tokio::test]
async fn instance_learns_from_forwarded_responses_that_a_server_is_leaving() {
    let cluster = TestCluster::start(SERVERS).await;
    let is_cut = Arc::new(AtomicBool::new(true));
    let cut_off = start_with(&cluster, 1, |connector| {
        Box::new(CutConnector { connector, is_cut: Arc::clone(&is_cut) })
    })
    .await;
    let _other = cluster.start_ready_instance(2).await;
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    let leaving = &cluster.backends[0];
    leaving.set_headers(&[LEAVING]);
    send_for(&cut_off, "forwarded", Duration::from_secs(1)).await;
    is_cut.store(false, Ordering::Relaxed);
    eventually("the links are used again", async || {
        send_for(&cut_off, "own", Duration::from_millis(300)).await;
        let metrics = get(cut_off.metrics_addr, "/metrics").await.unwrap().body;
        metrics.contains("azuregate_unreachable_services 0")
    })
    .await;
    send_for(&cut_off, "later", Duration::from_secs(1)).await;
    assert_eq!(received_late(leaving), Vec::<String>::new());
}

/// Guards against taking the end of a server that has said that it is leaving for a crash, and refusing
/// the requests that were at it as requests that crash servers.
#[tokio::test]
async fn end_of_a_leaving_server_is_no_crash() {
    let cluster = TestCluster::start(SERVERS).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    for server in &cluster.backends[..2] {
        server.set_headers(&[LEAVING]);
        server.set(Behaviour::Delay(Duration::from_millis(300)));
    }
    let sends = (0..30).map(|number| {
        let object = format!("X-Affinity-Key: k{number}");
        let request = get_request("/read/popular", &format!("p{number}"));
        let instance = &instance;
        async move {
            // Some are sent before the first response says that the server is leaving.
            time::sleep(Duration::from_millis(12 * number)).await;
            instance.send(&request.replace("X-Affinity-Key: 17", &object)).await
        }
    });
    let end = async {
        let leaving = &cluster.backends[..2];
        let has_said = |server: &FakeBackend| {
            server.received().iter().any(|request| request.leaving_said_at.is_some())
        };
        eventually("both servers say that they are leaving", async || leaving.iter().all(has_said))
            .await;
        // Until the instance has read it.
        time::sleep(Duration::from_millis(20)).await;
        for server in leaving {
            server.set_crash_downtime(Duration::from_secs(60));
            server.crash();
        }
    };
    tokio::join!(futures_util::future::join_all(sends), end);
    time::sleep(Duration::from_secs(1)).await;
    let metrics = get(instance.metrics_addr, "/metrics").await.unwrap().body;
    assert!(metrics.contains("azuregate_backend_crashes_total 0"), "{metrics}");
}

async fn metric(instance: &Instance, name: &str) -> Option<usize> {
    let metrics = get(instance.metrics_addr, "/metrics").await?.body;
    metrics.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

/// Guards against taking other values, or the word of another server at the address, for an
/// announcement.
#[tokio::test]
async fn only_the_server_itself_announces_its_leaving() {
    let cases: [(Behaviour, &[&str], usize); 7] = [
        (Behaviour::Respond, &["server-leaving: 1"], 1),
        (Behaviour::Respond, &["Server-Leaving: 0", "Server-Leaving: 1"], 1),
        (Behaviour::Respond, &[], 0),
        (Behaviour::Respond, &["Server-Leaving: 0"], 0),
        (Behaviour::Respond, &["Server-Leaving: soon"], 0),
        (Behaviour::StaleResponse, &[LEAVING], 0),
        (Behaviour::Misdirect, &[LEAVING], 0),
    ];
    for (behaviour, headers, expected) in cases {
        let cluster = TestCluster::start(1).await;
        let instance = cluster.start_ready_instance(1).await;
        let server = &cluster.backends[0];
        server.set(behaviour.clone());
        server.set_headers(headers);
        instance.send(&post_request("/write/x", "w", "an order")).await;
        let leaving = metric(&instance, "azuregate_leaving_backends ").await;
        assert_eq!(leaving, Some(expected), "{behaviour:?} {headers:?}");
    }
}

/// Guards against idle connections that keep a leaving server from ending, and against cutting a long
/// response that began before.
#[tokio::test]
async fn idle_connections_to_a_leaving_server_are_closed() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let leaving = &cluster.backends[0];
    leaving.set(Behaviour::Delay(Duration::from_millis(100)));
    let sends = (0..3).map(|number| {
        let instance = &instance;
        async move { instance.send(&request("warm", number)).await }
    });
    futures_util::future::join_all(sends).await;
    assert!(leaving.connections() > 1);
    leaving.set(Behaviour::Stream(Duration::from_millis(500)));
    let streamed = async { instance.send(&get_request("/read/x", "streamed")).await.unwrap() };
    let announced = async {
        time::sleep(Duration::from_millis(100)).await;
        leaving.set(Behaviour::Respond);
        leaving.set_headers(&[LEAVING]);
        instance.send(&get_request("/read/x", "announced")).await.unwrap()
    };
    let (streamed, announced) = tokio::join!(streamed, announced);
    assert_eq!((streamed.status, announced.status), (200, 200));
    assert_eq!(streamed.body.len(), 400_000);
    eventually("all connections are closed", async || leaving.connections() == 0).await;
}

/// Guards against instances that go on to send to a leaving server until it tells them or the store's
/// news arrives.
#[tokio::test]
async fn other_instances_are_told_that_a_server_is_leaving() {
    let cluster = TestCluster::start(SERVERS).await;
    let told = cluster.start_ready_instance(1).await;
    let other = cluster.start_ready_instance(2).await;
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    let leaving = &cluster.backends[0];
    leaving.set_headers(&[LEAVING]);
    send_for(&told, "told", Duration::from_millis(500)).await;
    let statuses = send_for(&other, "other", Duration::from_secs(1)).await;
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
    let received = leaving.received();
    assert!(!received.iter().any(|request| request.id.starts_with("other")));
    assert_eq!(metric(&other, "azuregate_leaving_backends ").await, Some(0));
}
