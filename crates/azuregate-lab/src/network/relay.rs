//! A TCP proxy that delays the traffic of a process.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use azuregate_core::names::ZoneName;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

use crate::network::{Network, delay};

/// A TCP proxy in front of a process in an availability zone. It adds the delay
/// between the client and that zone.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The network that delays follow from.
    pub network: Arc<Network>,
    /// The availability zone of the process.
    pub zone: ZoneName,
    /// The address that the process listens on.
    pub upstream_addr: SocketAddr,
}

impl Relay {
    /// Accepts and relays connections until the task is aborted.
    pub async fn serve(self, listener: TcpListener) -> Infallible {
        loop {
            let Ok((stream, caller)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().relay_connection(stream, caller));
        }
    }

    async fn relay_connection(self, stream: TcpStream, caller: SocketAddr) {
        let one_way_delay = self.network.one_way_delay(caller.ip(), &self.zone);
        time::sleep(self.network.connect_delay(caller.ip(), &self.zone)).await;
        let Ok(upstream) = connect_from(caller, self.upstream_addr).await else {
            return;
        };
        delay::forward(stream, upstream, one_way_delay).await;
    }
}

/// Connects from the caller's IP address, so that the process sees it.
async fn connect_from(caller: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(caller.ip(), 0))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
