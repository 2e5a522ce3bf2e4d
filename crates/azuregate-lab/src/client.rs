//! A minimal HTTP client, for callers and for the control paths of simulators.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The error of a call.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// Sends one request on its own connection and reads the complete response.
///
/// # Errors
///
/// When the connection cannot be opened or closes before the response is complete.
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

/// Sends a `GET` request.
///
/// # Errors
///
/// As [`call`].
pub async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>, ClientError> {
    call(addr, Request::get(path).body(Full::default())?).await
}

/// Sends a `POST` request with `value` as JSON.
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
