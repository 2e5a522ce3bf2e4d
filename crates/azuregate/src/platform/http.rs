//! A client of the platform over HTTP and JSON; docs/PLATFORM.md describes the calls.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use azuregate_core::snapshot::InstanceList;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{self, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::platform::{
    Changes, Commit, Effect, Platform, PlatformError, Result, Row, Table, Write,
};

/// A call whose response body is larger fails.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of the platform at one address, with a timeout for each call.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    timeout_ms: u64,
    client: Client<HttpConnector, Full<Bytes>>,
    cached_list: Arc<Mutex<Option<CachedList>>>,
}

/// The instance list that was read last, and its `ETag`.
///
/// The list is large (0.6 MB with 680 instances and 3,360 backend servers) and
/// seldom changes. Reading it whole at each poll would take more bandwidth than all
/// other control traffic together.
#[derive(Debug)]
struct CachedList {
    etag: HeaderValue,
    list: InstanceList,
}

/// The body of a call of `/v1/transact`.
#[derive(Debug, Serialize)]
struct Transaction<'a> {
    writes: &'a [Write],
}

struct Reply {
    status: StatusCode,
    etag: Option<HeaderValue>,
    bytes: Bytes,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`, whose calls fail after
    /// `timeout_ms`.
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> HttpPlatform {
        HttpPlatform::with_connector(addr, timeout_ms, HttpConnector::new())
    }

    /// Creates a client that calls from the IP address `local_ip`.
    pub fn with_local_ip(local_ip: IpAddr, addr: SocketAddr, timeout_ms: u64) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_local_address(Some(local_ip));
        HttpPlatform::with_connector(addr, timeout_ms, connector)
    }

    fn with_connector(
        addr: SocketAddr,
        timeout_ms: u64,
        mut connector: HttpConnector,
    ) -> HttpPlatform {
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        HttpPlatform { addr, timeout_ms, client, cached_list: Arc::default() }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Reply> {
        self.call_conditional(method, path, body, None).await
    }

    /// Makes a call that gets 304 and no body if the `ETag` is still `if_none_match`.
    async fn call_conditional(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        if_none_match: Option<HeaderValue>,
    ) -> Result<Reply> {
        let what = format!("{method} {path}");
        let call = self.send(method, path, body, if_none_match);
        // After a timeout, the call may or may not have taken effect.
        let Ok(reply) = time::timeout(Duration::from_millis(self.timeout_ms), call).await else {
            let detail = format!("{what}: no answer within {} ms", self.timeout_ms);
            return Err(PlatformError::new(Effect::Unknown, detail));
        };
        let reply =
            reply.map_err(|e| PlatformError::new(e.effect, format!("{what}: {}", e.detail)))?;
        match reply.status {
            StatusCode::OK
            | StatusCode::NOT_FOUND
            | StatusCode::CONFLICT
            | StatusCode::NOT_MODIFIED => Ok(reply),
            // The platform guarantees that refused calls have no effect.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::new(Effect::None, format!("{what}: refused: {}", reply.status)))
            }
            status => Err(PlatformError::new(Effect::Unknown, format!("{what}: {status}"))),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        if_none_match: Option<HeaderValue>,
    ) -> Result<Reply> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .body(Full::new(body))
            .map_err(|e| PlatformError::new(Effect::None, e.to_string()))?;
        if let Some(if_none_match) = if_none_match {
            request.headers_mut().insert(header::IF_NONE_MATCH, if_none_match);
        }
        let response = self.client.request(request).await.map_err(|e| {
            let effect = if e.is_connect() { Effect::None } else { Effect::Unknown };
            PlatformError::new(effect, error_chain(&e))
        })?;
        let status = response.status();
        let etag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let bytes =
            body.map_err(|e| PlatformError::new(Effect::Unknown, e.to_string()))?.to_bytes();
        Ok(Reply { status, etag, bytes })
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}

fn parse<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|e| {
        let detail = format!("{what}: invalid response body: {e}");
        PlatformError::new(Effect::Unknown, detail)
    })
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>> {
        let path = format!("/v1/tables/{}/rows/{}", table.as_str(), encode_path_segment(key));
        let reply = self.call(Method::GET, &path, Bytes::new()).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse("read", &reply.bytes).map(Some)
    }

    async fn changes(&self, table: Table, since_sequence: u64) -> Result<Changes> {
        let path = format!("/v1/tables/{}/changes?since={since_sequence}", table.as_str());
        let reply = self.call(Method::GET, &path, Bytes::new()).await?;
        parse("changes", &reply.bytes)
    }

    async fn page(&self, table: Table, since_sequence: u64, limit: usize) -> Result<Changes> {
        let table = table.as_str();
        let path = format!("/v1/tables/{table}/changes?since={since_sequence}&limit={limit}");
        let reply = self.call(Method::GET, &path, Bytes::new()).await?;
        parse("page", &reply.bytes)
    }

    async fn transact(&self, writes: &[Write]) -> Result<Commit> {
        let body = serde_json::to_vec(&Transaction { writes })
            .map_err(|e| PlatformError::new(Effect::None, e.to_string()))?;
        let reply = self.call(Method::POST, "/v1/transact", Bytes::from(body)).await?;
        parse("transact", &reply.bytes)
    }

    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        let path = format!("/v1/objects/{}", encode_path_segment(name));
        let reply = self.call(Method::PUT, &path, bytes).await?;
        if reply.status == StatusCode::OK {
            return Ok(());
        }
        Err(PlatformError::new(Effect::Unknown, format!("PUT {path}: {}", reply.status)))
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        let path = format!("/v1/objects/{}", encode_path_segment(name));
        let reply = self.call(Method::GET, &path, Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.bytes)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::new(Effect::None, format!("GET {path}: {status}"))),
        }
    }

    async fn instances(&self) -> Result<InstanceList> {
        let if_none_match = self.cached_list().as_ref().map(|cached_list| cached_list.etag.clone());
        let reply = self
            .call_conditional(Method::GET, "/v1/instances", Bytes::new(), if_none_match)
            .await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return self
                .cached_list()
                .as_ref()
                .map(|cached_list| cached_list.list.clone())
                .ok_or_else(|| {
                    PlatformError::new(Effect::None, "instances: status 304, but no list is cached")
                });
        }
        let list: InstanceList = parse("instances", &reply.bytes)?;
        *self.cached_list() = reply.etag.map(|etag| CachedList { etag, list: list.clone() });
        Ok(list)
    }
}

impl HttpPlatform {
    fn cached_list(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.cached_list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Percent-encodes a key as one segment of a path.
fn encode_path_segment(key: &str) -> String {
    percent_encoding::utf8_percent_encode(key, percent_encoding::NON_ALPHANUMERIC).to_string()
}
