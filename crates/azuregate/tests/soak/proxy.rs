//! A loopback proxy that injects faults into the connections through it.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};

use crate::cuts::{Cut, Cuts};

type CutsReceiver = watch::Receiver<BTreeMap<IpAddr, Cut>>;

/// How a proxy treats the bytes that it receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkMode {
    /// Forwards them.
    Forward,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Holds them until the mode changes.
    Stall,
    /// Forwards requests and holds responses.
    StallResponses,
    /// Forwards responses and holds requests.
    StallRequests,
    /// Resets open and new connections.
    Reset,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Starts a proxy of an address that always accepts connections.
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let (is_up, cuts) = (watch::Sender::new(true), Cuts::default());
        Proxy::start_with(ip, target, is_up.subscribe(), cuts.subscribe()).await
    }

    /// Returns whether bytes are forwarded without a fault.
    pub(crate) fn is_forwarding(&self) -> bool {
        *self.mode.borrow() == LinkMode::Forward
    }

    /// Starts a proxy that refuses connections while `is_up` is false, as the target does, and
    /// resets those of instances that are cut off.
    pub(crate) async fn start_with(
        ip: IpAddr,
        target: SocketAddr,
        mut is_up: watch::Receiver<bool>,
        cuts: CutsReceiver,
    ) -> Proxy {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = watch::Sender::new(LinkMode::Forward);
        let modes = mode.clone();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = accept(&listener, target, &modes, &cuts) => return,
                    // An error means that the target is always up.
                    Ok(_) = is_up.wait_for(|is_up| !is_up) => {}
                }
                drop(listener);
                let _ = is_up.wait_for(|is_up| *is_up).await;
                listener = TcpListener::bind(addr).await.unwrap();
            }
        });
        Proxy { addr, mode }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    modes: &watch::Sender<LinkMode>,
    cuts: &CutsReceiver,
) {
    while let Ok((caller, addr)) = listener.accept().await {
        if cuts.borrow().contains_key(&addr.ip()) {
            let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
            continue;
        }
        let mut cuts = cuts.clone();
        let connection = proxy_connection(caller, addr.ip(), target, modes.subscribe());
        tokio::spawn(async move {
            tokio::select! {
                () = connection => {}
                Ok(_) = cuts.wait_for(|cuts| cuts.get(&addr.ip()) == Some(&Cut::Reset)) => {}
            }
        });
    }
}

/// Connects to `target` from an address, by which servers tell instances apart.
async fn connect(from: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    socket.connect(target).await
}

async fn proxy_connection(
    caller: TcpStream,
    caller_ip: IpAddr,
    target: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    let Ok(server) = connect(caller_ip, target).await else { return };
    // With a linger time of zero, dropping a stream resets its connection.
    for stream in [&caller, &server] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
    }
    let (caller_in, caller_out) = caller.into_split();
    let (server_in, server_out) = server.into_split();
    let requests = forward_bytes(caller_in, server_out, mode.clone(), true);
    let responses = forward_bytes(server_in, caller_out, mode.clone(), false);
    tokio::select! {
        () = async { tokio::join!(requests, responses); } => {}
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    is_request: bool,
) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let current = mode.wait_for(|mode| match mode {
            LinkMode::Forward | LinkMode::Delay(_) | LinkMode::Reset => true,
            LinkMode::Stall => false,
            LinkMode::StallResponses => is_request,
            LinkMode::StallRequests => !is_request,
        });
        let Ok(current) = current.await.map(|mode| *mode) else { return };
        if let LinkMode::Delay(delay) = current {
            time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
