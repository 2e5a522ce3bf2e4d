//! A fake of the platform's store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use tokio::{net::TcpListener, sync::watch, time};

use super::rows::Rows;

/// A fault that the fake injects into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls have no effect and get this status.
    ErrorStatus(u16),
    /// Calls have no effect and never get a response.
    Hang,
    /// Calls take effect and the connection is closed without a response.
    DropResponse,
}

/// A fake store that keeps rows in memory.
#[derive(Clone)]
pub struct FakeStore {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    rows: Mutex<Rows>,
    fault: Mutex<StoreFault>,
    page_size: Mutex<usize>,
    calls: Mutex<Vec<String>>,
    changed: watch::Sender<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeStore {
    /// Starts an empty store at the loopback address `ip`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be opened.
    pub async fn start(ip: &str) -> FakeStore {
        let listener = TcpListener::bind((ip, 0)).await.expect("a loopback port is free");
        let addr = listener.local_addr().expect("the port is open");
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            fault: Mutex::default(),
            page_size: Mutex::new(500),
            calls: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        FakeStore { addr, shared }
    }

    /// Returns the store's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: impl Into<Vec<u8>>) {
        lock(&self.shared.rows).put(table, key, value.into());
        self.shared.changed.send_replace(());
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.shared.rows).remove(table, key);
        self.shared.changed.send_replace(());
    }

    /// Discards the history, so that clients must read their tables again.
    pub fn discard_history(&self) {
        lock(&self.shared.rows).discard_history();
        self.shared.changed.send_replace(());
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        lock(&self.shared.rows).keys(table)
    }

    /// Returns the value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared.rows).value(table, key)
    }

    /// Injects a fault into further calls and into those that are waiting.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.shared.fault) = fault;
        self.shared.changed.send_replace(());
    }

    /// Sets the maximum number of rows per response.
    pub fn set_page_size(&self, rows: usize) {
        *lock(&self.shared.page_size) = rows;
    }

    /// Returns the paths and queries of all calls so far.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.shared.calls).clone()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(Arc::clone(&shared), request));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Makes hyper close the connection without a response.
#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response dropped")
    }
}

impl std::error::Error for ResponseDropped {}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ResponseDropped> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    lock(&shared.calls).push(format!("{path}?{query}"));
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(ResponseDropped),
    };
    if path == "/-/rows-feed" && *lock(&shared.fault) == StoreFault::None {
        wait_for_change(&shared, &query).await;
    }
    let fault = *lock(&shared.fault);
    match fault {
        StoreFault::None => Ok(execute(&shared, &path, &query, &body)),
        StoreFault::ErrorStatus(status) => Ok(response(status, Bytes::new())),
        StoreFault::Hang => std::future::pending().await,
        StoreFault::DropResponse => {
            execute(&shared, &path, &query, &body);
            Err(ResponseDropped)
        }
    }
}

fn execute(shared: &Shared, path: &str, query: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let table = field(query, "table");
    match path {
        "/-/rows-get" => {
            let limit = *lock(&shared.page_size);
            let rows = lock(&shared.rows).read(&table, &field(query, "from"), limit);
            response(200, Bytes::from(rows.to_string()))
        }
        "/-/rows-feed" => match lock(&shared.rows).changes(&table, after(query)) {
            Some(rows) => response(200, Bytes::from(rows.to_string())),
            None => response(410, Bytes::new()),
        },
        "/-/rows-tx" => transact(shared, body),
        _ => response(404, Bytes::new()),
    }
}

async fn wait_for_change(shared: &Shared, query: &str) {
    let (table, after) = (field(query, "table"), after(query));
    let wait_ms = field(query, "waitMs").parse().unwrap_or(0);
    let mut changed = shared.changed.subscribe();
    let waiting = async {
        while !lock(&shared.rows).has_changes(&table, after)
            && *lock(&shared.fault) == StoreFault::None
        {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = time::timeout(Duration::from_millis(wait_ms), waiting).await;
}

fn transact(shared: &Shared, body: &[u8]) -> Response<Full<Bytes>> {
    let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
        return response(400, Bytes::new());
    };
    let mut rows = lock(&shared.rows);
    let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    for put in entries("puts") {
        let value = STANDARD.decode(put["value"].as_str().unwrap_or_default()).unwrap_or_default();
        let (table, key) = (put["table"].as_str(), put["key"].as_str());
        rows.put(table.unwrap_or_default(), key.unwrap_or_default(), value);
    }
    for removed in entries("remove") {
        let (table, key) = (removed["table"].as_str(), removed["key"].as_str());
        rows.remove(table.unwrap_or_default(), key.unwrap_or_default());
    }
    let version = rows.version();
    drop(rows);
    shared.changed.send_replace(());
    response(200, Bytes::from(format!("{{\"ver\":{version},\"nowS\":1.0}}")))
}

fn after(query: &str) -> u64 {
    field(query, "after").parse().unwrap_or(0)
}

fn field(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|&(key, _)| key == name).map(|(_, value)| value).next();
    percent_decode_str(value.unwrap_or_default()).decode_utf8_lossy().into_owned()
}

fn response(status: u16, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
    response
}
