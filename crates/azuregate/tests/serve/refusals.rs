//! A refusal of a write promises that it was not executed, so it needs evidence.

use std::{net::SocketAddr, time::Duration};

use azuregate_platform::fakes::{Behaviour, ReceivedRequest};
use tokio::time;

use crate::{
    cluster::{Client, Instance, PEER_PORT, TestCluster, get_request, post_request},
    late_copies::{Instances, Way},
};

/// Statuses that say that a request was not executed and never will be.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];
/// Longer than what the buffers of a loopback connection hold, 4 MiB.
const LONG_BODY_BYTES: usize = 6 << 20;
/// Time within which a server has read what it answered early.
const SETTLING: Duration = Duration::from_millis(400);

/// Guards against passing on a refusal of a write that the server has executed, and against a
/// signature on a status that the server did not give.
#[tokio::test]
async fn executed_write_is_not_answered_as_refused() {
    let cluster = TestCluster::start(2).await;
    let instances = Instances::start(&cluster).await;
    for status in [503, 429, 408] {
        for is_signed in [true, false] {
            let refusal = Behaviour::Refuse { status, is_signed };
            cluster.backends.iter().for_each(|backend| backend.set(refusal.clone()));
            for way in [Way::Direct, Way::Pipelined, Way::Forwarded] {
                let id = format!("{way:?}-{status}-{is_signed}");
                let request = post_request("/write/x", &id, "body");
                let response = instances.send(way, &request, 1).await.remove(0).unwrap();
                assert_eq!(response.status, 502, "{id}");
                for name in ["x-response-signature", "retry-after"] {
                    assert_eq!(response.header(name), None, "{id}");
                }
                assert_eq!(response.body, "", "{id}");
                assert_eq!(cluster.request_count(&id), 1, "{id}");
            }
        }
    }
    // Counted where the server's response came in.
    let name = "azuregate_unproven_refusals_total";
    assert_eq!(instances.direct.metric(name).await, 3 * 2 * 3);
    assert_eq!(instances.cut_off.metric(name).await, 0);
}

/// Guards against changing the status that a server gave to a read, which may be executed again.
#[tokio::test]
async fn refusal_of_a_read_is_passed_on_unchanged() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    for status in [503, 429, 408] {
        cluster.backends[0].set(Behaviour::Refuse { status, is_signed: true });
        let id = format!("r{status}");
        let response = instance.send(&get_request("/read/x", &id)).await.unwrap();
        assert_eq!(response.status, status);
        assert_eq!(response.header("x-response-signature"), Some(&*format!("s-{id}")));
        assert_eq!(response.body, format!("answer to {id}"));
    }
}

/// Guards against believing a success or a failure that says both that the request was executed and
/// that it was not.
#[tokio::test]
async fn contradictory_response_does_not_execute_write_twice() {
    let cluster = TestCluster::start(2).await;
    let instance = cluster.start_ready_instance(1).await;
    for behaviour in [Behaviour::Respond, Behaviour::ServerError] {
        for backend in &cluster.backends {
            backend.set_headers(&["X-Not-Executed: 1"]);
            backend.set(behaviour.clone());
        }
        let id = format!("{behaviour:?}");
        let response = instance.send(&post_request("/write/x", &id, "body")).await.unwrap();
        assert_eq!(cluster.request_count(&id), 1, "{id}");
        assert!(!NOT_EXECUTED.contains(&response.status), "{id}: {}", response.status);
    }
}

/// Lets all servers lose their responses, while an instance has retries left: it has just served a
/// request of a client.
async fn lose_responses(cluster: &TestCluster, instance: &Instance) {
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::Respond));
    let response = instance.send(&get_request("/read/x", "client")).await.unwrap();
    assert_eq!(response.status, 200);
    cluster.backends.iter().for_each(|backend| backend.set(Behaviour::DropResponse));
}

/// Sends a request to an instance as another instance does.
async fn forward(instance: &Instance, id: &str, header: &str) -> u16 {
    let addr = SocketAddr::new(instance.traffic_addr.ip(), PEER_PORT + 1);
    let mut client = Client::connect(addr).await;
    let headers = format!("\r\nazuregate-executions: 0\r\n{header}\r\n\r\n");
    client.send(&get_request("/read/x", id).replace("\r\n\r\n", &headers)).await;
    client.response().await.unwrap().status
}

/// Guards against executing a write twice at an instance whose route says that it may be repeated,
/// since its configuration is older or newer than that of the instance that took the write.
#[tokio::test]
async fn forwarded_write_is_executed_once_whatever_the_kind_of_the_route() {
    let cluster = TestCluster::start(3).await;
    let instance = cluster.start_ready_instance(1).await;
    // The second is from a version that does not say it.
    let cases = [
        ("w1", "azuregate-idempotent: 0", 1),
        ("w2", "x-other: 1", 1),
        ("r1", "azuregate-idempotent: 1", 2),
    ];
    for (id, header, executions) in cases {
        lose_responses(&cluster, &instance).await;
        assert_eq!(forward(&instance, id, header).await, 502, "{id}");
        assert_eq!(cluster.request_count(id), executions, "{id}");
    }
}

/// Guards against forwarded reads that are not retried any more.
#[tokio::test]
async fn forwarded_read_is_retried() {
    let cluster = TestCluster::start(2).await;
    let instances = Instances::start(&cluster).await;
    lose_responses(&cluster, &instances.direct).await;
    let response = instances.cut_off.send(&get_request("/read/x", "r1")).await.unwrap();
    assert_eq!((response.status, cluster.request_count("r1")), (502, 2));
}

/// Returns what is wrong with a long body that a server received.
fn body_problem(request: &ReceivedRequest, sent: &str) -> Option<String> {
    let is_as_sent = match request.is_complete {
        true => request.body == sent.as_bytes(),
        false => sent.as_bytes().starts_with(&request.body),
    };
    let length = request.body.len();
    (!is_as_sent).then(|| format!("{} of {length} bytes is not as sent", request.id))
}

/// Guards against other bytes where the rest of a body is due whose request was answered early, and
/// against an early rejection of a write that is executed later.
#[tokio::test]
async fn long_body_that_is_answered_early_arrives_as_sent() {
    let mut cluster = TestCluster::start(1).await;
    cluster.update_config(|config| config.max_body_bytes = 2 * LONG_BODY_BYTES);
    let instance = cluster.start_ready_instance(1).await;
    for behaviour in [Behaviour::RejectBeforeBody, Behaviour::AnswerBeforeBody] {
        for number in 0..4 {
            cluster.backends[0].set(behaviour.clone());
            let id = format!("{behaviour:?}{number}");
            let body = format!("{id} ").repeat(LONG_BODY_BYTES / (id.len() + 1));
            let response = instance.send(&post_request("/upload/x", &id, &body)).await.unwrap();
            // On the connections that are left, while the server reads on or afterwards.
            cluster.backends[0].set(Behaviour::Respond);
            let small = format!("after-{id}");
            let after = instance.send(&post_request("/write/x", &small, "body")).await.unwrap();
            assert_eq!(after.status, 200, "{small}");
            time::sleep(SETTLING).await;
            let received = cluster.backends[0].received();
            let sends = received.iter().filter(|request| request.id == id);
            let problems: Vec<_> =
                sends.clone().filter_map(|request| body_problem(request, &body)).collect();
            assert!(problems.is_empty(), "{problems:?}");
            let executions = sends.filter(|request| request.is_executed).count();
            let is_refused = NOT_EXECUTED.contains(&response.status);
            assert!(executions <= 1 && !(is_refused && executions > 0), "{id}: {executions}");
            assert_eq!(response.status == 200, executions == 1, "{id}: {}", response.status);
        }
    }
    let unknown = cluster.backends[0].received().into_iter().find(|request| {
        let is_known =
            ["Reject", "Answer", "after-"].iter().any(|name| request.id.starts_with(name));
        !is_known
    });
    assert!(unknown.is_none(), "no client sent {unknown:?}");
}
