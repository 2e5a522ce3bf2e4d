//! Backend servers over HTTP/1.1.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use async_trait::async_trait;
use http_body_util::BodyExt;
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;

use crate::{
    backend::{BackendConn, BackendDialer, SendCause, SendError},
    body::Body,
    metered_stream::{MAX_HEAD_BYTES, MAX_RESPONSE_BYTES, MeteredStream, ReadMeter},
};

/// Opens TCP connections to backend servers from this instance's IP address.
#[derive(Clone, Copy, Debug)]
pub struct HttpDialer {
    /// Source address of the connections.
    pub ip: IpAddr,
}

#[async_trait]
impl BackendDialer for HttpDialer {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(self.ip, 0))?;
        let stream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        let meter = Arc::<ReadMeter>::default();
        meter.set_remaining(MAX_HEAD_BYTES as u64);
        let stream = MeteredStream::new(stream, Arc::clone(&meter));
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!(addr:% = addr, error:% = e; "backend connection ended");
            }
        });
        Ok(Box::new(HttpConn { sender, meter }))
    }
}

/// Dropping it, or the future of its request, makes hyper close the socket, which
/// cancels the request on the backend server.
struct HttpConn {
    sender: http1::SendRequest<Body>,
    meter: Arc<ReadMeter>,
}

#[async_trait]
impl BackendConn for HttpConn {
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError> {
        if let Err(e) = self.sender.ready().await {
            return Err(SendError { cause: SendCause::NotSent, detail: e.to_string() });
        }
        self.meter.set_remaining(MAX_HEAD_BYTES as u64);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.set_remaining(MAX_RESPONSE_BYTES);
                Ok(response.map(|body| body.map_err(Into::into).boxed_unsync()))
            }
            Err(mut e) => {
                // hyper returns the request only if it was still queued. Otherwise
                // bytes of it may have been written.
                let queued = e.take_message().is_some();
                let e = e.into_error();
                let cause = match () {
                    () if queued => SendCause::NotSent,
                    () if e.is_parse() || self.meter.is_exhausted() => SendCause::Invalid,
                    () => SendCause::Lost,
                };
                Err(SendError { cause, detail: e.to_string() })
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}
