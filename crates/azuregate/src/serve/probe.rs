//! Connects to a backend server to learn whether it is there.

use std::{io, net::SocketAddr, time::Duration};

use azuregate_core::balance::BackendHandle;
use tokio::time;

use super::state::State;

/// How long a new connection must stay open to show that the server is alive.
const MIN_OPEN_MS: u64 = 100;

/// The result of a new connection to a server.
pub(super) enum Probe {
    /// It stays open.
    Open,
    /// It is accepted and closed at once, as by a proxy in front of a crashed server.
    Closed,
    /// It is refused or reset.
    Refused,
    /// There is no answer: the network may be cut.
    TimedOut,
}

pub(super) async fn probe(state: &State, handle: BackendHandle, addr: SocketAddr) -> Probe {
    let connection = match state.pool.connect(handle, addr).await {
        Ok(connection) => connection,
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Probe::TimedOut,
        Err(_) => return Probe::Refused,
    };
    time::sleep(Duration::from_millis(MIN_OPEN_MS)).await;
    // A server that sends bytes without a request is there as well.
    let is_open = !connection.meter.has_broken();
    state.pool.put(handle, connection, state.now_ms());
    if is_open { Probe::Open } else { Probe::Closed }
}
