//! Accepts connections, backing off on errors.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

const RETRY_DELAY_MS: u64 = 50;

/// Returns the next connection and its peer's address. The future is cancel-safe.
///
/// `accept` fails mostly when the process is out of file descriptors. Retrying
/// without a delay would take CPU time from the requests that free them.
pub(crate) async fn next(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        if let Ok(accepted) = listener.accept().await {
            return accepted;
        }
        time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}
