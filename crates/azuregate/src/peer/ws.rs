//! Links over WebSocket, with frames in CBOR.

use std::net::{IpAddr, SocketAddr};

use async_trait::async_trait;
use tokio::net::TcpStream;

use super::{
    Frame, LinkError, PeerLink,
    socket::{CborSocket, SocketLimits},
};

/// Path of the WebSocket endpoint.
const PATH: &str = "/v1/peer";
const LIMITS: SocketLimits = SocketLimits { max_frame_bytes: 1 << 20, handshake_timeout_ms: 2_000 };

/// A WebSocket connection to a neighbour.
#[derive(Debug)]
pub struct WsLink {
    socket: CborSocket,
}

impl WsLink {
    /// Opens a link from the IP address `from` to the neighbour at `addr`, which accepts
    /// links only from the IP addresses of listed instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the WebSocket handshake fails.
    pub async fn dial(from: IpAddr, addr: SocketAddr) -> Result<WsLink, LinkError> {
        Ok(WsLink { socket: CborSocket::dial(from, addr, PATH, LIMITS).await? })
    }

    /// Accepts a link that a neighbour opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the WebSocket handshake fails.
    pub async fn accept(stream: TcpStream) -> Result<WsLink, LinkError> {
        Ok(WsLink { socket: CborSocket::accept(stream, LIMITS).await? })
    }
}

#[async_trait]
impl PeerLink for WsLink {
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.socket.send(frame).await
    }

    async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        self.socket.recv().await
    }
}
