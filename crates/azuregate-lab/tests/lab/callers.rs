//! How callers of the load tool behave towards what an entry instance answers.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use azuregate_core::names::ServiceName;
use azuregate_lab::load::{self, Config, Ending};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// What the entry instance answers to a request for a service.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Own,
    OfAnother,
    NotRun,
    Unknown,
    BackendError,
    Cut,
    /// Refuses as not run at first.
    SecondTime,
}

#[derive(Debug, Default)]
struct Seen {
    connections: AtomicU64,
    lists: AtomicU64,
    requests: AtomicU64,
}

async fn entry(kind: Kind) -> (SocketAddr, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let counted = Arc::clone(&seen);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            seen.connections.fetch_add(1, Ordering::Relaxed);
            let seen = Arc::clone(&seen);
            tokio::spawn(async move {
                let service = service_fn(|request| answer(kind, addr, &seen, request));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    (addr, counted)
}

async fn answer(
    kind: Kind,
    addr: SocketAddr,
    seen: &Seen,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == "/v1/entries" {
        seen.lists.fetch_add(1, Ordering::Relaxed);
        let list = serde_json::json!({
            "service": "s",
            "entries": [{ "id": "e", "addr": addr, "zone": "z" }],
        });
        return Ok(Response::new(Full::from(list.to_string())));
    }
    let count = seen.requests.fetch_add(1, Ordering::Relaxed);
    let name = request.headers()["azuregate-request-id"].to_str().unwrap().to_owned();
    let bytes = request.into_body().collect().await.unwrap().to_bytes().len();
    let own = format!("b answers / after {bytes} bytes for {name}\n");
    let refusal = |status: u16, outcome: &str| {
        Response::builder()
            .status(status)
            .header("azuregate-outcome", outcome)
            .header("retry-after", "0")
            .body(Full::default())
            .unwrap()
    };
    Ok(match kind {
        Kind::Own => Response::new(Full::from(own)),
        Kind::OfAnother => Response::new(Full::from("b answers / after 0 bytes for another\n")),
        Kind::NotRun => refusal(503, "not-run"),
        Kind::Unknown => refusal(502, "unknown"),
        Kind::BackendError => Response::builder().status(500).body(Full::default()).unwrap(),
        Kind::Cut => {
            Response::builder().header("content-length", 5).body(Full::from("b a")).unwrap()
        }
        Kind::SecondTime if count == 0 => refusal(503, "not-run"),
        Kind::SecondTime => Response::new(Full::from(own)),
    })
}

fn config(at: SocketAddr) -> Config {
    let mut config = Config::new(at, &ServiceName::new("s"));
    config.rate_per_s = 100.0;
    config.duration_ms = 300;
    config
}

#[tokio::test]
async fn an_answer_is_taken_for_what_it_is() {
    let refused = |status, outcome: &str| Ending::Refused { status, outcome: outcome.to_owned() };
    // The answer, whether callers come back, how a request ends, how often it
    // was sent.
    let table = [
        (Kind::Own, 0, Ending::Answered, 1),
        (Kind::OfAnother, 0, Ending::MixedUp, 1),
        (Kind::NotRun, 0, refused(503, "not-run"), 1),
        (Kind::NotRun, 3, refused(503, "not-run"), 4),
        // What may have run is never sent again.
        (Kind::Unknown, 3, refused(502, "unknown"), 1),
        (Kind::BackendError, 3, refused(500, "backend"), 1),
        (Kind::SecondTime, 3, Ending::Answered, 2),
    ];
    for (kind, retries, ending, tries) in table {
        let (addr, _) = entry(kind).await;
        let mut config = config(addr);
        config.retries = retries;
        config.upload_percent = 20;
        let ended = load::run(&config).await.unwrap();
        let first = ended.iter().max_by_key(|request| request.tries).unwrap();
        assert_eq!((&first.ending, first.tries), (&ending, tries), "{kind:?} {retries}");
    }
}

#[tokio::test]
async fn an_answer_cut_short_is_a_failure() {
    let (addr, _) = entry(Kind::Cut).await;
    let ended = load::run(&config(addr)).await.unwrap();
    assert!(!ended.is_empty());
    for request in ended {
        assert!(matches!(request.ending, Ending::Failed(_)), "{request:?}");
    }
}

#[tokio::test]
async fn callers_keep_the_list_and_their_connections() {
    let (addr, seen) = entry(Kind::Own).await;
    let ended = load::run(&config(addr)).await.unwrap();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    assert_eq!(count(&seen.requests), ended.len() as u64);
    // Ten callers at the one place ask at the start, and at most once more
    // within the max-age, since they renew at times spread over it.
    assert!((10..=20).contains(&count(&seen.lists)), "{seen:?}");
    assert!(count(&seen.connections) < 15, "{seen:?}");
}

#[tokio::test]
async fn the_same_seed_gives_the_same_arrivals() {
    let (addr, _) = entry(Kind::Own).await;
    let key = |ended: Vec<load::Ended>| {
        let mut all: Vec<_> = ended.into_iter().map(|r| (r.due_ms, r.name, r.class)).collect();
        all.sort();
        all
    };
    let first = key(load::run(&config(addr)).await.unwrap());
    let second = key(load::run(&config(addr)).await.unwrap());
    assert_eq!(first, second);
}
