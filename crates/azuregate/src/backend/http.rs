//! Backend servers over HTTP/1.1.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use async_trait::async_trait;
use http_body_util::BodyExt;
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;

use crate::{
    backend::{BackendConn, BackendDialer, SendError},
    body::Body,
};

/// Dials backend servers by TCP, from this instance's own IP number.
#[derive(Clone, Copy, Debug)]
pub struct HttpDialer {
    /// The IP number that connections come from.
    pub ip: IpAddr,
}

#[async_trait]
impl BackendDialer for HttpDialer {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(self.ip, 0))?;
        let stream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // The task owns the socket; it ends when the sender is dropped and the
        // exchange is over, or when the backend server closes.
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!(addr:% = addr, error:% = e; "backend connection ended");
            }
        });
        Ok(Box::new(HttpConn { sender }))
    }
}

struct HttpConn {
    sender: http1::SendRequest<Body>,
}

#[async_trait]
impl BackendConn for HttpConn {
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendError { sent: false, detail: e.to_string() });
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| body.map_err(Into::into).boxed_unsync())),
            Err(mut e) => {
                // hyper hands the request back only if it did not start on it.
                let sent = e.take_message().is_none();
                Err(SendError { sent, detail: e.into_error().to_string() })
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}
