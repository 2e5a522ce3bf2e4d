//! Requests that an instance reads after the signal to stop.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use azuregate_platform::fakes::FakeBackend;
use tokio::time;

use crate::cluster::{Client, HttpResponse, Instance, PEER_PORT, TestCluster, get, post_request};

/// Enough that no request of a table waits for a slot.
const SERVERS: usize = 16;
/// The end of the grace period in the settings fixture.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const LONG_BODY_BYTES: usize = 400_000;
/// Time in which connections are opened and used before the signal.
const BEFORE_SIGNAL: Duration = Duration::from_millis(200);

/// How a request reaches the instance.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// On a connection that is opened with it.
    New,
    /// On a connection that was used before the signal.
    Kept,
    /// On a connection that was opened at this time after the signal.
    Accepted(u64),
    /// With a body that is complete at this time after the signal.
    SlowBody(u64),
    /// With a body that is never complete.
    EndlessBody,
    /// Behind another request that is sent with it.
    Pipelined,
    /// From another instance.
    Forwarded,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It has the whole response of a server.
    Served,
    /// It is refused, and was not executed.
    Refused,
    /// Its deadline has passed.
    TimedOut,
}

use Outcome::{Refused, Served, TimedOut};

/// A request of a table. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Row {
    name: &'static str,
    way: Way,
    is_write: bool,
    /// When it is sent, after the signal.
    sent_at: u64,
    /// How long its server executes it.
    work: u64,
    /// Whether the response streams for that time, in place of coming after it.
    is_streamed: bool,
    deadline: u64,
    timeout: u64,
    /// Whether the instance has served a request of the route before.
    is_known: bool,
    expected: Outcome,
}

const ROW: Row = Row {
    name: "",
    way: Way::New,
    is_write: true,
    sent_at: 3_060,
    work: 100,
    is_streamed: false,
    deadline: 9_000,
    timeout: 9_000,
    is_known: true,
    expected: Served,
};

/// The instance ends 6 s after the signal at the latest.
const ROWS: &[Row] = &[
    // When it is sent, and its work.
    Row { name: "short-at-once", sent_at: 0, ..ROW },
    Row { name: "short-late", sent_at: 3_060, ..ROW },
    Row { name: "ends-after-3s", sent_at: 10, work: 4_000, ..ROW },
    Row { name: "ends-in-last-s", sent_at: 10, work: 5_400, ..ROW },
    Row { name: "ends-after-exit", sent_at: 10, work: 7_000, expected: Refused, ..ROW },
    Row { name: "sent-1s-too-long", sent_at: 1_000, work: 5_400, expected: Refused, ..ROW },
    Row { name: "sent-late-fits", work: 2_640, ..ROW },
    Row { name: "sent-late-unknown-fits", work: 2_640, is_known: false, ..ROW },
    Row { name: "sent-late-too-long", work: 4_000, expected: Refused, ..ROW },
    Row { name: "read-late-too-long", work: 4_000, is_write: false, expected: Refused, ..ROW },
    Row { name: "read-late-fits", work: 2_000, is_write: false, ..ROW },
    // Its deadline and the timeout of its route.
    Row { name: "deadline-first", work: 4_000, deadline: 2_000, expected: TimedOut, ..ROW },
    Row { name: "timeout-first", work: 4_000, timeout: 2_000, expected: TimedOut, ..ROW },
    Row { name: "deadline-last", work: 1_000, deadline: 3_500, ..ROW },
    Row { name: "deadline-known", work: 3_200, deadline: 3_500, expected: Refused, ..ROW },
    // Responses that stream.
    Row { name: "streamed-fits", work: 2_000, is_streamed: true, ..ROW },
    Row { name: "streamed-too-long", work: 4_000, is_streamed: true, expected: Refused, ..ROW },
    // The ways to the instance.
    Row { name: "kept-fits", way: Way::Kept, sent_at: 2_400, work: 3_000, ..ROW },
    Row {
        name: "kept-too-long",
        way: Way::Kept,
        sent_at: 2_400,
        work: 4_500,
        expected: Refused,
        ..ROW
    },
    Row { name: "accepted-fits", way: Way::Accepted(3_050), sent_at: 3_500, work: 1_800, ..ROW },
    Row {
        name: "accepted-too-long",
        way: Way::Accepted(3_050),
        sent_at: 3_500,
        work: 3_000,
        expected: Refused,
        ..ROW
    },
    Row { name: "body-fits", way: Way::SlowBody(4_000), sent_at: 1_000, work: 1_400, ..ROW },
    Row {
        name: "body-too-late",
        way: Way::SlowBody(4_000),
        sent_at: 1_000,
        work: 3_000,
        expected: Refused,
        ..ROW
    },
    Row { name: "body-endless", way: Way::EndlessBody, sent_at: 1_000, expected: Refused, ..ROW },
    Row {
        name: "pipelined-fits",
        way: Way::Pipelined,
        is_write: false,
        sent_at: 500,
        work: 1_000,
        ..ROW
    },
    Row {
        name: "pipelined-too-long",
        way: Way::Pipelined,
        is_write: false,
        sent_at: 500,
        work: 5_600,
        expected: Refused,
        ..ROW
    },
    Row { name: "forwarded-fits", way: Way::Forwarded, work: 2_000, ..ROW },
    Row { name: "forwarded-too-long", way: Way::Forwarded, work: 4_000, expected: Refused, ..ROW },
    Row { name: "forwarded-streamed", way: Way::Forwarded, work: 2_300, is_streamed: true, ..ROW },
];

impl Row {
    /// Returns the route that only this request uses.
    fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    fn request(&self, id: &str, body: &str) -> String {
        let method = if self.is_write { "POST" } else { "GET" };
        let length = match self.is_write {
            true => format!("Content-Length: {}\r\n", body.len()),
            false => String::new(),
        };
        let forwarded = match self.way {
            Way::Forwarded => "azuregate-executions: 0\r\nazuregate-idempotent: 0\r\n",
            _ => "",
        };
        let duration = if self.is_streamed { "stream_ms" } else { "work_ms" };
        format!(
            "{method} /{}/x?{duration}={} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Affinity-Key: {}\r\nX-Deadline-Ms: {}\r\n{length}{forwarded}\r\n{body}",
            self.name, self.work, self.name, self.deadline
        )
    }

    /// Sends the request, and returns its response, or `None` if the connection ends without one.
    async fn send(&self, instance: &Addrs, signal_at: Instant) -> Option<HttpResponse> {
        let at = |ms| time::sleep_until((signal_at + Duration::from_millis(ms)).into());
        let text = self.request(self.name, if self.is_write { "body" } else { "" });
        match self.way {
            Way::New | Way::Forwarded => {
                at(self.sent_at).await;
                let addr = match self.way {
                    Way::Forwarded => instance.forwarded,
                    _ => instance.traffic,
                };
                let mut client = Client::try_connect(addr).await?;
                client.send(&text).await;
                client.response().await
            }
            Way::Kept => {
                let mut client = Client::connect(instance.traffic).await;
                let short = Row { work: 1, ..*self };
                client.send(&short.request(&format!("{}-first", self.name), "body")).await;
                client.response().await?;
                at(self.sent_at).await;
                client.send(&text).await;
                client.response().await
            }
            Way::Accepted(accepted_at) => {
                at(accepted_at).await;
                let mut client = Client::try_connect(instance.traffic).await?;
                at(self.sent_at).await;
                client.send(&text).await;
                client.response().await
            }
            Way::SlowBody(_) | Way::EndlessBody => {
                at(self.sent_at).await;
                let mut client = Client::connect(instance.traffic).await;
                let (start, rest) = text.split_at(text.len() - 2);
                client.send(start).await;
                if let Way::SlowBody(complete_at) = self.way {
                    at(complete_at).await;
                    client.send(rest).await;
                }
                client.response().await
            }
            Way::Pipelined => {
                at(self.sent_at).await;
                let mut client = Client::connect(instance.traffic).await;
                let first = Row { work: 300, ..*self };
                let first = first.request(&format!("{}-first", self.name), "");
                client.send(&format!("{first}{text}")).await;
                client.response().await?;
                client.response().await
            }
        }
    }

    /// Returns how the response differs from the expected one.
    fn problem(&self, response: Option<&HttpResponse>, received: &[Received]) -> Option<String> {
        let outcome = match response.map(|response| response.status) {
            Some(200) => Some(Served),
            Some(503) => Some(Refused),
            Some(504) => Some(TimedOut),
            _ => None,
        };
        let executions = received.iter().filter(|request| request.id == self.name).count();
        let is_whole = match (self.is_streamed, response) {
            (true, Some(response)) => response.body.len() == LONG_BODY_BYTES,
            (false, Some(response)) => response.body == format!("answer to {}", self.name),
            (_, None) => false,
        };
        let problem = if outcome != Some(self.expected) {
            format!(
                "{:?} in place of {:?}",
                response.map(|response| response.status),
                self.expected
            )
        } else if self.expected == Served && !is_whole {
            "cut".to_owned()
        } else if self.expected == Refused && executions > 0 {
            "refused and executed".to_owned()
        } else if self.expected == Refused && response?.header("retry-after").is_none() {
            "refused without Retry-After".to_owned()
        } else {
            return None;
        };
        Some(format!("{}: {problem}", self.name))
    }
}

/// A request that a server received.
struct Received {
    id: String,
}

/// The ports of an instance.
struct Addrs {
    traffic: SocketAddr,
    forwarded: SocketAddr,
}

impl Addrs {
    fn of(instance: &Instance) -> Addrs {
        let forwarded = SocketAddr::new(instance.traffic_addr.ip(), PEER_PORT + 1);
        Addrs { traffic: instance.traffic_addr, forwarded }
    }
}

/// Starts a cluster with a route for each row.
async fn start(rows: &[Row]) -> TestCluster {
    let mut cluster = TestCluster::start(SERVERS).await;
    cluster.update_config(|config| {
        for row in rows {
            match row.is_write {
                true => config.extra_write_prefixes.push(row.prefix()),
                false => config.extra_prefixes.push(row.prefix()),
            }
            config.timeouts_ms.insert(row.prefix(), row.timeout);
        }
    });
    cluster
}

/// Lets the instance serve one request of each route that it is to know.
async fn teach(rows: &[Row], addrs: &Addrs) {
    let known = rows.iter().filter(|row| row.is_known && row.expected != TimedOut);
    let sends = known.map(|row| async move {
        let row = Row { way: Way::New, ..*row };
        let mut client = Client::connect(addrs.traffic).await;
        client.send(&row.request(&format!("{}-before", row.name), "body")).await;
        let response = client.response().await.unwrap();
        assert_eq!(response.status, 200, "{}", row.name);
    });
    futures_util::future::join_all(sends).await;
}

fn received(cluster: &TestCluster) -> Vec<Received> {
    let received = cluster.backends.iter().flat_map(FakeBackend::received);
    received.map(|request| Received { id: request.id }).collect()
}

/// Plays the rows around a stop that the instance learns of at `signal_at`, `late_by` after it was
/// requested. Returns what is wrong with them, and when the instance ended.
async fn play(
    cluster: &TestCluster,
    instance: Instance,
    rows: &[Row],
    signal_at: Instant,
    late_by: Duration,
) -> (Vec<String>, Duration) {
    let addrs = Addrs::of(&instance);
    let stop = async {
        time::sleep_until(signal_at.into()).await;
        instance.stopper.stop_since(signal_at - late_by);
        let thread = instance.thread;
        tokio::task::spawn_blocking(move || thread.join().unwrap()).await.unwrap();
        signal_at.elapsed()
    };
    let sends = rows.iter().map(|row| row.send(&addrs, signal_at));
    let (ended, responses) = tokio::join!(stop, futures_util::future::join_all(sends));
    let received = received(cluster);
    let pairs = rows.iter().zip(&responses);
    (pairs.filter_map(|(row, response)| row.problem(response.as_ref(), &received)).collect(), ended)
}

/// Plays the rows around the stop of an instance that knows their routes.
async fn play_known(rows: &[Row], late_by: Duration) -> (Vec<String>, Duration) {
    let cluster = start(rows).await;
    let instance = cluster.start_ready_instance(1).await;
    teach(rows, &Addrs::of(&instance)).await;
    play(&cluster, instance, rows, Instant::now() + BEFORE_SIGNAL, late_by).await
}

/// Guards against cutting a request that is read after the signal and cannot end before the process
/// does, and against refusing one that can.
#[tokio::test]
async fn request_read_after_the_signal_is_served_or_refused() {
    let names: BTreeSet<&str> = ROWS.iter().map(|row| row.name).collect();
    assert_eq!(names.len(), ROWS.len());
    let (problems, ended) = play_known(ROWS, Duration::ZERO).await;
    assert!(problems.is_empty(), "{problems:#?}");
    assert!(ended < GRACE_PERIOD, "{ended:?}");
}

/// Guards against a grace period that starts when the signal is handled, not when it was sent.
#[tokio::test]
async fn signal_that_is_handled_late_leaves_less_time() {
    const LATE_BY: Duration = Duration::from_secs(2);
    let rows = [
        Row { name: "fits", sent_at: 500, work: 2_500, ..ROW },
        Row { name: "too-long", sent_at: 500, work: 4_000, expected: Refused, ..ROW },
    ];
    let (problems, ended) = play_known(&rows, LATE_BY).await;
    assert!(problems.is_empty(), "{problems:#?}");
    assert!(ended < GRACE_PERIOD - LATE_BY, "{ended:?}");
}

/// Guards against a process that is killed since it has not noticed that the grace period was made
/// shorter, before the stop or during it, and against one that relies on a longer one.
#[tokio::test]
async fn shortest_grace_period_of_a_stop_counts() {
    // When it changes, in milliseconds after 50 ms before the signal.
    let cases = [(0, 4, 4), (350, 5, 5), (350, 9, 6)];
    let plays = cases.map(|(changed_at_ms, grace_period_s, expected_s)| async move {
        let mut rows = vec![
            Row { name: "fits", sent_at: 2_400, work: 1_200, ..ROW },
            Row { name: "too-long", sent_at: 2_400, work: 3_600, expected: Refused, ..ROW },
        ];
        if changed_at_ms == 0 {
            let early = Row { name: "early", sent_at: 100, work: 4_500, expected: Refused, ..ROW };
            rows.push(early);
        }
        let cluster = start(&rows).await;
        let instance = cluster.start_ready_instance(1).await;
        teach(&rows, &Addrs::of(&instance)).await;
        let signal_at = Instant::now() + BEFORE_SIGNAL;
        let change = async {
            let from = signal_at - Duration::from_millis(50);
            time::sleep_until((from + Duration::from_millis(changed_at_ms)).into()).await;
            let line = format!("terms.bounds.graceS={grace_period_s}\n");
            std::fs::write(cluster.settings_file(1), cluster.settings_text(1) + &line).unwrap();
        };
        let played = play(&cluster, instance, &rows, signal_at, Duration::ZERO);
        let ((problems, ended), ()) = tokio::join!(played, change);
        let is_in_time = ended < Duration::from_secs(expected_s);
        match problems.is_empty() && is_in_time {
            true => None,
            false => Some(format!("{grace_period_s} s: {problems:?}, ended after {ended:?}")),
        }
    });
    let problems = futures_util::future::join_all(plays).await;
    assert!(problems.iter().all(Option::is_none), "{problems:#?}");
}

/// Guards against leaving the client of a refused request on a connection that is about to be closed,
/// and against a refusal that its log line does not explain.
#[tokio::test]
async fn refusal_at_a_stop_closes_its_connection() {
    let row = Row { name: "long", sent_at: 2_000, work: 4_500, expected: Refused, ..ROW };
    let cluster = start(&[row]).await;
    let instance = cluster.start_ready_instance(1).await;
    let addrs = Addrs::of(&instance);
    teach(&[row], &addrs).await;
    instance.stopper.stop();
    let response = row.send(&addrs, Instant::now()).await.unwrap();
    assert_eq!((response.status, response.header("connection")), (503, Some("close")));
    assert_eq!(response.header("retry-after"), Some("0.000"));
    let metrics = get(instance.metrics_addr, "/metrics").await.unwrap().body;
    let refused = "route=\"r-long-\",code=\"stopping\"} 1";
    assert!(metrics.contains(refused), "{metrics}");
}

/// Guards against closing a connection behind the first of several requests on it, while the others
/// are being executed or have been read.
#[tokio::test]
async fn pipelined_requests_are_answered_to_the_last() {
    let row = Row { name: "reads", is_write: false, work: 600, ..ROW };
    let cluster = start(&[row]).await;
    let instance = cluster.start_ready_instance(1).await;
    let read = |number| row.request(&format!("r{number}"), "");
    let write = post_request("/write/x", "w", "body");
    // Reads start at once, what is behind a write when it has its response.
    for (texts, sent_after_signal) in
        [([read(0), read(1), read(2)], false), ([read(3), write, read(4)], true)]
    {
        let mut client = Client::connect(instance.traffic_addr).await;
        if sent_after_signal {
            instance.stopper.stop();
        }
        client.send(&texts.concat()).await;
        time::sleep(Duration::from_millis(100)).await;
        instance.stopper.stop();
        for last in [false, false, true] {
            let response = client.response().await.unwrap();
            let is_closed = response.header("connection") == Some("close");
            assert_eq!((response.status, is_closed), (200, last));
        }
        assert!(client.response().await.is_none());
    }
}
/// Guards against ending while the response to a forwarded request is being sent.
#[tokio::test]
async fn forwarded_response_is_sent_to_its_end() {
    let rows = [Row { way: Way::Forwarded, sent_at: 2_800, work: 1_500, is_streamed: true, ..ROW }];
    let rows = rows.map(|row| Row { name: "streamed", ..row });
    let (problems, _) = play_known(&rows, Duration::ZERO).await;
    assert!(problems.is_empty(), "{problems:#?}");
}
