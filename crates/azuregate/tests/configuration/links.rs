//! Tests of the `PeerLink` contract, for WebSockets and for a channel in memory.

use std::time::Duration;

use async_trait::async_trait;
use azuregate::peer::{Frame, LinkError, PeerLink, WsLink};
use azuregate_core::names::{BackendId, StartNumber};
use bytes::Bytes;
use futures_util::SinkExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

const RECV_TIMEOUT: Duration = Duration::from_millis(500);

/// What the remote end of a link does.
#[derive(Clone, Debug)]
enum Action {
    /// Sends a frame.
    Frame(Frame),
    /// Sends bytes that do not decode to a frame.
    InvalidFrame,
    /// Sends a message above the size limit.
    OversizedFrame,
    /// Closes the link.
    Close,
    /// Resets the connection without a close handshake.
    Reset,
    /// Does nothing for longer than `RECV_TIMEOUT`.
    Stall,
}

/// The outcome of receiving from a link.
#[derive(Debug, PartialEq)]
enum Received {
    Frame(Frame),
    Closed,
    Broken,
    Timeout,
}

fn frame(start: u64) -> Frame {
    Frame::Leaving { backend: BackendId::new("desk-1"), start: StartNumber(start) }
}

fn cases() -> Vec<(&'static str, Vec<Action>, Vec<Received>)> {
    let (one, two) = (frame(1), frame(2));
    let sent = |last| vec![Action::Frame(one.clone()), Action::Frame(two.clone()), last];
    let received = |last| vec![Received::Frame(one.clone()), Received::Frame(two.clone()), last];
    vec![
        ("two frames, then close", sent(Action::Close), received(Received::Closed)),
        ("two frames, then silence", sent(Action::Stall), received(Received::Timeout)),
        ("two frames, then reset", sent(Action::Reset), received(Received::Broken)),
        ("two frames, then an invalid one", sent(Action::InvalidFrame), received(Received::Broken)),
        (
            "two frames, then an oversized one",
            sent(Action::OversizedFrame),
            received(Received::Broken),
        ),
    ]
}

/// A link in memory; dropping its other end closes it.
struct ChannelLink {
    receiver: mpsc::Receiver<Action>,
    sender: mpsc::Sender<Frame>,
    stalled: bool,
}

#[async_trait]
impl PeerLink for ChannelLink {
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let sent = self.sender.send(frame.clone()).await;
        sent.map_err(|_| LinkError::new("closed"))
    }

    async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        if self.stalled {
            return std::future::pending().await;
        }
        match self.receiver.recv().await {
            Some(Action::Frame(frame)) => Ok(Some(frame)),
            None | Some(Action::Close) => Ok(None),
            Some(Action::Stall) => {
                self.stalled = true;
                std::future::pending().await
            }
            Some(action) => Err(LinkError::new(format!("{action:?}"))),
        }
    }
}

async fn perform(socket: &mut WebSocketStream<TcpStream>, action: Action) {
    let message = match action {
        Action::Frame(frame) => {
            let mut bytes = Vec::new();
            ciborium::into_writer(&frame, &mut bytes).unwrap();
            Message::Binary(Bytes::from(bytes))
        }
        Action::InvalidFrame => Message::Binary(Bytes::from_static(&[0xff, 0x00, 0x13])),
        Action::OversizedFrame => Message::Binary(Bytes::from(vec![0; 2 << 20])),
        Action::Close => {
            let _ = socket.close(None).await;
            return;
        }
        Action::Reset => {
            // With a linger time of 0, dropping the socket resets the connection.
            socket.get_ref().set_zero_linger().unwrap();
            return;
        }
        Action::Stall => return time::sleep(2 * RECV_TIMEOUT).await,
    };
    let _ = socket.send(message).await;
}

/// Opens a WebSocket whose remote end performs `actions`.
async fn ws_link(actions: Vec<Action>) -> WsLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut socket = accept_async(stream).await.unwrap();
        for action in actions {
            perform(&mut socket, action).await;
        }
    });
    WsLink::dial([127, 0, 0, 1].into(), addr).await.unwrap()
}

async fn channel_link(actions: Vec<Action>) -> ChannelLink {
    let (action_sender, receiver) = mpsc::channel(actions.len());
    for action in actions {
        action_sender.send(action).await.unwrap();
    }
    let (sender, _) = mpsc::channel(1);
    ChannelLink { receiver, sender, stalled: false }
}

async fn receive(link: &mut dyn PeerLink) -> Received {
    // `recv` must be cancel-safe: a cancelled call loses no frame.
    if let Ok(frame) = time::timeout(Duration::ZERO, link.recv()).await {
        return received(frame);
    }
    time::timeout(RECV_TIMEOUT, link.recv()).await.map_or(Received::Timeout, received)
}

fn received(frame: Result<Option<Frame>, LinkError>) -> Received {
    match frame {
        Ok(Some(frame)) => Received::Frame(frame),
        Ok(None) => Received::Closed,
        Err(_) => Received::Broken,
    }
}

async fn check(case: &str, link: &mut dyn PeerLink, expected: &[Received]) {
    for expected in expected {
        assert_eq!(receive(link).await, *expected, "{case}");
    }
}

#[tokio::test]
async fn web_sockets_keep_the_contract() {
    for (case, actions, expected) in cases() {
        let mut link = ws_link(actions).await;
        check(case, &mut link, &expected).await;
    }
}

#[tokio::test]
async fn channels_keep_the_contract() {
    for (case, actions, expected) in cases() {
        let mut link = channel_link(actions).await;
        check(case, &mut link, &expected).await;
    }
}

// A remote end that accepts connections but never answers the handshake must not
// block dialling for ever.
#[tokio::test]
async fn dialling_times_out_without_a_handshake() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = tokio::spawn(async move { listener.accept().await.unwrap() });
    assert!(WsLink::dial([127, 0, 0, 1].into(), addr).await.is_err());
    drop(accepted);
}
