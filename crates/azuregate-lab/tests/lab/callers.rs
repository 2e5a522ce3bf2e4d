//! Tests of how the load tool's callers handle the responses of entry instances.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use azuregate_core::names::ServiceName;
use azuregate_lab::load::{self, Config, RequestOutcome};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// How the simulated entry instance responds to requests for a service.
#[derive(Clone, Copy, Debug)]
enum ResponseKind {
    Matching,
    Mismatched,
    NotRun,
    Unknown,
    BackendError,
    Truncated,
    /// Rejects the first request as not run and answers later ones.
    NotRunOnce,
}

#[derive(Debug, Default)]
struct RequestCounts {
    connections: AtomicU64,
    lists: AtomicU64,
    requests: AtomicU64,
}

async fn start_entry(kind: ResponseKind) -> (SocketAddr, Arc<RequestCounts>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counts = Arc::new(RequestCounts::default());
    let shared_counts = Arc::clone(&counts);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            counts.connections.fetch_add(1, Ordering::Relaxed);
            let counts = Arc::clone(&counts);
            tokio::spawn(async move {
                let service = service_fn(|request| respond(kind, addr, &counts, request));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    (addr, shared_counts)
}

async fn respond(
    kind: ResponseKind,
    addr: SocketAddr,
    counts: &RequestCounts,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == "/v1/entries" {
        counts.lists.fetch_add(1, Ordering::Relaxed);
        let list = serde_json::json!({
            "service": "s",
            "entries": [{ "id": "e", "addr": addr, "zone": "z" }],
        });
        return Ok(Response::new(Full::from(list.to_string())));
    }
    let count = counts.requests.fetch_add(1, Ordering::Relaxed);
    let name = request.headers()["azuregate-request-id"].to_str().unwrap().to_owned();
    let bytes = request.into_body().collect().await.unwrap().to_bytes().len();
    let matching = format!("b answers / after {bytes} bytes for {name}\n");
    let rejection = |status: u16, outcome: &str| {
        Response::builder()
            .status(status)
            .header("azuregate-outcome", outcome)
            .header("retry-after", "0")
            .body(Full::default())
            .unwrap()
    };
    Ok(match kind {
        ResponseKind::Matching => Response::new(Full::from(matching)),
        ResponseKind::Mismatched => {
            Response::new(Full::from("b answers / after 0 bytes for another\n"))
        }
        ResponseKind::NotRun => rejection(503, "not-run"),
        ResponseKind::Unknown => rejection(502, "unknown"),
        ResponseKind::BackendError => {
            Response::builder().status(500).body(Full::default()).unwrap()
        }
        ResponseKind::Truncated => {
            Response::builder().header("content-length", 5).body(Full::from("b a")).unwrap()
        }
        ResponseKind::NotRunOnce if count == 0 => rejection(503, "not-run"),
        ResponseKind::NotRunOnce => Response::new(Full::from(matching)),
    })
}

fn config(at: SocketAddr) -> Config {
    let mut config = Config::new(at, &ServiceName::new("s"));
    config.rate_per_s = 100.0;
    config.duration_ms = 300;
    config
}

#[tokio::test]
async fn responses_are_classified() {
    let refused =
        |status, outcome: &str| RequestOutcome::Refused { status, outcome: outcome.to_owned() };
    // Response, maximum number of retries, ending, number of tries.
    let table = [
        (ResponseKind::Matching, 0, RequestOutcome::Answered, 1),
        (ResponseKind::Mismatched, 0, RequestOutcome::MixedUp, 1),
        (ResponseKind::NotRun, 0, refused(503, "not-run"), 1),
        (ResponseKind::NotRun, 3, refused(503, "not-run"), 4),
        // A request that may have run must not be retried.
        (ResponseKind::Unknown, 3, refused(502, "unknown"), 1),
        (ResponseKind::BackendError, 3, refused(500, "backend"), 1),
        (ResponseKind::NotRunOnce, 3, RequestOutcome::Answered, 2),
    ];
    for (kind, retries, ending, tries) in table {
        let (addr, _) = start_entry(kind).await;
        let mut config = config(addr);
        config.retries = retries;
        config.upload_percent = 20;
        let ended = load::run(&config).await.unwrap();
        let first = ended.iter().max_by_key(|request| request.tries).unwrap();
        assert_eq!((&first.ending, first.tries), (&ending, tries), "{kind:?} {retries}");
    }
}

#[tokio::test]
async fn truncated_responses_are_failures() {
    let (addr, _) = start_entry(ResponseKind::Truncated).await;
    let ended = load::run(&config(addr)).await.unwrap();
    assert!(!ended.is_empty());
    for request in ended {
        assert!(matches!(request.ending, RequestOutcome::Failed(_)), "{request:?}");
    }
}

#[tokio::test]
async fn callers_reuse_entry_lists_and_connections() {
    let (addr, counts) = start_entry(ResponseKind::Matching).await;
    let ended = load::run(&config(addr)).await.unwrap();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    assert_eq!(count(&counts.requests), ended.len() as u64);
    // Each of the ten callers fetches the list at the start, and at most once more
    // within its max-age.
    assert!((10..=20).contains(&count(&counts.lists)), "{counts:?}");
    assert!(count(&counts.connections) < 15, "{counts:?}");
}

#[tokio::test]
async fn the_same_seed_gives_the_same_arrivals() {
    let (addr, _) = start_entry(ResponseKind::Matching).await;
    let key = |ended: Vec<load::RequestRecord>| {
        let mut all: Vec<_> = ended.into_iter().map(|r| (r.due_ms, r.name, r.class)).collect();
        all.sort();
        all
    };
    let first = key(load::run(&config(addr)).await.unwrap());
    let second = key(load::run(&config(addr)).await.unwrap());
    assert_eq!(first, second);
}
