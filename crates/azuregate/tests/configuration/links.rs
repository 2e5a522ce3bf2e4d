//! The contract of a link, for web sockets and for a channel in memory.

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

/// How long a test waits for what should come, or should not.
const PATIENCE: Duration = Duration::from_millis(500);

/// What the other end of a link does.
#[derive(Clone, Debug)]
enum Act {
    /// Sends a frame.
    Frame(Frame),
    /// Sends what is no frame.
    Garbage,
    /// Sends more than a frame may have.
    Flood,
    /// Closes the link.
    Close,
    /// Breaks off without closing.
    Cut,
    /// Does nothing for longer than anyone waits.
    Silence,
}

/// What is received.
#[derive(Debug, PartialEq)]
enum Got {
    Frame(Frame),
    Closed,
    Broken,
    Nothing,
}

fn frame(start: u64) -> Frame {
    Frame::Leaving { backend: BackendId::new("desk-1"), start: StartNumber(start) }
}

fn cases() -> Vec<(&'static str, Vec<Act>, Vec<Got>)> {
    let (one, two) = (frame(1), frame(2));
    let sent = |last| vec![Act::Frame(one.clone()), Act::Frame(two.clone()), last];
    let got = |last| vec![Got::Frame(one.clone()), Got::Frame(two.clone()), last];
    vec![
        ("ok, then closed", sent(Act::Close), got(Got::Closed)),
        ("ok, then silent", sent(Act::Silence), got(Got::Nothing)),
        ("ok, then cut", sent(Act::Cut), got(Got::Broken)),
        ("ok, then garbage", sent(Act::Garbage), got(Got::Broken)),
        ("ok, then too much", sent(Act::Flood), got(Got::Broken)),
    ]
}

/// A link in memory; dropping its other end closes it.
struct ChannelLink {
    receiver: mpsc::Receiver<Act>,
    sender: mpsc::Sender<Frame>,
    silent: bool,
}

#[async_trait]
impl PeerLink for ChannelLink {
    async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let sent = self.sender.send(frame.clone()).await;
        sent.map_err(|_| LinkError::new("closed"))
    }

    async fn recv(&mut self) -> Result<Option<Frame>, LinkError> {
        if self.silent {
            return std::future::pending().await;
        }
        match self.receiver.recv().await {
            Some(Act::Frame(frame)) => Ok(Some(frame)),
            None | Some(Act::Close) => Ok(None),
            Some(Act::Silence) => {
                self.silent = true;
                std::future::pending().await
            }
            Some(act) => Err(LinkError::new(format!("{act:?}"))),
        }
    }
}

async fn act(socket: &mut WebSocketStream<TcpStream>, act: Act) {
    let message = match act {
        Act::Frame(frame) => {
            let mut bytes = Vec::new();
            ciborium::into_writer(&frame, &mut bytes).unwrap();
            Message::Binary(Bytes::from(bytes))
        }
        Act::Garbage => Message::Binary(Bytes::from_static(&[0xff, 0x00, 0x13])),
        Act::Flood => Message::Binary(Bytes::from(vec![0; 2 << 20])),
        Act::Close => {
            let _ = socket.close(None).await;
            return;
        }
        Act::Cut => {
            // With nothing lingering, dropping the socket resets the connection.
            socket.get_ref().set_zero_linger().unwrap();
            return;
        }
        Act::Silence => return time::sleep(2 * PATIENCE).await,
    };
    let _ = socket.send(message).await;
}

/// A web socket whose other end does what it is told.
async fn ws_link(acts: Vec<Act>) -> WsLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut socket = accept_async(stream).await.unwrap();
        for next in acts {
            act(&mut socket, next).await;
        }
    });
    WsLink::dial([127, 0, 0, 1].into(), addr).await.unwrap()
}

async fn channel_link(acts: Vec<Act>) -> ChannelLink {
    let (acting, receiver) = mpsc::channel(acts.len());
    for act in acts {
        acting.send(act).await.unwrap();
    }
    let (sender, _) = mpsc::channel(1);
    ChannelLink { receiver, sender, silent: false }
}

async fn receive(link: &mut dyn PeerLink) -> Got {
    // A wait that is given up at once must lose no frame.
    if let Ok(frame) = time::timeout(Duration::ZERO, link.recv()).await {
        return got(frame);
    }
    time::timeout(PATIENCE, link.recv()).await.map_or(Got::Nothing, got)
}

fn got(frame: Result<Option<Frame>, LinkError>) -> Got {
    match frame {
        Ok(Some(frame)) => Got::Frame(frame),
        Ok(None) => Got::Closed,
        Err(_) => Got::Broken,
    }
}

async fn check(case: &str, link: &mut dyn PeerLink, expected: &[Got]) {
    for expected in expected {
        assert_eq!(receive(link).await, *expected, "{case}");
    }
}

#[tokio::test]
async fn web_sockets_keep_the_contract() {
    for (case, acts, expected) in cases() {
        let mut link = ws_link(acts).await;
        check(case, &mut link, &expected).await;
    }
}

#[tokio::test]
async fn channels_keep_the_contract() {
    for (case, acts, expected) in cases() {
        let mut link = channel_link(acts).await;
        check(case, &mut link, &expected).await;
    }
}

// The other end takes links and never speaks the protocol. Dialling gives up.
#[tokio::test]
async fn dialling_gives_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let taken = tokio::spawn(async move { listener.accept().await.unwrap() });
    assert!(WsLink::dial([127, 0, 0, 1].into(), addr).await.is_err());
    drop(taken);
}
