//! Opens TCP connections to backend servers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_trait::async_trait;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// `TCP_USER_TIMEOUT` of connections. Without it, requests to a server that lost power
/// would wait until their deadline.
///
/// Keepalive stays off: this timeout would also close a connection after one lost probe.
const UNACKED_DATA_TIMEOUT_MS: u64 = 350;

/// What a connection may receive before it is read: enough for a long response from another region.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Opens connections to backend servers.
#[async_trait]
pub trait Connector: Send {
    /// Opens a connection, however long that takes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or cannot be set up.
    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream>;
}

/// Opens connections from the address of the instance, by which servers tell instances apart.
#[derive(Clone, Debug)]
pub struct TcpConnector {
    /// The address of the instance.
    pub ip: IpAddr,
}

#[async_trait]
impl Connector for TcpConnector {
    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Otherwise the buffer grows to megabytes while a client does not read its response.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32);
        socket.bind((self.ip, 0).into())?;
        let stream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        let unacked_timeout = Duration::from_millis(UNACKED_DATA_TIMEOUT_MS);
        SockRef::from(&stream).set_tcp_user_timeout(Some(unacked_timeout))?;
        Ok(stream)
    }
}
