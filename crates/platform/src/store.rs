//! Client of the platform's store.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use azuregate_core::replica::{Changes, Row, Table};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode, body::Incoming, client::conn::http1::SendRequest, header,
};
use hyper_util::rt::TokioIo;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time};

/// Timeout for the head of a response, in addition to the requested wait, and for
/// each frame of its body. It does not apply to the whole response, since a large one
/// on a slow link would then never complete.
const RESPONSE_TIMEOUT_MS: u64 = 1_500;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL_S: u64 = 1;
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent data may remain unacknowledged.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;
/// Maximum size of a response body. The store limits a response to 1 MB before
/// Base64 encoding.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The table of quarantined requests, which is not replicated.
const QUARANTINE_TABLE: &str = "quarantine";

/// Returns the name of a table in the store.
fn table_name(table: Table) -> &'static str {
    match table {
        Table::Operator => "op",
        Table::Backends => "servers",
        Table::Members => "instances",
    }
}

/// An error of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the call with this HTTP status; the call had no effect.
    Refused(u16),
    /// The store no longer has the changes that a watch requested; the table must be
    /// read again.
    HistoryExpired,
    /// No response was received; the call may have taken effect, or may do so later.
    NoResponse(String),
    /// The response could not be decoded.
    InvalidResponse(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::HistoryExpired => {
                f.write_str("the requested changes are no longer available")
            }
            StoreError::NoResponse(detail) => write!(f, "no response: {detail}"),
            StoreError::InvalidResponse(detail) => write!(f, "invalid response: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// An error for a row that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError(String);

impl DecodeError {
    pub(crate) fn new(detail: &str) -> DecodeError {
        DecodeError(detail.to_owned())
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

pub(crate) fn decode_json<T: DeserializeOwned>(value: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(value).map_err(|e| DecodeError(e.to_string()))
}

#[derive(Deserialize)]
struct RowsPage {
    rows: Vec<PageRow>,
    ver: u64,
    /// Whether the table has more rows after the last one of this page.
    #[serde(default)]
    truncated: bool,
}

#[derive(Deserialize)]
struct PageRow {
    key: String,
    #[serde(default)]
    value: Option<String>,
    /// Whether the row was removed.
    #[serde(default)]
    tombstone: bool,
    #[serde(default)]
    ver: u64,
}

#[derive(Serialize)]
struct Transaction<'a> {
    precondition: [(); 0],
    puts: &'a [Put<'a>],
    remove: &'a [Key<'a>],
}

#[derive(Serialize)]
struct Put<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
struct Key<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// A client of the store, with one connection and one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
    response_at: Option<Instant>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`, which connects on first use.
    pub fn new(addr: SocketAddr) -> StoreClient {
        StoreClient { addr, connection: None, response_at: None }
    }

    /// Returns the time since the head of the last response arrived, in milliseconds.
    /// This is the age of its data, including the time that its body took to arrive.
    pub fn response_age_ms(&self) -> u64 {
        let age = self.response_at.map(|at| at.elapsed()).unwrap_or_default();
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Reads all rows of `table`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond with rows.
    pub async fn read(&mut self, table: Table) -> Result<Changes, StoreError> {
        self.read_rows(table_name(table)).await
    }

    /// Reads the rows of all quarantined requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond with rows.
    pub async fn read_quarantine(&mut self) -> Result<Vec<Row>, StoreError> {
        Ok(self.read_rows(QUARANTINE_TABLE).await?.rows)
    }

    async fn read_rows(&mut self, table: &str) -> Result<Changes, StoreError> {
        let mut all = Changes { is_whole: true, rows: Vec::new(), version: 0 };
        let mut from = String::new();
        let mut first_response_at = None;
        loop {
            let path = format!("/-/rows-get?table={table}&part=&from={from}");
            let body = self.call(Method::GET, &path, Bytes::new(), 0).await?;
            let page = parse_page(&body)?;
            // Pages may reflect different versions. Starting a watch from the version
            // of the first page misses no change.
            if all.rows.is_empty() {
                all.version = page.ver;
                first_response_at = self.response_at;
            }
            all.rows.extend(page.rows.into_iter().map(decode_row));
            let (true, Some(last)) = (page.truncated, all.rows.last()) else {
                self.response_at = first_response_at;
                return Ok(all);
            };
            // `from` is inclusive, so continue with the smallest key after `last`.
            from = utf8_percent_encode(&format!("{}\0", last.key), NON_ALPHANUMERIC).to_string();
        }
    }

    /// Waits at most `wait_ms` for rows of `table` that changed after `version`. Returns
    /// no rows if none changed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryExpired`] if the table must be read again, and
    /// another error if the store does not respond with rows.
    pub async fn watch(
        &mut self,
        table: Table,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, StoreError> {
        let path =
            format!("/-/rows-feed?table={}&after={version}&waitMs={wait_ms}", table_name(table));
        let body = self.call(Method::GET, &path, Bytes::new(), wait_ms).await?;
        let page = parse_page(&body)?;
        let rows = page.rows.into_iter().map(decode_row).collect();
        Ok(Changes { is_whole: false, rows, version: page.ver })
    }

    /// Writes one row.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write, which may have taken
    /// effect nevertheless. Writes are idempotent and may be repeated.
    pub async fn put(&mut self, table: Table, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.put_row(table_name(table), key, value).await
    }

    /// Removes one row, if it exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the removal, which may have taken
    /// effect nevertheless.
    pub async fn remove(&mut self, table: Table, key: &str) -> Result<(), StoreError> {
        self.remove_row(table_name(table), key).await
    }

    /// Writes the row of a quarantined request.
    ///
    /// # Errors
    ///
    /// As for [`put`](StoreClient::put).
    pub async fn put_quarantined(&mut self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.put_row(QUARANTINE_TABLE, key, value).await
    }

    /// Removes the row of a request that is not quarantined any more.
    ///
    /// # Errors
    ///
    /// As for [`remove`](StoreClient::remove).
    pub async fn remove_quarantined(&mut self, key: &str) -> Result<(), StoreError> {
        self.remove_row(QUARANTINE_TABLE, key).await
    }

    async fn put_row(&mut self, table: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let put = Put { table, part: "", key, value: STANDARD.encode(value) };
        self.transact(&Transaction { precondition: [], puts: &[put], remove: &[] }).await
    }

    async fn remove_row(&mut self, table: &str, key: &str) -> Result<(), StoreError> {
        let key = Key { table, part: "", key };
        self.transact(&Transaction { precondition: [], puts: &[], remove: &[key] }).await
    }

    async fn transact(&mut self, transaction: &Transaction<'_>) -> Result<(), StoreError> {
        let body = serde_json::to_vec(transaction).expect("strings always serialize to JSON");
        self.call(Method::POST, "/-/rows-tx", Bytes::from(body), 0).await.map(drop)
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Bytes, StoreError> {
        let result = self.call_once(method, path, body, wait_ms).await;
        if matches!(result, Err(StoreError::NoResponse(_) | StoreError::InvalidResponse(_))) {
            // Do not reuse the connection: it may be dead or deliver the response late.
            self.connection = None;
        }
        result
    }

    async fn call_once(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Bytes, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(no_response)?;
        let response = async {
            let connection = self.connection().await?;
            connection.send_request(request).await.map_err(no_response)
        };
        let response = with_timeout(RESPONSE_TIMEOUT_MS + wait_ms, response).await?;
        self.response_at = Some(Instant::now());
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(StoreError::HistoryExpired),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    async fn connection(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, StoreError> {
        let is_open = match &mut self.connection {
            Some(connection) => connection.ready().await.is_ok(),
            None => false,
        };
        if !is_open {
            self.connection = Some(connect(self.addr).await?);
        }
        self.connection.as_mut().ok_or_else(|| StoreError::NoResponse("not connected".to_owned()))
    }
}

async fn with_timeout<T>(
    timeout_ms: u64,
    response: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let result = time::timeout(Duration::from_millis(timeout_ms), response).await;
    result.unwrap_or_else(|_| Err(StoreError::NoResponse("timeout".to_owned())))
}

async fn read_body(incoming: Incoming) -> Result<Bytes, StoreError> {
    let mut incoming = Limited::new(incoming, MAX_RESPONSE_BYTES);
    let mut body = BytesMut::new();
    loop {
        let frame = async { incoming.frame().await.transpose().map_err(no_response) };
        let Some(frame) = with_timeout(RESPONSE_TIMEOUT_MS, frame).await? else {
            return Ok(body.freeze());
        };
        if let Ok(data) = frame.into_data() {
            body.extend_from_slice(&data);
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = time::timeout(limit, TcpStream::connect(addr))
        .await
        .map_err(|_| StoreError::NoResponse("timeout while connecting".to_owned()))?
        .map_err(no_response)?;
    enable_keepalive(&stream).map_err(no_response)?;
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(no_response)?;
    // The connection, and with it this task, ends when the sender is dropped.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Enables TCP keepalive, so that a connection whose peer is gone without a reset is
/// closed within seconds. A watch on it would otherwise miss all changes until its
/// wait time has passed.
fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let interval = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))?;
    stream.set_nodelay(true)
}

fn no_response(e: impl fmt::Display) -> StoreError {
    StoreError::NoResponse(e.to_string())
}

fn parse_page(body: &[u8]) -> Result<RowsPage, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::InvalidResponse(e.to_string()))
}

fn decode_row(row: PageRow) -> Row {
    let value = row.value.and_then(|text| String::from_utf8(STANDARD.decode(text).ok()?).ok());
    Row { key: row.key, value, is_removed: row.tombstone, version: row.ver }
}
