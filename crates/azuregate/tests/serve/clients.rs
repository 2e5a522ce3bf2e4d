//! Client disconnects, pipelining and invalid requests.

use std::time::{Duration, Instant};

use azuregate_platform::fakes::Behaviour;

use crate::cluster::{Client, TestCluster, eventually, get_request, post_request};

/// Guards against backend servers completing requests of a disconnected client, also when
/// another request is pipelined behind the first.
#[tokio::test]
async fn client_disconnect_cancels_backend_requests() {
    for waiting in [0, 1] {
        let mut cluster = TestCluster::start(1).await;
        // Longer than the test, so that only the disconnect can cancel the request.
        cluster.update_config(|config| config.timeout_ms = 10_000);
        let instance = cluster.start_ready_instance(1).await;
        let backend = cluster.backends[0].clone();
        backend.set(Behaviour::Delay(Duration::from_secs(5)));
        let mut client = Client::connect(instance.traffic_addr).await;
        for number in 0..=waiting {
            client.send(&get_request("/read/x", &format!("r{number}"))).await;
        }
        eventually("all requests reach the server", async || backend.received().len() > waiting)
            .await;
        let disconnected_at = Instant::now();
        drop(client);
        eventually("the backend requests are cancelled", async || {
            backend.received().iter().all(|request| request.cancelled_at.is_some())
        })
        .await;
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(2),
            "{:?}",
            disconnected_at.elapsed()
        );
    }
}

/// Guards against pipelined reads being executed one after the other, or their responses
/// arriving out of order.
#[tokio::test]
async fn pipelined_reads_run_concurrently() {
    let cluster = TestCluster::start(3).await;
    let instance = cluster.start_ready_instance(1).await;
    let pause = Duration::from_millis(800);
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Delay(pause)));
    let mut client = Client::connect(instance.traffic_addr).await;
    let requests: String = (0..3)
        .map(|number| get_request(&format!("/read/{number}"), &format!("r{number}")))
        .collect();
    let start = Instant::now();
    client.send(&requests).await;
    for number in 0..3 {
        assert_eq!(client.response().await.unwrap().body, format!("answer to r{number}"));
    }
    assert!(start.elapsed() < pause * 2, "executed sequentially: {:?}", start.elapsed());
}

/// Guards against starting a pipelined write early: if the connection closes before the
/// previous response, the client retries the write, and it would be executed twice.
#[tokio::test]
async fn pipelined_write_waits_for_previous_response() {
    let cluster = TestCluster::start(2).await;
    let instance = cluster.start_ready_instance(1).await;
    let pause = Duration::from_millis(300);
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Delay(pause)));
    let mut client = Client::connect(instance.traffic_addr).await;
    client.send(&get_request("/read/x", "r1")).await;
    client.send(&post_request("/write/x", "w1", "body")).await;
    tokio::time::sleep(pause / 2).await;
    assert_eq!((cluster.request_count("r1"), cluster.request_count("w1")), (1, 0));
    assert_eq!(client.response().await.unwrap().body, "answer to r1");
    assert_eq!(client.response().await.unwrap().body, "answer to w1");
}

/// Guards against request smuggling through a chunked body that contains a request.
#[tokio::test]
async fn request_text_inside_body_is_not_forwarded() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let inside = get_request("/read/inside", "inside");
    let head = "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: w1\r\n\
                X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n";
    let request = format!("{head}{:x}\r\n{inside}\r\n0\r\n\r\n", inside.len());
    let response = instance.send(&request).await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(cluster.request_count("inside"), 0);
    assert_eq!(cluster.backends[0].received()[0].body, inside.as_bytes());
}

#[tokio::test]
async fn invalid_requests_are_rejected_without_contacting_a_server() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let too_long = "x".repeat((1 << 20) + 1);
    let cases = [
        (get_request("/nowhere/x", "n1"), 404),
        (get_request("/read", "n2"), 404),
        (get_request("/read/x", "n3").replace("shop.example", "other.example"), 404),
        (post_request("/write/x", "n4", &too_long), 413),
    ];
    for (request, status) in cases {
        let line = request.lines().next().unwrap().to_owned();
        let response = instance.send(&request).await;
        assert_eq!(response.map(|response| response.status), Some(status), "{line}");
    }
    assert!(cluster.backends[0].received().is_empty());
}

/// Guards against connections held open by an incomplete request head, on new and on
/// reused connections, and against closing idle connections with them.
#[tokio::test]
async fn incomplete_request_head_times_out() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let half = "GET /read/x HTTP/1.1\r\nHost: sh";
    let mut fresh = Client::connect(instance.traffic_addr).await;
    let mut used = Client::connect(instance.traffic_addr).await;
    let mut idle = Client::connect(instance.traffic_addr).await;
    for (client, id) in [(&mut used, "r1"), (&mut idle, "r2")] {
        client.send(&get_request("/read/x", id)).await;
        assert_eq!(client.response().await.unwrap().status, 200);
    }
    fresh.send(half).await;
    used.send(half).await;
    let sent_at = Instant::now();
    // The configured header timeout.
    assert!(fresh.response().await.is_none() && used.response().await.is_none());
    assert!(sent_at.elapsed() > Duration::from_secs(3), "{:?}", sent_at.elapsed());
    idle.send(&get_request("/read/x", "r3")).await;
    assert_eq!(idle.response().await.unwrap().status, 200);
}

/// Guards against answering a request with the response to another one that is pipelined behind it
/// under the same ID and URI, so that it never reaches a server, and against executing that one first.
#[tokio::test]
async fn early_start_does_not_answer_the_request_before_it() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let mut client = Client::connect(instance.traffic_addr).await;
    let requests = [
        get_request("/read/x", "r0"),
        post_request("/read/x", "r1", "body"),
        get_request("/read/x", "r1"),
    ];
    client.send(&requests.concat()).await;
    for _ in &requests {
        assert_eq!(client.response().await.unwrap().status, 200);
    }
    let received = cluster.backends[0].received();
    let received: Vec<_> = received.iter().map(|r| r.method_and_path.as_str()).collect();
    assert_eq!(received, ["GET /read/x", "POST /read/x", "GET /read/x"]);
}
