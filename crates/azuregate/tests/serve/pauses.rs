//! Backend servers that ask instances for a pause.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{Behaviour, FakeBackend, ReceivedRequest, backend_row};
use tokio::time;

use crate::{
    cluster::{Client, Instance, SERVICE, TestCluster, eventually, get, get_request, post_request},
    connectors::{CutConnector, SlowConnector, start_with},
    traffic::{request, send_for},
};

const SERVERS: usize = 4;
const PAUSE: Duration = Duration::from_secs(2);
/// Time after a 503 in which requests that were sent before may arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// Sends `count` pipelined requests on one connection; returns their statuses.
async fn send_pipelined(instance: &Instance, name: &str, count: usize) -> Vec<u16> {
    let mut client = Client::connect(instance.traffic_addr).await;
    let reads: String =
        (0..count).map(|number| request(&format!("{name}-"), 3 * number + 1)).collect();
    client.send(&reads).await;
    let mut statuses = Vec::new();
    for _ in 0..count {
        statuses.push(client.response().await.map_or(0, |response| response.status));
    }
    statuses
}

/// Returns the requests that reached a server from half a second after the first 503 with a pause to
/// the end of the last pause that it asked for.
fn received_during_pauses(server: &FakeBackend) -> Vec<ReceivedRequest> {
    let received = server.received();
    let pauses: Vec<(Instant, Duration)> =
        received.iter().filter_map(|request| request.pushed_back).collect();
    let is_in_pause = |request: &ReceivedRequest| {
        pauses.iter().any(|&(from, pause)| {
            request.received_at > from + IN_TRANSIT && request.received_at < from + pause
        })
    };
    received.into_iter().filter(is_in_pause).collect()
}

/// Guards against requests, whether first tries, retries or started early, that are sent to a server
/// during the pause that it has asked for, and against refusing them while other servers have room.
#[tokio::test]
async fn server_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let cluster = TestCluster::start(SERVERS).await;
    let instance = cluster.start_ready_instance(1).await;
    // Half of the servers, so that failures make none of them an outlier.
    let paused = &cluster.backends[..SERVERS / 2];
    paused.iter().for_each(|server| server.set(Behaviour::PushBack(PAUSE)));
    let pipelined = async {
        let mut statuses = Vec::new();
        for round in 0..5 {
            time::sleep(PAUSE / 6).await;
            statuses.extend(send_pipelined(&instance, &format!("p{round}"), 8).await);
        }
        statuses
    };
    let (statuses, pipelined) = tokio::join!(send_for(&instance, "a", PAUSE), pipelined);
    for server in paused {
        let during = received_during_pauses(server);
        let ids: Vec<&str> = during.iter().map(|request| request.id.as_str()).collect();
        assert!(during.is_empty(), "{} requests during the pause: {ids:?}", ids.len());
        assert!(server.received().iter().any(|request| request.pushed_back.is_some()));
    }
    assert!(statuses.iter().chain(&pipelined).all(|&status| status == 200), "{statuses:?}");
}

/// Guards against a retry that goes back to the server that has just asked for a pause.
#[tokio::test]
async fn retry_goes_to_another_server_than_the_one_that_asks_for_a_pause() {
    let cluster = TestCluster::start(SERVERS).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends.iter().for_each(|server| server.set(Behaviour::PushBack(PAUSE)));
    send_pipelined(&instance, "r", 8).await;
    for server in &cluster.backends {
        let mut ids: Vec<String> = server.received().into_iter().map(|r| r.id).collect();
        ids.sort();
        let count = ids.len();
        ids.dedup();
        assert_eq!(ids.len(), count, "a request came twice to {}", server.id());
    }
}

/// Guards against requests that wait for a connection and are sent to a server that has asked for a
/// pause meanwhile.
#[tokio::test]
async fn request_that_waits_for_a_connection_is_not_sent_during_a_pause() {
    let delay = Duration::from_millis(150);
    let cluster = TestCluster::start(SERVERS).await;
    let instance =
        start_with(&cluster, 1, |connector| Box::new(SlowConnector { connector, delay })).await;
    let paused = &cluster.backends[0];
    paused.set(Behaviour::PushBack(PAUSE));
    // The second requests are assigned to a server before the first ones reach it.
    let later = async {
        time::sleep(delay / 2).await;
        send_pipelined(&instance, "second", 6).await
    };
    let (_, statuses) = tokio::join!(send_pipelined(&instance, "first", 6), later);
    let received = paused.received();
    let (from, _) = received.iter().find_map(|request| request.pushed_back).unwrap();
    let late: Vec<&str> = received
        .iter()
        .filter(|request| request.received_at > from + delay / 4)
        .map(|request| request.id.as_str())
        .collect();
    assert!(late.is_empty(), "sent after the server had asked for a pause: {late:?}");
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

async fn paused_servers(instance: &Instance) -> Option<usize> {
    let metrics = get(instance.metrics_addr, "/metrics").await?.body;
    let line = metrics.lines().find_map(|line| line.strip_prefix("azuregate_paused_backends "));
    line?.parse().ok()
}

/// Guards against taking for a pause what is none: nonsense, other statuses, and the word of another
/// server that has the address by now; and against ignoring a pause that is given in another form.
#[tokio::test]
async fn only_a_503_with_a_number_of_seconds_asks_for_a_pause() {
    const DATE: &str = "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT";
    let reject = Behaviour::Reject;
    let cases: [(Behaviour, &[&str], bool); 17] = [
        (reject.clone(), &["Retry-After: 3"], true),
        (reject.clone(), &["retry-after:  0.8 "], true),
        (reject.clone(), &["Retry-After: 99999999999999999999"], true),
        (reject.clone(), &["Retry-After: 0.001", "Retry-After: 3"], true),
        (reject.clone(), &["Retry-After: later", "Retry-After: 3"], true),
        (reject.clone(), &[], false),
        (reject.clone(), &["Retry-After: 0"], false),
        (reject.clone(), &["Retry-After: -3"], false),
        (reject.clone(), &["Retry-After: later"], false),
        (reject.clone(), &["Retry-After:"], false),
        (reject.clone(), &["Retry-After: inf"], false),
        (reject, &[DATE], false),
        (Behaviour::RejectWith(429), &["Retry-After: 3"], false),
        (Behaviour::RejectWith(400), &["Retry-After: 3"], false),
        (Behaviour::ServerError, &["Retry-After: 3"], false),
        (Behaviour::Respond, &["Retry-After: 3"], false),
        (Behaviour::Misdirect, &["Retry-After: 3"], false),
    ];
    for (behaviour, headers, is_pause) in cases {
        let cluster = TestCluster::start(1).await;
        let instance = cluster.start_ready_instance(1).await;
        let server = &cluster.backends[0];
        server.set(behaviour.clone());
        server.set_headers(headers);
        instance.send(&post_request("/write/x", "w", "an order")).await;
        let paused = paused_servers(&instance).await;
        assert_eq!(paused, Some(usize::from(is_pause)), "{behaviour:?} {headers:?}");
    }
}

/// Guards against a pause that outlives the run of the server that asked for it, and against one that
/// a row of the store ends.
#[tokio::test]
async fn pause_ends_with_the_run_of_the_server_and_not_with_its_row() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let server = &cluster.backends[0];
    server.set(Behaviour::PushBack(Duration::from_secs(600)));
    instance.send(&get_request("/read/x", "first")).await;
    server.set(Behaviour::Respond);
    let row = |zone| backend_row(SERVICE, server.addr(), zone, "ready");
    // Another zone is a change that can be seen to be applied.
    let changes: [(&str, &dyn Fn()); 2] = [
        ("updated", &|| cluster.store.put("servers", "b0", row("zone-b"))),
        ("removed", &|| cluster.store.remove("servers", "b0")),
    ];
    for (name, change) in changes {
        change();
        time::sleep(Duration::from_secs(1)).await;
        cluster.store.put("servers", "b0", row("zone-a"));
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(paused_servers(&instance).await, Some(1), "{name}");
        assert_eq!(instance.send(&get_request("/read/x", name)).await.unwrap().status, 503);
        assert_eq!(cluster.request_count(name), 0);
    }
    server.crash();
    server.restarted().await;
    cluster.store.remove("servers", "b0");
    cluster.store.put("servers", &server.id(), row("zone-a"));
    eventually("the new run is used", async || {
        instance.send(&get_request("/read/x", "restarted")).await.unwrap().status == 200
    })
    .await;
}

/// Guards against holding or sending requests that no server wants, and against a refusal that does
/// not tell when to come back.
#[tokio::test]
async fn request_is_refused_at_once_when_all_servers_pause() {
    let cluster = TestCluster::start(SERVERS).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends.iter().for_each(|server| server.set(Behaviour::PushBack(PAUSE)));
    let start = Instant::now();
    while paused_servers(&instance).await != Some(SERVERS) && start.elapsed() < PAUSE / 4 {
        send_pipelined(&instance, "tell", 12).await;
    }
    let told_at = Instant::now();
    for number in 0..6 {
        let refused = instance.send(&request("refused", number)).await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(cluster.request_count(&format!("refused{number}")), 0);
        let retry_after_s: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        let latest_s = PAUSE.as_secs_f64() * 1.25 + 0.2;
        let earliest_s = (PAUSE - start.elapsed()).as_secs_f64() - 0.1;
        assert!((earliest_s..latest_s).contains(&retry_after_s), "{retry_after_s}");
    }
    assert!(told_at.elapsed() < Duration::from_millis(200), "{:?}", told_at.elapsed());
    cluster.backends.iter().for_each(|server| server.set(Behaviour::Respond));
    time::sleep(PAUSE).await;
    let statuses = send_for(&instance, "after", PAUSE / 4).await;
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

/// Guards against sending forwarded requests during the pause of the instance that sends them, and
/// against taking that instance's 503 for the word of a server.
#[tokio::test]
async fn pause_binds_the_instance_that_was_asked_and_no_other() {
    let cluster = TestCluster::start(SERVERS).await;
    let is_cut = Arc::new(AtomicBool::new(true));
    let cut_off = start_with(&cluster, 1, |connector| {
        Box::new(CutConnector { connector, is_cut: Arc::clone(&is_cut) })
    })
    .await;
    let other = cluster.start_ready_instance(2).await;
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    let pause = Duration::from_secs(600);
    cluster.backends.iter().for_each(|server| server.set(Behaviour::PushBack(pause)));
    eventually("all servers have asked for a pause", async || {
        send_pipelined(&other, "tell", 12).await;
        paused_servers(&other).await == Some(SERVERS)
    })
    .await;
    cluster.backends.iter().for_each(|server| server.set(Behaviour::Respond));
    let before: usize = cluster.backends.iter().map(|server| server.received().len()).sum();
    let statuses = send_for(&cut_off, "forwarded", Duration::from_secs(1)).await;
    assert!(statuses.iter().all(|&status| status == 503), "{statuses:?}");
    let after: usize = cluster.backends.iter().map(|server| server.received().len()).sum();
    assert_eq!(after, before, "requests sent during the pause");
    assert_eq!(paused_servers(&cut_off).await, Some(0));
    is_cut.store(false, Ordering::Relaxed);
    eventually("the instance that was not asked sends requests", async || {
        cut_off.send(&get_request("/read/x", "own")).await.unwrap().status == 200
    })
    .await;
}
