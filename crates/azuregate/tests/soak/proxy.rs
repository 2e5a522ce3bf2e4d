//! A loopback proxy that harms the connections through it.

use std::{net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Link {
    /// They pass.
    Passes,
    /// They pass late.
    Delays(Duration),
    /// Nothing passes, and nobody is told.
    Silent,
    /// Only what the callers send passes.
    OneWay,
    /// Open connections are reset, and so are new ones.
    Resets,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let link = watch::Sender::new(Link::Passes);
        let links = link.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(carry(caller, target, links.subscribe()));
            }
        });
        Proxy { addr, link }
    }

    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn carry(caller: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    // A connection that ends this way is reset on both sides.
    for stream in [&caller, &server] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
    }
    let (caller_in, caller_out) = caller.into_split();
    let (server_in, server_out) = server.into_split();
    let there = pump(caller_in, server_out, link.clone(), true);
    let back = pump(server_in, caller_out, link.clone(), false);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = link.wait_for(|link| *link == Link::Resets) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    is_request: bool,
) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let now = link.wait_for(|link| match link {
            Link::Passes | Link::Delays(_) | Link::Resets => true,
            Link::Silent => false,
            Link::OneWay => is_request,
        });
        let Ok(now) = now.await.map(|link| *link) else { return };
        if let Link::Delays(delay) = now {
            time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
