//! Heartbeats between entry instances, and what each has at the backend servers.
//!
//! Datagrams rather than a connection for each pair: a heartbeat that is lost is
//! followed by the next, and no connection can go silent.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::{
    balance::{Datagram, Heartbeat, HeartbeatStatus, InFlightCount, Load},
    names::InstanceId,
    replica::Table,
};
use tokio::net::UdpSocket;

use super::state::State;

/// Time between heartbeats.
const EVERY_MS: u64 = 500;
/// Every which heartbeat tells of requested objects: whether they are regional changes
/// seldom, and a few of them show it.
const REQUESTED_EVERY: u32 = 4;
/// The largest datagram that is read; a heartbeat has about a hundred bytes.
const LIMIT_BYTES: usize = 1_200;
/// For how many heartbeats in a row another instance must have seen more, or be
/// unknown, before this one reads its tables anew. One is not enough: changes
/// reach the instances at slightly different moments.
const BEATS_LIMIT: u32 = 3;

/// For how long another instance must have had the store without a break to be
/// sure that the store was not away. Rows run out only after several missed
/// heartbeats of their servers, so a shorter outage takes none away.
const HAD_STORE_MS: u64 = 3_000;

/// The shortest time between two reports on requests in flight. A backend server
/// gets one or two requests in that time, so what is not known yet is little.
const LOAD_EVERY_MS: u64 = 100;
/// Datagrams on requests in flight that an instance sends in a second at the most;
/// with many instances each is told more seldom, which bounds the processor time.
const LOAD_PER_S: u64 = 100;

/// Sends and receives heartbeats until the process ends.
pub(super) async fn serve(state: Rc<State>, socket: UdpSocket) {
    let mut beats = state.timer.subscribe(EVERY_MS);
    let mut load_ticks = state.timer.subscribe(LOAD_EVERY_MS);
    let mut load = LoadSender::default();
    let mut buffer = [0; LIMIT_BYTES];
    let mut peers = Peers::default();
    let mut beat = 0;
    loop {
        tokio::select! {
            tick = beats.recv() => {
                if tick.is_none() {
                    return;
                }
                peers.check(&state);
                state.remove_lapsed(false);
                state.balancer.borrow_mut().expire_load_reports(state.now_ms());
                beat = (beat + 1) % REQUESTED_EVERY;
                send_all(&state, &socket, &heartbeat(&state, beat == 0)).await;
            }
            _ = load_ticks.recv() => {
                if let Some(datagram) = load.next(&state) {
                    send_all(&state, &socket, &datagram).await;
                }
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    receive(&state, &mut peers, &buffer[..length]);
                }
            }
        }
    }
}

/// Decides when the others are told of requests in flight.
#[derive(Default)]
struct LoadSender {
    sent_at_ms: u64,
    /// Whether the others believe that there are some.
    is_told: bool,
}

impl LoadSender {
    fn next(&mut self, state: &State) -> Option<Datagram> {
        let others = state.members.borrow().others().count() as u64;
        let now_ms = state.now_ms();
        if now_ms < self.sent_at_ms + others * 1_000 / LOAD_PER_S {
            return None;
        }
        let in_flight = state.balancer.borrow().in_flight();
        if in_flight.is_empty() && !self.is_told {
            return None;
        }
        self.sent_at_ms = now_ms;
        self.is_told = !in_flight.is_empty();
        let counts = in_flight.iter().map(|at| (at.backend, at.count)).collect();
        Some(Datagram::Load(Load(state.settings.instance.as_str().to_owned(), counts)))
    }
}

fn heartbeat(state: &State, tells_requested: bool) -> Datagram {
    let requested = match tells_requested {
        true => state.balancer.borrow_mut().take_request_sample(),
        false => Vec::new(),
    };
    let tables = state.tables.borrow();
    let since_ms = state.has_store_since_ms.get();
    Datagram::Heartbeat(Heartbeat {
        instance: state.settings.instance.as_str().to_owned(),
        start: state.start,
        is_leaving: state.stop.is_stopping(),
        operator_version: tables.get(Table::Operator).last_change_version(),
        backends_version: tables.get(Table::Backends).last_change_version(),
        had_store_ms: since_ms.map_or(0, |since_ms| state.now_ms().saturating_sub(since_ms)),
        can_watch: state.contact.borrow().can_watch(state.now_ms()),
        requested,
    })
}

/// Sends a datagram to every other instance.
async fn send_all(state: &State, socket: &UdpSocket, datagram: &Datagram) {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(datagram, &mut bytes) {
        log::error!(error:% = e; "datagram cannot be encoded");
        return;
    }
    let port = state.settings.peer_port;
    let addrs: Vec<SocketAddr> =
        state.members.borrow().others().map(|member| SocketAddr::new(member.ip, port)).collect();
    for addr in addrs {
        // A datagram that cannot be sent is like one that was lost.
        let _ = socket.send_to(&bytes, addr).await;
    }
}

fn receive(state: &State, peers: &mut Peers, bytes: &[u8]) {
    match ciborium::from_reader(bytes) {
        Ok(Datagram::Heartbeat(heartbeat)) => receive_heartbeat(state, peers, &heartbeat),
        Ok(Datagram::Load(load)) => receive_load(state, load),
        // Whatever else comes to this port is not for us.
        Err(_) => {}
    }
}

fn receive_load(state: &State, Load(instance, counts): Load) {
    let in_flight =
        counts.into_iter().map(|(backend, count)| InFlightCount { backend, count }).collect();
    let instance = InstanceId::new(&instance);
    state.balancer.borrow_mut().record_load_report(&instance, in_flight, state.now_ms());
}

fn receive_heartbeat(state: &State, peers: &mut Peers, heartbeat: &Heartbeat) {
    let now_ms = state.now_ms();
    let sign = HeartbeatStatus {
        instance: &heartbeat.instance,
        start: heartbeat.start,
        is_leaving: heartbeat.is_leaving,
        can_watch: heartbeat.can_watch,
    };
    let is_known = state.members.borrow_mut().record_heartbeat(&sign, now_ms);
    // One that leaves has removed its row already.
    peers.heard_unknown |= !is_known && !heartbeat.is_leaving;
    peers.operator_version = peers.operator_version.max(heartbeat.operator_version);
    peers.backends_version = peers.backends_version.max(heartbeat.backends_version);
    if state.members.borrow().is_in_other_region(&heartbeat.instance) {
        let mut balancer = state.balancer.borrow_mut();
        if let Some(prefers) = balancer.record_remote_requests(&heartbeat.requested, now_ms) {
            log::info!(prefers_region = prefers; "servers of the own region");
        }
    }
    if heartbeat.had_store_ms >= HAD_STORE_MS {
        state.remove_lapsed(true);
    }
}

/// What the other instances say, compared with what this one knows.
#[derive(Default)]
struct Peers {
    operator_version: u64,
    backends_version: u64,
    heard_unknown: bool,
    beats_behind: u32,
    beats_with_unknown: u32,
}

impl Peers {
    /// Notices what other instances know and this one does not.
    fn check(&mut self, state: &State) {
        let (operator, backends) = {
            let tables = state.tables.borrow();
            (tables.get(Table::Operator).version(), tables.get(Table::Backends).version())
        };
        let is_behind = self.operator_version > operator || self.backends_version > backends;
        if lasts(&mut self.beats_behind, is_behind) {
            state.behind.notify_waiters();
        }
        let heard_unknown = std::mem::take(&mut self.heard_unknown);
        if lasts(&mut self.beats_with_unknown, heard_unknown) {
            state.unknown_member.notify_waiters();
        }
    }
}

/// Whether something held for as many beats as count; counts anew after that.
fn lasts(beats: &mut u32, holds: bool) -> bool {
    *beats = if holds { *beats + 1 } else { 0 };
    let has_lasted = *beats >= BEATS_LIMIT;
    if has_lasted {
        *beats = 0;
    }
    has_lasted
}
