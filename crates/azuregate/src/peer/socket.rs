//! WebSocket that carries values in CBOR.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use super::LinkError;

/// Limits of a WebSocket connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SocketLimits {
    pub(crate) max_frame_bytes: usize,
    /// For dialling, this includes the TCP connection.
    pub(crate) handshake_timeout_ms: u64,
}

impl SocketLimits {
    fn config(self) -> WebSocketConfig {
        WebSocketConfig::default()
            .max_message_size(Some(self.max_frame_bytes))
            .max_frame_size(Some(self.max_frame_bytes))
    }

    fn handshake_timeout(self) -> Duration {
        Duration::from_millis(self.handshake_timeout_ms)
    }
}

/// A WebSocket connection to another instance.
#[derive(Debug)]
pub(crate) struct CborSocket {
    socket: WebSocketStream<TcpStream>,
}

impl CborSocket {
    /// Opens a connection from the IP address `from` to the instance at `addr`.
    pub(crate) async fn dial(
        from: IpAddr,
        addr: SocketAddr,
        path: &str,
        limits: SocketLimits,
    ) -> Result<CborSocket, LinkError> {
        let dial = time::timeout(limits.handshake_timeout(), connect(from, addr, path, limits));
        dial.await
            .unwrap_or_else(|_| Err(LinkError::new(format!("handshake with {addr} timed out"))))
    }

    /// Accepts a connection that another instance opened.
    pub(crate) async fn accept(
        stream: TcpStream,
        limits: SocketLimits,
    ) -> Result<CborSocket, LinkError> {
        // Nagle's algorithm would delay small frames by up to 40 ms.
        stream.set_nodelay(true).map_err(link_error)?;
        let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(limits.config()));
        let accepted = time::timeout(limits.handshake_timeout(), handshake).await;
        let socket = accepted.map_err(link_error)?.map_err(link_error)?;
        Ok(CborSocket { socket })
    }

    /// Sends a value.
    pub(crate) async fn send<T: Serialize>(&mut self, value: &T) -> Result<(), LinkError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).map_err(link_error)?;
        self.send_bytes(Bytes::from(bytes)).await
    }

    /// Sends a value that is already encoded.
    pub(crate) async fn send_bytes(&mut self, bytes: Bytes) -> Result<(), LinkError> {
        self.socket.send(Message::Binary(bytes)).await.map_err(link_error)
    }

    /// Waits for the next value; returns `None` if the peer closed the connection.
    /// Cancel safe.
    pub(crate) async fn recv<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        let Some(bytes) = self.recv_bytes().await? else { return Ok(None) };
        ciborium::from_reader(bytes.as_ref()).map(Some).map_err(link_error)
    }

    /// Waits for the next value without decoding it; returns `None` if the peer closed
    /// the connection. Cancel safe.
    pub(crate) async fn recv_bytes(&mut self) -> Result<Option<Bytes>, LinkError> {
        loop {
            match self.socket.next().await {
                None | Some(Ok(Message::Close(_))) => return Ok(None),
                Some(Ok(Message::Binary(bytes))) => return Ok(Some(bytes)),
                Some(Ok(_)) => continue,
                Some(Err(e)) => return Err(link_error(e)),
            }
        }
    }
}

async fn connect(
    from: IpAddr,
    addr: SocketAddr,
    path: &str,
    limits: SocketLimits,
) -> Result<CborSocket, LinkError> {
    let tcp = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let tcp = tcp.map_err(link_error)?;
    tcp.bind(SocketAddr::new(from, 0)).map_err(link_error)?;
    let stream = tcp.connect(addr).await.map_err(link_error)?;
    stream.set_nodelay(true).map_err(link_error)?;
    let url = format!("ws://{addr}{path}");
    let handshake = tokio_tungstenite::client_async_with_config(url, stream, Some(limits.config()));
    let (socket, _) = handshake.await.map_err(link_error)?;
    Ok(CborSocket { socket })
}

fn link_error(e: impl std::fmt::Display) -> LinkError {
    LinkError::new(e.to_string())
}
