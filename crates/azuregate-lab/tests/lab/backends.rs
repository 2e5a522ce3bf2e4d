//! Tests of the simulated backend server and its behaviours.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use azuregate_lab::{
    backends::{Backend, Behaviour, Distribution, serve},
    client::{self, ClientError},
    example::Example,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::examples;

/// Time without a response after which a server counts as silent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

async fn start(connections: usize, behaviour: Behaviour) -> (Arc<Backend>, SocketAddr) {
    let example: Example = examples::load("kvas");
    let server = example.backends(&example.services[0])[0].clone();
    let backend = Arc::new(Backend::new(server, connections, behaviour, 1));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, Arc::clone(&backend)));
    (backend, addr)
}

fn request(name: &str) -> Request<Full<Bytes>> {
    Request::post("/orders")
        .header("azuregate-request-id", name)
        .header("idempotency-key", format!("key-{name}"))
        .body(Full::from("order"))
        .unwrap()
}

async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<String, String> {
    match tokio::time::timeout(RESPONSE_TIMEOUT, client::call(addr, request)).await {
        Ok(Ok(answer)) => Ok(summary(&answer)),
        Ok(Err(_)) => Err("incomplete response".to_owned()),
        Err(_) => Err("silent".to_owned()),
    }
}

fn summary(answer: &Response<Bytes>) -> String {
    let header = |name| {
        let value = answer.headers().get(name).map(|value| value.to_str().unwrap());
        value.unwrap_or("-").to_owned()
    };
    format!(
        "{} {} {} {}",
        answer.status().as_u16(),
        header("backend-outcome"),
        header("backend-load"),
        header("connection")
    )
}

#[tokio::test]
async fn behaviour_determines_the_outcome_of_a_request() {
    let quick = || Behaviour { service_ms: 5, ..Behaviour::default() };
    let table = [
        ("well", quick(), Ok("200 - 0/3 -"), 1),
        (
            "exponential",
            Behaviour { distribution: Distribution::Exponential, ..quick() },
            Ok("200 - 0/3 -"),
            1,
        ),
        ("shed", Behaviour { shed: true, ..quick() }, Ok("503 not-run 0/3 -"), 0),
        ("leaving", Behaviour { leaving: true, ..quick() }, Ok("200 - 0/3 close"), 1),
        ("silent", Behaviour { silent: true, ..quick() }, Err("silent"), 0),
        ("cut", Behaviour { cut: true, ..quick() }, Err("incomplete response"), 1),
        ("false report", Behaviour { report_lie: Some(2), ..quick() }, Ok("200 - 2/3 -"), 1),
        ("past deadline", Behaviour { service_ms: 60_000, ..quick() }, Ok("504 - - -"), 1),
    ];
    for (case, behaviour, expected, runs) in table {
        let (backend, addr) = start(10, Behaviour::default()).await;
        let set = client::post_json(addr, "/lab/behaviour", &behaviour).await.unwrap();
        assert!(set.status().is_success(), "{case}");
        let mut request = request("r");
        request.headers_mut().insert("azuregate-timeout-ms", 100.into());
        let outcome = send(addr, request).await;
        assert_eq!(
            outcome.as_deref(),
            expected.map_err(ToOwned::to_owned).as_ref().map(|s| *s),
            "{case}"
        );
        let counts = backend.counts();
        assert_eq!(counts.ran.get("r").copied().unwrap_or(0), runs, "{case}");
        assert_eq!(counts.keys.get("key-r").copied().unwrap_or(0), runs, "{case}");
        assert_eq!(counts.stats.ran, runs, "{case}");
    }
}

#[tokio::test]
async fn requests_beyond_the_slots_are_rejected_without_running() {
    let (backend, addr) = start(10, Behaviour { service_ms: 700, ..Behaviour::default() }).await;
    let names = ["a", "b", "c", "d"];
    let tasks = names.map(|name| tokio::spawn(send(addr, request(name))));
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await.unwrap().unwrap()[..3].to_owned());
    }
    statuses.sort();
    assert_eq!(statuses, ["200", "200", "200", "503"]);
    let stats = backend.stats();
    assert_eq!((stats.arrived, stats.ran, stats.shed, stats.peak_in_use), (4, 3, 1, 3));
    assert_eq!(stats.completed, 3);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let (backend, addr) = start(1, Behaviour::default()).await;
    let connection = OpenConnection::new(addr).await;
    // The first connection is counted before the second is accepted.
    assert_eq!(send(addr, request("r")).await, Err("incomplete response".to_owned()));
    assert_eq!(backend.stats().connections_refused, 1);
    drop(connection);
}

/// A persistent connection.
struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl OpenConnection {
    async fn new(addr: SocketAddr) -> OpenConnection {
        let stream = TcpStream::connect(addr).await.unwrap();
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(conn);
        OpenConnection { sender }
    }

    async fn send(&mut self, name: &str) -> Result<u16, ClientError> {
        let mut request = request(name);
        request.headers_mut().insert("host", "lab".parse()?);
        let answer =
            tokio::time::timeout(RESPONSE_TIMEOUT, self.sender.send_request(request)).await??;
        let status = answer.status().as_u16();
        answer.into_body().collect().await?;
        Ok(status)
    }
}

// Simulates a middlebox that loses the state of open connections: their requests
// hang, while new connections work.
#[tokio::test]
async fn silence_affects_only_open_connections() {
    let (_backend, addr) = start(10, Behaviour::default()).await;
    let mut old = OpenConnection::new(addr).await;
    assert_eq!(old.send("before").await.unwrap(), 200);
    client::post_json(addr, "/lab/silence", &()).await.unwrap();
    assert!(old.send("after").await.is_err());
    assert_eq!(OpenConnection::new(addr).await.send("new").await.unwrap(), 200);
}

// A request whose caller disconnects must release its slot at once, not at the end
// of its service time.
#[tokio::test]
async fn closing_a_connection_releases_its_slot() {
    let (backend, addr) = start(10, Behaviour { service_ms: 60_000, ..Behaviour::default() }).await;
    let tasks = ["a", "b", "c"].map(|name| {
        tokio::spawn(async move {
            let mut open = OpenConnection::new(addr).await;
            let _ = open.send(name).await;
        })
    });
    for task in tasks {
        task.await.unwrap();
    }
    *backend.behaviour() = Behaviour::default();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(send(addr, request("d")).await, Ok("200 - 0/3 -".to_owned()));
    assert_eq!((backend.stats().cancelled, backend.stats().completed), (3, 1));
}

#[tokio::test]
async fn requests_that_find_cold_caches_are_slower() {
    let cold = Behaviour {
        cold_requests: 1,
        cold_extra_ms: 60_000,
        cold_after_idle_ms: 2_000,
        ..Behaviour::default()
    };
    let (_backend, addr) = start(10, cold).await;
    // Idle time before each request, and whether the request finds cold caches.
    for (idle_ms, slower) in [(0, true), (0, false), (2_100, true), (0, false)] {
        tokio::time::sleep(Duration::from_millis(idle_ms)).await;
        if !slower {
            assert_eq!(send(addr, request("r")).await, Ok("200 - 0/3 -".to_owned()));
            continue;
        }
        let wait = Duration::from_millis(200);
        // The request is cancelled, but it has warmed the caches.
        let timed_out = tokio::time::timeout(wait, send(addr, request("r"))).await;
        assert!(timed_out.is_err(), "after {idle_ms} ms");
    }
}

#[tokio::test]
async fn delayed_reports_show_earlier_load() {
    let lag = Behaviour { service_ms: 3_000, report_lag_ms: 1_000, ..Behaviour::default() };
    let (backend, addr) = start(10, lag).await;
    let busy = tokio::spawn(async move { client::call(addr, request("long")).await.is_ok() });
    tokio::time::sleep(Duration::from_millis(100)).await;
    backend.behaviour().shed = true;
    assert_eq!(send(addr, request("early")).await, Ok("503 not-run 0/3 -".to_owned()));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(send(addr, request("late")).await, Ok("503 not-run 1/3 -".to_owned()));
    assert!(busy.await.unwrap());
}

#[test]
fn service_times_have_the_configured_mean() {
    let mut rng = fastrand::Rng::with_seed(1);
    for distribution in [Distribution::Fixed, Distribution::Exponential, Distribution::TwoPoint] {
        let total: Duration = (0..20_000).map(|_| distribution.draw(20, &mut rng)).sum();
        let mean_ms = total.as_secs_f64() * 1_000.0 / 20_000.0;
        assert!((19.0..21.0).contains(&mean_ms), "{distribution:?}: {mean_ms}");
    }
}
