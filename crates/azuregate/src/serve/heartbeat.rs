//! Heartbeats between entry instances.
//!
//! Datagrams rather than a connection for each pair: a heartbeat that is lost is
//! followed by the next, and no connection can go silent.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::names::StartNumber;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::state::{SeenVersions, State};

/// Time between heartbeats.
pub(super) const EVERY_MS: u64 = 500;
/// The largest datagram that is read; a heartbeat has about a hundred bytes.
const LIMIT_BYTES: usize = 1_200;
/// For how many heartbeats in a row another instance must have seen more before
/// this one reads its tables anew. One is not enough: changes reach the instances
/// at slightly different moments.
const BEHIND_LIMIT: u32 = 3;

#[derive(Deserialize, Serialize)]
struct Heartbeat<'a> {
    instance: &'a str,
    start: StartNumber,
    is_leaving: bool,
    operator_version: u64,
    backends_version: u64,
}

/// Sends and receives heartbeats until the process ends.
pub(super) async fn serve(state: Rc<State>, socket: UdpSocket) {
    let mut ticks = state.timer.subscribe(EVERY_MS);
    let mut buffer = [0; LIMIT_BYTES];
    let mut lag = Lag::default();
    loop {
        tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                lag.check(&state);
                send_all(&state, &socket).await;
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    receive(&state, &mut lag, &buffer[..length]);
                }
            }
        }
    }
}

/// Sends a heartbeat to every other instance now.
pub(super) async fn send_all(state: &State, socket: &UdpSocket) {
    let seen = state.seen.get();
    let heartbeat = Heartbeat {
        instance: state.settings.instance.as_str(),
        start: state.start,
        is_leaving: state.stop.is_stopping(),
        operator_version: seen.operator,
        backends_version: seen.backends,
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

fn receive(state: &State, lag: &mut Lag, bytes: &[u8]) {
    // Whatever else comes to this port is not for us.
    let Ok(text) = ciborium::from_reader::<ciborium::Value, _>(bytes) else { return };
    let Ok(heartbeat) = text.deserialized::<OwnedHeartbeat>() else { return };
    let now_ms = state.now_ms();
    let is_known = state.members.borrow_mut().heard(
        &heartbeat.instance,
        heartbeat.start,
        heartbeat.is_leaving,
        now_ms,
    );
    if !is_known {
        state.unknown_member.notify_one();
    }
    lag.heard.operator = lag.heard.operator.max(heartbeat.operator_version);
    lag.heard.backends = lag.heard.backends.max(heartbeat.backends_version);
}

#[derive(Deserialize)]
struct OwnedHeartbeat {
    instance: String,
    start: StartNumber,
    is_leaving: bool,
    operator_version: u64,
    backends_version: u64,
}

/// Notices that other instances have seen changes which this one has not.
#[derive(Default)]
struct Lag {
    heard: SeenVersions,
    beats: u32,
}

impl Lag {
    fn check(&mut self, state: &State) {
        let seen = state.seen.get();
        let is_behind =
            self.heard.operator > seen.operator || self.heard.backends > seen.backends;
        self.beats = if is_behind { self.beats + 1 } else { 0 };
        if self.beats >= BEHIND_LIMIT {
            self.beats = 0;
            state.behind.notify_waiters();
        }
    }
}
