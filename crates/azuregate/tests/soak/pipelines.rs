//! Writes that are pipelined, with chunked bodies, at instances that stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use azuregate_platform::fakes::Behaviour;
use tokio::time;

use crate::{
    cluster::{Client, HttpResponse, post_request},
    plan::Fault,
    run::{self, Deployment},
};

const SEED: u64 = 46;
const INSTANCES: usize = 2;
const CONNECTIONS: usize = 30;
const ROUNDS: usize = 3;
const EXECUTION_TIME: Duration = Duration::from_millis(120);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Two writes on one connection, and what became of them.
struct Pipelined {
    ids: [String; 2],
    responses: [Option<HttpResponse>; 2],
}

/// Returns a write with a chunked body.
fn chunked(id: &str) -> String {
    let head = post_request("/write/x", id, "");
    let head = head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    format!("{head}3\r\nord\r\n2\r\ner\r\n0\r\n\r\n")
}

async fn send(addr: SocketAddr, name: String) -> Pipelined {
    let ids = [format!("{name}-first"), format!("{name}-second")];
    let mut client = Client::connect(addr).await;
    client.send(&(chunked(&ids[0]) + &chunked(&ids[1]))).await;
    let mut responses = [None, None];
    for response in &mut responses {
        *response = time::timeout(CLIENT_TIMEOUT, client.response()).await.ok().flatten();
    }
    Pipelined { ids, responses }
}

/// Returns what is wrong with a pair of writes. The second one counts as not read, and its client
/// sends it again, if the response before it closes the connection.
fn problem(deployment: &Deployment, pair: &Pipelined) -> Option<String> {
    let received = deployment.received();
    let [first, second] = &pair.responses;
    let executed = |id: &str| received.iter().filter(|r| r.is_executed && r.id == id).count();
    let closes = |response: &HttpResponse| response.header("connection") == Some("close");
    let is_not_read = first.as_ref().is_some_and(closes) && second.is_none();
    for (number, id) in pair.ids.iter().enumerate() {
        let executions = executed(id);
        let status = pair.responses[number].as_ref().map(|response| response.status);
        let is_refused = matches!(status, Some(408 | 421 | 429 | 503));
        if executions > 1 || executions > 0 && (is_refused || number == 1 && is_not_read) {
            return Some(format!("{id}: executed {executions} times, answered {status:?}"));
        }
    }
    let is_as_sent = |id: &str| received.iter().all(|r| r.id != id || r.body == b"order");
    (!pair.ids.iter().all(|id| is_as_sent(id))).then(|| format!("{:?}: another body", pair.ids))
}

/// Guards against executing a write that is pipelined behind a response that closes the connection,
/// which its client sends again.
#[tokio::test(flavor = "multi_thread")]
async fn write_behind_a_closing_response_is_not_executed() {
    let deployment = Arc::new(run::set_up(SEED, INSTANCES).await);
    for server in &deployment.servers {
        let (execute, reject) = (Behaviour::Delay(EXECUTION_TIME), Behaviour::Reject);
        server.backend.set(Behaviour::Mixed(vec![(10, reject), (100, execute)]));
    }
    let (mut problems, mut not_read) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let instance = round % INSTANCES;
        let addr = deployment.instances[instance].traffic_addr;
        let pairs = (0..CONNECTIONS).map(|number| {
            let delay = EXECUTION_TIME.mul_f64(number as f64 / CONNECTIONS as f64);
            let name = format!("round{round}-{number}");
            tokio::spawn(async move {
                time::sleep(delay).await;
                send(addr, name).await
            })
        });
        let pairs: Vec<_> = pairs.collect();
        time::sleep(EXECUTION_TIME).await;
        deployment.inject(Fault::Stop { instance }).await;
        for pair in pairs {
            let pair = pair.await.unwrap();
            not_read += usize::from(pair.responses[0].is_some() && pair.responses[1].is_none());
            problems.extend(problem(&deployment, &pair));
        }
        deployment.wait_until_ready().await;
    }
    assert!(problems.is_empty(), "{problems:#?}");
    assert!(not_read > 0, "no response closed a connection before the second write");
}
