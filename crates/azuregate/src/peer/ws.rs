//! Links by web socket, with frames in CBOR.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::peer::{Frame, LinkError, PeerLink};

/// The largest frame that is taken, in bytes.
const FRAME_LIMIT_BYTES: usize = 1 << 20;
/// How long the opening of a link may take, in milliseconds.
const OPEN_MS: u64 = 2_000;

/// A web socket to a neighbour.
#[derive(Debug)]
pub struct WsLink {
    socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT_BYTES))
        .max_frame_size(Some(FRAME_LIMIT_BYTES))
}

impl WsLink {
    /// Opens a link from `from` to the neighbour at `addr`, which takes links
    /// only from the IP numbers of listed instances.
    ///
    /// # Errors
    ///
    /// When the neighbour does not answer as one.
    pub async fn dial(from: IpAddr, addr: SocketAddr) -> Result<WsLink, LinkError> {
        let dialling = time::timeout(Duration::from_millis(OPEN_MS), open(from, addr));
        dialling.await.unwrap_or_else(|_| Err(LinkError::new(format!("no answer from {addr}"))))
    }

    /// Takes a link that a neighbour opened.
    ///
    /// # Errors
    ///
    /// When the other side does not speak the protocol.
    pub async fn accept(stream: TcpStream) -> Result<WsLink, LinkError> {
        // A frame is one small write; held back, it would wait for the answer to
        // the one before, some 40 ms.
        stream.set_nodelay(true).map_err(broken)?;
        let stream = MaybeTlsStream::Plain(stream);
        let accepting = tokio_tungstenite::accept_async_with_config(stream, Some(config()));
        let accepted = time::timeout(Duration::from_millis(OPEN_MS), accepting).await;
        let socket = accepted.map_err(broken)?.map_err(broken)?;
        Ok(WsLink { socket })
    }
}

async fn open(from: IpAddr, addr: SocketAddr) -> Result<WsLink, LinkError> {
    let tcp = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let tcp = tcp.map_err(broken)?;
    tcp.bind(SocketAddr::new(from, 0)).map_err(broken)?;
    let stream = tcp.connect(addr).await.map_err(broken)?;
    stream.set_nodelay(true).map_err(broken)?;
    let url = format!("ws://{addr}/v1/peer");
    let stream = MaybeTlsStream::Plain(stream);
    let opening = tokio_tungstenite::client_async_with_config(url, stream, Some(config()));
    let (socket, _) = opening.await.map_err(broken)?;
    Ok(WsLink { socket })
}

fn broken(e: impl std::fmt::Display) -> LinkError {
    LinkError::new(e.to_string())
}

#[async_trait]
impl PeerLink for WsLink {
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_err(broken)?;
        self.socket.send(Message::Binary(Bytes::from(bytes))).await.map_err(broken)
    }

    async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        loop {
            match self.socket.next().await {
                None | Some(Ok(Message::Close(_))) => return Ok(None),
                Some(Ok(Message::Binary(bytes))) => {
                    return ciborium::from_reader(bytes.as_ref()).map(Some).map_err(broken);
                }
                Some(Ok(_)) => continue,
                Some(Err(e)) => return Err(broken(e)),
            }
        }
    }
}
