//! Links by web socket, with frames in CBOR.

use std::net::{IpAddr, SocketAddr};

use async_trait::async_trait;
use tokio::net::TcpStream;

use super::{
    Frame, LinkError, PeerLink,
    socket::{CborSocket, SocketLimits},
};

/// Where links are taken.
const PATH: &str = "/v1/peer";
/// A frame holds one policy or list; opening takes a way there and back or two.
const LIMITS: SocketLimits = SocketLimits { max_frame_bytes: 1 << 20, handshake_timeout_ms: 2_000 };

/// A web socket to a neighbour.
#[derive(Debug)]
pub struct WsLink {
    socket: CborSocket,
}

impl WsLink {
    /// Opens a link from `from` to the neighbour at `addr`, which takes links
    /// only from the IP numbers of listed instances.
    ///
    /// # Errors
    ///
    /// When the neighbour does not answer as one.
    pub async fn dial(from: IpAddr, addr: SocketAddr) -> Result<WsLink, LinkError> {
        Ok(WsLink { socket: CborSocket::dial(from, addr, PATH, LIMITS).await? })
    }

    /// Takes a link that a neighbour opened.
    ///
    /// # Errors
    ///
    /// When the other side does not speak the protocol.
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
