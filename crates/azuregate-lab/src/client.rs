//! A plain HTTP client for callers and for the lab's own control paths.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What went wrong with a call.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// When the connection cannot be opened, or the answer is cut short.
pub async fn call(
    addr: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ClientError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let conn = tokio::spawn(conn);
    if !request.headers().contains_key(hyper::header::HOST) {
        let host = addr.to_string().parse()?;
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    drop(sender);
    conn.abort();
    Ok(Response::from_parts(head, bytes))
}

/// Reads a path with `GET`.
///
/// # Errors
///
/// As [`call`].
pub async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>, ClientError> {
    call(addr, Request::get(path).body(Full::default())?).await
}

/// Sends JSON with `POST`.
///
/// # Errors
///
/// As [`call`].
pub async fn post_json(
    addr: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<Response<Bytes>, ClientError> {
    let json = serde_json::to_vec(value)?;
    call(addr, Request::post(path).body(Full::from(json))?).await
}
