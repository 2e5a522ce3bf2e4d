//! Accepting connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// The pause after an accept that failed: some requests end in that time, and free
/// their descriptors.
const RETRY_DELAY_MS: u64 = 50;

/// The next connection, and where it comes from. Dropping the future loses none.
///
/// An accept fails mostly because no descriptor is free, and then fails again at
/// once. Without a pause the task would take the processor from the requests whose
/// end frees one.
pub(crate) async fn next(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        if let Ok(accepted) = listener.accept().await {
            return accepted;
        }
        time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}
