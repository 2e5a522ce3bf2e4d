//! The platforms under test, with fault injection.

use std::{net::SocketAddr, sync::Arc};

use azuregate::platform::{HttpPlatform, Platform};
use azuregate_core::snapshot::InstanceList;
use azuregate_lab::platform::{Faults, Server, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::fake::FakePlatform;

/// The client's timeout.
const TIMEOUT_MS: u64 = 300;

/// A fault injected into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Every call is rejected.
    Down,
    /// The port is closed.
    Unreachable,
    /// Responses are delayed, but arrive within the timeout.
    Slow,
    /// Calls are accepted but never answered.
    Silent,
    /// Writes take effect, but their responses are lost.
    AnswerLost,
    /// The connection closes in the middle of a response.
    Cut,
    /// The response body is not valid.
    Garbage,
}

/// A platform under test.
pub(crate) trait PlatformUnderTest {
    /// Returns the platform with `fault` injected.
    fn with_fault(&self, fault: Fault) -> Arc<dyn Platform>;
}

pub(crate) struct InMemory(pub(crate) Arc<FakePlatform>);

impl PlatformUnderTest for InMemory {
    fn with_fault(&self, fault: Fault) -> Arc<dyn Platform> {
        *self.0.fault.lock().unwrap() = fault;
        Arc::clone(&self.0) as _
    }
}

pub(crate) struct OverHttp {
    server: Arc<Server>,
    addr: SocketAddr,
    cut_addr: SocketAddr,
    garbage_addr: SocketAddr,
    closed_addr: SocketAddr,
}

impl PlatformUnderTest for OverHttp {
    fn with_fault(&self, fault: Fault) -> Arc<dyn Platform> {
        let mut faults = Faults::default();
        let mut addr = self.addr;
        match fault {
            Fault::None => {}
            Fault::Down => faults.down = true,
            Fault::Slow => faults.slow_ms = 50,
            Fault::Silent => faults.silent = true,
            Fault::AnswerLost => faults.lose_answers = 1,
            Fault::Unreachable => addr = self.closed_addr,
            Fault::Cut => addr = self.cut_addr,
            Fault::Garbage => addr = self.garbage_addr,
        }
        *self.server.faults() = faults;
        Arc::new(HttpPlatform::new(addr, TIMEOUT_MS))
    }
}

pub(crate) async fn over_http() -> OverHttp {
    let server = Arc::new(Server::new(InstanceList::default()));
    let (listener, addr) = listen().await;
    tokio::spawn(serve(listener, Arc::clone(&server)));
    let (closed, closed_addr) = listen().await;
    drop(closed);
    let cut_addr =
        fixed_response_server(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"done\":").await;
    let garbage_addr =
        fixed_response_server(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[}7!").await;
    OverHttp { server, addr, cut_addr, garbage_addr, closed_addr }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Starts a server that sends `bytes` on each connection and closes it.
pub(crate) async fn fixed_response_server(bytes: &'static [u8]) -> SocketAddr {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    addr
}
