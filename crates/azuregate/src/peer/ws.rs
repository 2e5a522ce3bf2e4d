//! Links by web socket, with frames in CBOR.

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::peer::{Frame, LinkError, PeerLink};

/// The largest frame that is taken, in bytes.
const FRAME_LIMIT_BYTES: usize = 1 << 20;

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
    /// Opens a link to the neighbour at `addr`.
    ///
    /// # Errors
    ///
    /// When the neighbour does not answer as one.
    pub async fn dial(addr: std::net::SocketAddr) -> Result<WsLink, LinkError> {
        let url = format!("ws://{addr}/v1/peer");
        let (socket, _) = tokio_tungstenite::connect_async_with_config(url, Some(config()), true)
            .await
            .map_err(broken)?;
        Ok(WsLink { socket })
    }

    /// Takes a link that a neighbour opened.
    ///
    /// # Errors
    ///
    /// When the other side does not speak the protocol.
    pub async fn accept(stream: TcpStream) -> Result<WsLink, LinkError> {
        let stream = MaybeTlsStream::Plain(stream);
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
            .await
            .map_err(broken)?;
        Ok(WsLink { socket })
    }
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
