//! Heartbeats between entry instances.
//!
//! Datagrams rather than a connection for each pair: a heartbeat that is lost is
//! followed by the next, and no connection can go silent.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::names::StartNumber;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::state::{State, Versions};

/// Time between heartbeats.
pub(super) const EVERY_MS: u64 = 500;
/// The largest datagram that is read; a heartbeat has about a hundred bytes.
const LIMIT_BYTES: usize = 1_200;
/// For how many heartbeats in a row another instance must have seen more before
/// this one reads its tables anew. One is not enough: changes reach the instances
/// at slightly different moments.
const BEHIND_LIMIT: u32 = 3;

/// For how long another instance must have had the store without a break to be
/// sure that the store was not away. Rows run out only after several missed
/// heartbeats of their servers, so a shorter outage takes none away.
const HAD_STORE_MS: u64 = 3_000;
/// How often an unknown instance may cause the members to be read anew.
const UNKNOWN_EVERY_MS: u64 = 2_000;

#[derive(Deserialize, Serialize)]
struct Heartbeat {
    instance: String,
    start: StartNumber,
    is_leaving: bool,
    /// The version of the last change of the operator's table that it has seen.
    operator_version: u64,
    /// The same of the table of backend servers.
    backends_version: u64,
    /// For how long it has had the store without a break.
    had_store_ms: u64,
}

/// Sends and receives heartbeats until the process ends.
pub(super) async fn serve(state: Rc<State>, socket: UdpSocket) {
    let mut ticks = state.timer.subscribe(EVERY_MS);
    let mut buffer = [0; LIMIT_BYTES];
    let mut peers = Peers::default();
    loop {
        tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                peers.check(&state);
                state.remove_lapsed(false);
                send_all(&state, &socket).await;
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    receive(&state, &mut peers, &buffer[..length]);
                }
            }
        }
    }
}

/// Sends a heartbeat to every other instance now.
pub(super) async fn send_all(state: &State, socket: &UdpSocket) {
    let changed = state.changed.get();
    let since_ms = state.has_store_since_ms.get();
    let heartbeat = Heartbeat {
        instance: state.settings.instance.as_str().to_owned(),
        start: state.start,
        is_leaving: state.stop.is_stopping(),
        operator_version: changed.operator,
        backends_version: changed.backends,
        had_store_ms: since_ms.map_or(0, |since_ms| state.now_ms().saturating_sub(since_ms)),
    };
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(&heartbeat, &mut bytes) {
        log::error!(error:% = e; "heartbeat cannot be encoded");
        return;
    }
    let port = state.settings.peer_port;
    let addrs: Vec<SocketAddr> =
        state.members.borrow().others().map(|member| SocketAddr::new(member.ip, port)).collect();
    for addr in addrs {
        // A heartbeat that cannot be sent is like one that was lost.
        let _ = socket.send_to(&bytes, addr).await;
    }
}

fn receive(state: &State, peers: &mut Peers, bytes: &[u8]) {
    // Whatever else comes to this port is not for us.
    let Ok(heartbeat) = ciborium::from_reader::<Heartbeat, _>(bytes) else { return };
    let now_ms = state.now_ms();
    let is_known = state.members.borrow_mut().heard(
        &heartbeat.instance,
        heartbeat.start,
        heartbeat.is_leaving,
        now_ms,
    );
    // One that leaves has removed its row already.
    let is_new = !is_known && !heartbeat.is_leaving;
    if is_new && now_ms >= peers.unknown_at_ms + UNKNOWN_EVERY_MS {
        peers.unknown_at_ms = now_ms;
        state.unknown_member.notify_one();
    }
    peers.changed.operator = peers.changed.operator.max(heartbeat.operator_version);
    peers.changed.backends = peers.changed.backends.max(heartbeat.backends_version);
    if heartbeat.had_store_ms >= HAD_STORE_MS {
        state.remove_lapsed(true);
    }
}

/// What the other instances say, compared with what this one knows.
#[derive(Default)]
struct Peers {
    changed: Versions,
    beats_behind: u32,
    unknown_at_ms: u64,
}

impl Peers {
    /// Notices that other instances have seen changes which this one has not.
    fn check(&mut self, state: &State) {
        let covered = state.covered.get();
        let is_behind = self.changed.operator > covered.operator
            || self.changed.backends > covered.backends;
        self.beats_behind = if is_behind { self.beats_behind + 1 } else { 0 };
        if self.beats_behind >= BEHIND_LIMIT {
            self.beats_behind = 0;
            state.behind.notify_waiters();
        }
    }
}
