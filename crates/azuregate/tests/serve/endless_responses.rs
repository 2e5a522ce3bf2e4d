//! Backend servers that send bytes without end, until their connection is closed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use azuregate_platform::fakes::{Behaviour, Endless, EndlessPart, FakeBackend};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::{
    cluster::{TestCluster, eventually, get_request, post_request},
    late_copies::Instances,
    process::Process,
};

/// The timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(1);
/// By how much a response may end later.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
const CLIENTS: usize = 4;
/// Memory that all responses together may take.
const MAX_MEMORY_BYTES: u64 = 12 << 20;
/// The longest body, with its framing and what sockets hold.
const MAX_BODY_BYTES: u64 = 264 << 20;
const FAST: Duration = Duration::ZERO;
const SLOW: Duration = Duration::from_millis(20);

/// What a client got.
#[derive(Debug)]
struct Received {
    /// 0 if the connection was closed first.
    status: u16,
    bytes: usize,
    /// Whether the response looks complete.
    is_complete: bool,
    elapsed: Duration,
    /// The client's connection, which stays open.
    stream: TcpStream,
}

/// Sends a request and reads the response without keeping it. A client that does not read stops after
/// the head.
async fn receive(addr: SocketAddr, request: &str, reads: bool) -> Received {
    let start = Instant::now();
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    let mut received =
        Received { status: 0, bytes: 0, is_complete: false, elapsed: TIMEOUT, stream };
    let mut length = None;
    loop {
        if !reads && received.status != 0 {
            time::sleep(TIMEOUT + TIMEOUT_SLACK).await;
            break;
        }
        let Ok(count @ 1..) = received.stream.read(&mut buffer).await else { break };
        if received.status == 0 {
            let head = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
            received.status = head[9..12].parse().unwrap();
            let end = head.find("\r\n\r\n").expect("the head is read at once") + 4;
            let field = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            length = field.map(|field| end + field.parse::<usize>().unwrap());
        }
        received.bytes += count;
        received.is_complete = match length {
            Some(length) => received.bytes >= length,
            None => buffer[..count].ends_with(b"0\r\n\r\n"),
        };
        if received.is_complete {
            break;
        }
    }
    received.elapsed = start.elapsed();
    received
}

fn sending_connections(cluster: &TestCluster) -> usize {
    cluster.backends.iter().map(FakeBackend::endless_connections).sum()
}

/// What is expected of a case.
struct Case {
    part: EndlessPart,
    interval: Duration,
    /// The statuses that a write may get; 0 is a closed connection.
    write: &'static [u16],
    /// Bytes that the servers may send for each request, buffers of sockets included.
    max_sent_bytes: u64,
}

/// Plays a case and returns what is wrong.
async fn problems(case: &Case, reads: bool) -> Vec<String> {
    let Case { part, interval, .. } = *case;
    let cluster = TestCluster::start(2).await;
    let process = Process::start(&cluster, 1).await;
    // A first request takes memory for good.
    receive(process.traffic_addr, &get_request("/read/x", "first"), true).await;
    let memory_bytes = process.peak_memory_bytes();
    let behaviour = Behaviour::Endless(Endless { part, interval });
    cluster.backends.iter().for_each(|server| server.set(behaviour.clone()));
    let mut requests = Vec::new();
    for number in 0..CLIENTS {
        let id = format!("r{number}");
        requests.push(match number % 2 {
            0 => post_request("/write/x", &id, "body"),
            _ => get_request("/read/x", &id),
        });
    }
    let all = requests.iter().map(|request| receive(process.traffic_addr, request, reads));
    let all = futures_util::future::join_all(all).await;
    let mut problems = Vec::new();
    for (number, received) in all.iter().enumerate() {
        if received.elapsed > TIMEOUT + TIMEOUT_SLACK && reads {
            problems.push(format!("late: {received:?}"));
        }
        if received.status == 200 && received.is_complete {
            problems.push(format!("looks complete: {received:?}"));
        }
        if number % 2 == 0 && !case.write.contains(&received.status) {
            problems.push(format!("wrong status: {received:?}"));
        }
    }
    let closed = time::timeout(TIMEOUT, async {
        while sending_connections(&cluster) > 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    });
    if closed.await.is_err() {
        problems.push(format!("{} connections stay open", sending_connections(&cluster)));
    }
    let sent_bytes: u64 = cluster.backends.iter().map(FakeBackend::endless_bytes).sum();
    // A request is sent to three servers at most.
    if sent_bytes > 3 * CLIENTS as u64 * case.max_sent_bytes {
        problems.push(format!("servers sent {sent_bytes} bytes"));
    }
    let taken_bytes = process.peak_memory_bytes() - memory_bytes;
    println!("{part:?} every {interval:?}: {sent_bytes} bytes sent, {taken_bytes} bytes of memory");
    if taken_bytes > MAX_MEMORY_BYTES {
        problems.push(format!("{taken_bytes} bytes of memory taken"));
    }
    let unreachable_services = process.metric("azuregate_unreachable_services").await;
    // Servers that end now, without any request, crash none.
    cluster.backends.iter().for_each(|server| server.set(Behaviour::Respond));
    cluster.backends.iter().for_each(FakeBackend::crash);
    time::sleep(Duration::from_millis(300)).await;
    let crashes = process.metric("azuregate_backend_crashes_total").await;
    let quarantined = process.metric("azuregate_quarantined_requests").await;
    let pauses = process.metric("azuregate_backend_pushbacks_total").await;
    let conclusions = [unreachable_services, crashes, quarantined, pauses];
    if conclusions != [0; 4] {
        problems.push(format!("unreachable, crashes, quarantined, pauses: {conclusions:?}"));
    }
    problems
}

async fn assert_no_problems(cases: &[Case], reads: bool) {
    let mut all = Vec::new();
    for case in cases {
        let problems = problems(case, reads).await;
        let named = |problem| format!("{:?} every {:?}: {problem}", case.part, case.interval);
        all.extend(problems.into_iter().map(named));
    }
    assert!(all.is_empty(), "{all:#?}");
}

/// Guards against reading heads and informational responses, or bytes before any request, without
/// end, and against taking the connection that is closed for that for the crash of a server.
#[tokio::test]
async fn head_without_end_is_cut() {
    // Nothing was sent to a server that talks first.
    let unsolicited: &[u16] = &[502, 503];
    let max_sent_bytes = 8 << 20;
    let mut cases = Vec::new();
    for (part, write) in [
        (EndlessPart::Head, [502, 504].as_slice()),
        (EndlessPart::Informational, &[502, 504]),
        (EndlessPart::Unsolicited, unsolicited),
    ] {
        for interval in [FAST, SLOW] {
            cases.push(Case { part, interval, write, max_sent_bytes });
        }
    }
    assert_no_problems(&cases, true).await;
}

/// Guards against taking a server that sends bytes before any request for one that has crashed, since
/// the connection is closed.
#[tokio::test]
async fn server_that_sends_without_a_request_has_not_crashed() {
    let cluster = TestCluster::start(2).await;
    let process = Process::start(&cluster, 1).await;
    receive(process.traffic_addr, &get_request("/read/x", "first"), true).await;
    let used = cluster.backends.iter().find(|backend| !backend.received().is_empty()).unwrap();
    used.set(Behaviour::Endless(Endless { part: EndlessPart::Unsolicited, interval: SLOW }));
    // Sent on the open connection, which gives the server a reason to be examined.
    let received = receive(process.traffic_addr, &get_request("/read/x", "second"), true).await;
    assert_eq!((received.status, used.received().len()), (200, 2));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(process.metric("azuregate_backend_crashes_total").await, 0);
}

/// Guards against holding the body of a rejection in memory, and against a retry that waits for it.
#[tokio::test]
async fn rejection_without_end_is_cut() {
    let cases = [FAST, SLOW].map(|interval| Case {
        part: EndlessPart::RejectionBody,
        interval,
        write: &[503],
        max_sent_bytes: 8 << 20,
    });
    assert_no_problems(&cases, true).await;
}

/// Returns a case for each part of a body that may not end.
fn body_cases() -> Vec<Case> {
    let parts = [
        EndlessPart::FailureBody,
        EndlessPart::ChunkedBody,
        EndlessPart::CloseDelimitedBody,
        EndlessPart::SizedBody,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
    ];
    let mut cases = Vec::new();
    for part in parts {
        for interval in [FAST, SLOW] {
            let write: &[u16] = match part {
                EndlessPart::FailureBody => &[500, 502, 504],
                _ => &[200, 502, 504],
            };
            cases.push(Case { part, interval, write, max_sent_bytes: MAX_BODY_BYTES });
        }
    }
    cases
}

/// Guards against bodies that are forwarded or buffered longer than the request may take, which
/// hold a slot of the server, and against a response that ends early but looks complete.
#[tokio::test]
async fn body_without_end_is_cut() {
    assert_no_problems(&body_cases(), true).await;
}

/// Guards against a connection to a server that is held for a client that does not read.
#[tokio::test]
async fn body_that_is_not_read_is_cut() {
    assert_no_problems(&body_cases(), false).await;
}

/// Guards against the same for requests that go through another instance.
#[tokio::test]
async fn forwarded_response_without_end_is_cut() {
    let cluster = TestCluster::start(1).await;
    let instances = Instances::start(&cluster).await;
    for part in EndlessPart::ALL {
        let behaviour = Behaviour::Endless(Endless { part, interval: SLOW });
        cluster.backends[0].set(behaviour);
        let request = get_request("/read/x", &format!("{part:?}"));
        let received = receive(instances.cut_off.traffic_addr, &request, true).await;
        let is_late = received.elapsed > TIMEOUT + TIMEOUT_SLACK;
        let looks_complete = received.status == 200 && received.is_complete;
        assert!(!is_late && !looks_complete, "{part:?}: {received:?}");
        eventually("the connection is closed", async || sending_connections(&cluster) == 0).await;
    }
}

/// Guards against forwarding a body without a bound on its length.
#[tokio::test]
async fn long_body_is_cut() {
    let mut cluster = TestCluster::start(1).await;
    cluster.update_config(|config| config.timeout_ms = 60_000);
    let process = Process::start(&cluster, 1).await;
    let part = EndlessPart::ChunkedBody;
    cluster.backends[0].set(Behaviour::Endless(Endless { part, interval: FAST }));
    let request = get_request("/read/x", "r1").replace("Ms: 3000", "Ms: 60000");
    let received = receive(process.traffic_addr, &request, true).await;
    assert!(!received.is_complete && received.elapsed < Duration::from_secs(50), "{received:?}");
    assert!(received.bytes as u64 <= MAX_BODY_BYTES, "{received:?}");
    assert!(process.peak_memory_bytes() < 64 << 20, "{} bytes", process.peak_memory_bytes());
}

/// Guards against a new connection for each long response.
#[tokio::test]
async fn connection_is_reused_after_a_long_response() {
    let cluster = TestCluster::start(1).await;
    let process = Process::start(&cluster, 1).await;
    cluster.backends[0].set(Behaviour::Stream(FAST));
    for number in 0..5 {
        let request = get_request("/read/x", &format!("r{number}"));
        let received = receive(process.traffic_addr, &request, true).await;
        assert!(received.status == 200 && received.is_complete, "{received:?}");
    }
    assert_eq!(process.metric("azuregate_backend_connects_total{result=\"ok\"}").await, 1);
}
