//! Backend servers that send a response once more where the next response on the connection is due.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use azuregate_platform::fakes::{Behaviour, ReceivedRequest};
use tokio::time;

use crate::{
    cluster::{Client, HttpResponse, Instance, TestCluster, eventually, get_request, post_request},
    connectors::{CutConnector, start_with},
};

/// Statuses that say that a request was not executed and never will be.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];
/// Time within which a server has executed all that it received.
const SETTLING: Duration = Duration::from_millis(50);

fn late_copy(first: Behaviour) -> Behaviour {
    Behaviour::LateCopy(Box::new(first))
}

fn executions(cluster: &TestCluster, id: &str) -> usize {
    let received = cluster.backends[0].received();
    received.iter().filter(|request| request.is_executed && request.id == id).count()
}

/// Guards against taking the late copy of a rejection for the answer to the second send, so that the
/// write is sent a third time while the server executes it.
#[tokio::test]
async fn late_copy_of_rejection_does_not_execute_write_twice() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    for rejection in [Behaviour::Reject, Behaviour::RejectWith(429), Behaviour::RejectWithoutId] {
        cluster.backends[0].set(late_copy(rejection.clone()));
        for number in 0..4 {
            let id = format!("{rejection:?}{number}");
            instance.send(&post_request("/write/x", &id, "body")).await.unwrap();
            time::sleep(SETTLING).await;
            assert!(executions(&cluster, &id) <= 1, "{id} was executed twice");
        }
    }
}

/// Guards against a 503 for a write that the server executes, after the late copy of a rejection was
/// taken for the answer to the last send.
#[tokio::test]
async fn late_copy_of_rejection_is_not_reported_as_not_executed() {
    let mut cluster = TestCluster::start(1).await;
    // A rejected request is sent once more.
    cluster.update_config(|config| config.attempts = 1);
    let instance = cluster.start_ready_instance(1).await;
    for rejection in [Behaviour::Reject, Behaviour::RejectWith(429), Behaviour::RejectWithoutId] {
        cluster.backends[0].set(late_copy(rejection.clone()));
        for number in 0..4 {
            let id = format!("{rejection:?}{number}");
            let response = instance.send(&post_request("/write/x", &id, "body")).await.unwrap();
            time::sleep(SETTLING).await;
            let is_refused = NOT_EXECUTED.contains(&response.status);
            let executions = executions(&cluster, &id);
            assert!(!is_refused || executions == 0, "{id}: {} and executed", response.status);
        }
    }
}

/// How requests get to the server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    Direct,
    Pipelined,
    /// Through an instance that reaches no server.
    Forwarded,
}

/// An instance for each way.
pub(crate) struct Instances {
    pub(crate) direct: Instance,
    /// Reaches no server.
    pub(crate) cut_off: Instance,
}

impl Instances {
    pub(crate) async fn start(cluster: &TestCluster) -> Instances {
        let direct = cluster.start_ready_instance(1).await;
        let cut_off = start_with(cluster, 2, |connector| {
            let is_cut = Arc::new(AtomicBool::new(true));
            Box::new(CutConnector { connector, is_cut })
        })
        .await;
        let mut number = 0;
        eventually("requests are forwarded", async || {
            number += 1;
            let request = get_request("/read/x", &format!("start{number}"));
            cut_off.send(&request).await.is_some_and(|response| response.status == 200)
        })
        .await;
        Instances { direct, cut_off }
    }

    /// Sends the same request `count` times, and returns the responses.
    pub(crate) async fn send(
        &self,
        way: Way,
        request: &str,
        count: usize,
    ) -> Vec<Option<HttpResponse>> {
        let instance = match way {
            Way::Direct | Way::Pipelined => &self.direct,
            Way::Forwarded => &self.cut_off,
        };
        let mut responses = Vec::new();
        if matches!(way, Way::Pipelined) {
            let mut client = Client::connect(instance.traffic_addr).await;
            client.send(&request.repeat(count)).await;
            for _ in 0..count {
                responses.push(client.response().await);
            }
            return responses;
        }
        for _ in 0..count {
            responses.push(instance.send(request).await);
        }
        responses
    }
}

/// Returns what is wrong with the responses to a request that a client sent several times under one
/// ID.
fn problem(
    id: &str,
    is_write: bool,
    responses: &[Option<HttpResponse>],
    received: &[ReceivedRequest],
) -> Option<String> {
    let executions =
        received.iter().filter(|request| request.is_executed && request.id == id).count();
    for response in responses.iter().flatten() {
        if response.status == 200 && response.body != format!("answer to {id}") {
            return Some(format!("{:?} in the response to {id}", response.body));
        }
    }
    let is_refused = |response: &&Option<HttpResponse>| {
        response.as_ref().is_some_and(|response| NOT_EXECUTED.contains(&response.status))
    };
    let allowed = responses.len() - responses.iter().filter(is_refused).count();
    (is_write && executions > allowed).then(|| {
        let statuses: Vec<_> = responses.iter().flatten().map(|response| response.status).collect();
        format!("{id} was executed {executions} times and answered {statuses:?}")
    })
}

/// Guards against any response that is sent twice being taken for the answer to a later send, on
/// each way to a server, also if the client repeats the request under its ID.
#[tokio::test]
async fn late_copies_answer_no_request() {
    let firsts = [
        Behaviour::Reject,
        Behaviour::RejectWith(429),
        Behaviour::RejectWithoutId,
        Behaviour::PushBack(Duration::from_millis(5)),
        Behaviour::Misdirect,
        Behaviour::ServerError,
        Behaviour::Unsigned,
        Behaviour::Respond,
    ];
    for first in firsts {
        // A misdirected request takes its server out of use.
        let cluster = TestCluster::start(1).await;
        let instances = Instances::start(&cluster).await;
        let mut problems = Vec::new();
        for way in [Way::Direct, Way::Pipelined, Way::Forwarded] {
            for (path, is_write) in [("/read/x", false), ("/write/x", true)] {
                cluster.backends[0].set(late_copy(first.clone()));
                let id = format!("{way:?}{}", if is_write { "-write" } else { "-read" });
                let request = match is_write {
                    true => post_request(path, &id, "body"),
                    false => get_request(path, &id),
                };
                let responses = instances.send(way, &request, 3).await;
                time::sleep(SETTLING).await;
                let received = cluster.backends[0].received();
                problems.extend(problem(&id, is_write, &responses, &received));
            }
        }
        assert!(problems.is_empty(), "{first:?}: {problems:#?}");
    }
}

/// Guards against the same for requests that are sent on the account of another instance's part of a
/// rate limit.
#[tokio::test]
async fn late_copies_answer_no_granted_request() {
    let cluster = TestCluster::start(1).await;
    let mut instances = Vec::new();
    for number in 1..=4 {
        instances.push(cluster.start_ready_instance(number).await);
    }
    // Wait until instances know each other.
    time::sleep(Duration::from_secs(1)).await;
    cluster.backends[0].set_rate_limit(Some("20"));
    cluster.backends[0].set(late_copy(Behaviour::Reject));
    let mut problems = Vec::new();
    for number in 0..120 {
        let id = format!("w{number}");
        let request = post_request("/write/x", &id, "body");
        let response = instances[number % instances.len()].send(&request).await;
        time::sleep(SETTLING).await;
        problems.extend(problem(&id, true, &[response], &cluster.backends[0].received()));
    }
    assert!(problems.is_empty(), "{problems:#?}");
    let mut grants = 0;
    for instance in &instances {
        grants += instance.metric("azuregate_rate_limit_grants_total").await;
    }
    assert!(grants > 0, "no request was granted");
}

/// Guards against a pause, a rate limit, a leaving or a cold server that only the late copy of a
/// response names, and that ended before.
#[tokio::test]
async fn late_copies_say_nothing_of_their_server() {
    let lines = ["Server-Leaving: 1", "Server-Limit: 0", "X-Warmup-Ms: 60000", "Retry-After: 60"];
    for line in lines {
        let cluster = TestCluster::start(1).await;
        let instance = cluster.start_ready_instance(1).await;
        cluster.backends[0].set(Behaviour::StaleResponse);
        cluster.backends[0].set_headers(&[line]);
        for number in 0..3 {
            let request = post_request("/write/x", &format!("w{number}"), "body");
            assert_eq!(instance.send(&request).await.unwrap().status, 502, "{line}");
        }
        assert_eq!(instance.metric("azuregate_unmatched_responses_total").await, 3);
        cluster.backends[0].set_headers(&[]);
        cluster.backends[0].set(Behaviour::Respond);
        // More than a cold server may get in that time.
        for number in 0..40 {
            let response = instance.send(&get_request("/read/x", &format!("r{number}"))).await;
            assert_eq!(response.unwrap().status, 200, "{line}, request {number}");
        }
    }
}

/// Guards against an error of another instance that a backend server forges, by which a write that
/// was executed is answered as not executed.
#[tokio::test]
async fn server_cannot_forge_the_error_of_an_instance() {
    let cluster = TestCluster::start(1).await;
    let instances = Instances::start(&cluster).await;
    cluster.backends[0].set_headers(&["azuregate-error: no-room", "azuregate-executions: 0"]);
    for behaviour in [Behaviour::ServerError, Behaviour::Respond] {
        cluster.backends[0].set(behaviour.clone());
        let id = format!("{behaviour:?}");
        let request = post_request("/write/x", &id, "body");
        let response = instances.cut_off.send(&request).await.unwrap();
        assert_eq!(executions(&cluster, &id), 1);
        assert!(!NOT_EXECUTED.contains(&response.status), "{id}: {}", response.status);
    }
}
