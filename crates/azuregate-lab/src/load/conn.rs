//! Persistent connections of a caller.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;

/// A connection to an entry instance.
pub(crate) struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
}

/// A request that got no complete response.
pub(crate) enum SendError {
    /// Nothing was sent; holds the request.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request was sent, at least in part; holds the reason.
    Interrupted(String),
}

impl Conn {
    /// Opens a connection, bound to `from` if given.
    pub(crate) async fn open(from: Option<IpAddr>, to: SocketAddr) -> io::Result<Conn> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(ip) = from {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(conn);
        Ok(Conn { sender })
    }

    /// Returns whether another request can be sent.
    pub(crate) fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent(Box::new(request)));
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => match e.take_message() {
                Some(request) => return Err(SendError::Unsent(Box::new(request))),
                None => return Err(SendError::Interrupted(reason(&e.into_error()))),
            },
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| SendError::Interrupted(reason(&e)))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Returns a short reason, the same for all errors of a kind.
fn reason(e: &hyper::Error) -> String {
    let reason = if e.is_incomplete_message() || e.is_body_write_aborted() {
        "cut short"
    } else if e.is_canceled() || e.is_closed() {
        "closed"
    } else {
        "broken"
    };
    reason.to_owned()
}
