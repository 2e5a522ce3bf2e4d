//! Exchanges heartbeats and in-flight request counts with other entry instances.
//!
//! Uses UDP rather than a connection per pair: a lost heartbeat is followed by the next
//! one, and there are no connections that could hang.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::{
    balance::{Datagram, Heartbeat, HeartbeatStatus, InFlightCount, Load, ReportScope},
    names::InstanceId,
    replica::Table,
};
use tokio::{net::UdpSocket, sync::mpsc};

use super::{
    crash_detection,
    grants::{PendingGrants, Question},
    leaving, rate_limits, reachability,
    state::State,
};

const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// One in this many heartbeats includes a sample of the requested objects, which shows
/// whether objects are requested in one region only.
const REQUESTED_OBJECTS_PERIOD_BEATS: u32 = 4;
/// The number of instances that report the crashes of quarantined requests in one heartbeat
/// interval, for instances that have just started.
const QUARANTINE_REPORTS_PER_BEAT: usize = 4;
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The number of consecutive heartbeat intervals with a newer version or an unknown
/// instance after which the tables are reread. A single one is normal, since changes
/// reach the instances at slightly different times.
const RESYNC_THRESHOLD_BEATS: u32 = 3;

/// How long another instance must have been in contact with the store before its
/// report proves that the store was available. Rows expire only after several missed
/// heartbeats of their servers, so a shorter outage expires none.
const STABLE_STORE_CONTACT_MS: u64 = 3_000;

/// The interval of load reports. A backend server receives one or two requests in this
/// time, so the counts are almost current.
const LOAD_REPORT_INTERVAL_MS: u64 = 100;
/// Bounds the CPU time spent on load reports: with many instances, each of them receives
/// reports less often.
const MAX_LOAD_DATAGRAMS_PER_S: u64 = 100;

/// Sends and receives heartbeats until the process ends.
pub(super) async fn serve(
    state: Rc<State>,
    socket: UdpSocket,
    mut questions: mpsc::Receiver<Question>,
) {
    let mut beats = state.timer.subscribe(HEARTBEAT_INTERVAL_MS);
    let mut load_ticks = state.timer.subscribe(LOAD_REPORT_INTERVAL_MS);
    let mut load_reporter = LoadReporter::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut lag_detector = LagDetector::default();
    let mut pending_grants = PendingGrants::default();
    let mut beat = 0;
    loop {
        tokio::select! {
            tick = beats.recv() => {
                if tick.is_none() {
                    return;
                }
                lag_detector.detect_lag(&state);
                state.remove_expired_backends(false);
                pending_grants.remove_abandoned();
                state.balancer.borrow_mut().expire_load_reports(state.now_ms());
                beat = (beat + 1) % REQUESTED_OBJECTS_PERIOD_BEATS;
                broadcast(&state, &socket, &build_heartbeat(&state, beat == 0)).await;
                report_crashes(&state, &socket, heartbeat_scope(&state)).await;
                report_rate_limits(&state, &socket, false).await;
                report_leaving(&state, &socket, false).await;
                report_reachability(&state, &socket).await;
            }
            () = state.reachability_changed.notified() => {
                report_reachability(&state, &socket).await;
            }
            _ = load_ticks.recv() => {
                if let Some(datagram) = load_reporter.next_report(&state) {
                    broadcast(&state, &socket, &datagram).await;
                }
                report_crashes(&state, &socket, ReportScope::Unsent).await;
                report_rate_limits(&state, &socket, true).await;
                report_leaving(&state, &socket, true).await;
            }
            Some(question) = questions.recv() => {
                let (datagram, holder) = pending_grants.add(question);
                send(&socket, &datagram, &[holder]).await;
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, sender)) = received else { continue };
                // Datagrams of other senders or formats are ignored.
                let Ok(datagram) = ciborium::from_reader(&buffer[..length]) else { continue };
                match datagram {
                    Datagram::GrantRequest(number, run) => {
                        let is_granted = rate_limits::grant(&state, run);
                        send(&socket, &Datagram::Grant(number, is_granted), &[sender]).await;
                    }
                    Datagram::Grant(number, is_granted) => {
                        pending_grants.complete(number, is_granted);
                    }
                    other => handle_datagram(&state, &mut lag_detector, other),
                }
            }
        }
    }
}

/// Decides when to send a load report to the other instances.
#[derive(Default)]
struct LoadReporter {
    sent_at_ms: u64,
    /// Whether the last report had requests in flight. If so, an empty report follows.
    last_report_had_load: bool,
}

impl LoadReporter {
    fn next_report(&mut self, state: &State) -> Option<Datagram> {
        let others = state.members.borrow().others().count() as u64;
        let now_ms = state.now_ms();
        if now_ms < self.sent_at_ms + others * 1_000 / MAX_LOAD_DATAGRAMS_PER_S {
            return None;
        }
        let in_flight = state.balancer.borrow().in_flight();
        if in_flight.is_empty() && !self.last_report_had_load {
            return None;
        }
        self.sent_at_ms = now_ms;
        self.last_report_had_load = !in_flight.is_empty();
        let counts = in_flight.iter().map(|at| (at.backend, at.count)).collect();
        Some(Datagram::Load(Load(state.settings.instance.as_str().to_owned(), counts)))
    }
}

fn build_heartbeat(state: &State, includes_requested: bool) -> Datagram {
    let requested = match includes_requested {
        true => state.balancer.borrow_mut().take_request_sample(),
        false => Vec::new(),
    };
    let tables = state.tables.borrow();
    let since_ms = state.store_reachable_since_ms.get();
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

/// Returns which crashes to report with a heartbeat. Only a few instances report those of
/// quarantined requests, so that the number of reports received does not grow with the
/// number of instances.
fn heartbeat_scope(state: &State) -> ReportScope {
    let others = state.members.borrow().others().count();
    match fastrand::usize(..others.max(1)) < QUARANTINE_REPORTS_PER_BEAT {
        true => ReportScope::Quarantined,
        false => ReportScope::Recent,
    }
}

async fn report_crashes(state: &State, socket: &UdpSocket, scope: ReportScope) {
    let now_ms = state.now_ms();
    let report = {
        let mut quarantine = state.quarantine.borrow_mut();
        quarantine.expire(now_ms);
        quarantine.next_report(scope, now_ms)
    };
    if let Some(report) = report {
        broadcast(state, socket, &Datagram::Crashes(report)).await;
    }
}

async fn report_rate_limits(state: &State, socket: &UdpSocket, only_changes: bool) {
    let report = state.balancer.borrow_mut().next_rate_limit_report(only_changes, state.now_ms());
    if let Some(report) = report {
        broadcast(state, socket, &Datagram::RateLimits(report)).await;
    }
}

async fn report_leaving(state: &State, socket: &UdpSocket, only_new: bool) {
    let report = state.balancer.borrow_mut().next_leaving_report(only_new);
    if let Some(report) = report {
        broadcast(state, socket, &Datagram::Leaving(report)).await;
    }
}

async fn report_reachability(state: &State, socket: &UdpSocket) {
    if let Some(datagram) = reachability::next_report(state) {
        broadcast(state, socket, &datagram).await;
    }
}

/// Sends a datagram to every other instance.
async fn broadcast(state: &State, socket: &UdpSocket, datagram: &Datagram) {
    let port = state.settings.peer_port;
    let addrs: Vec<SocketAddr> =
        state.members.borrow().others().map(|member| SocketAddr::new(member.ip, port)).collect();
    send(socket, datagram, &addrs).await;
}

async fn send(socket: &UdpSocket, datagram: &Datagram, addrs: &[SocketAddr]) {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(datagram, &mut bytes) {
        log::error!(error:% = e; "cannot encode datagram");
        return;
    }
    for addr in addrs {
        // A send error is equivalent to a lost datagram.
        let _ = socket.send_to(&bytes, addr).await;
    }
}

fn handle_datagram(state: &State, lag_detector: &mut LagDetector, datagram: Datagram) {
    match datagram {
        Datagram::Heartbeat(heartbeat) => handle_heartbeat(state, lag_detector, &heartbeat),
        Datagram::Load(load) => handle_load(state, load),
        Datagram::Crashes(report) => crash_detection::record_report(state, &report),
        Datagram::Reachability(report) => reachability::record_report(state, report),
        Datagram::Leaving(report) => leaving::record_report(state, &report),
        Datagram::RateLimits(report) => rate_limits::record_report(state, &report),
        // The task that owns the socket answers these.
        Datagram::GrantRequest(..) | Datagram::Grant(..) => {}
    }
}

fn handle_load(state: &State, Load(instance, counts): Load) {
    let in_flight =
        counts.into_iter().map(|(backend, count)| InFlightCount { backend, count }).collect();
    let instance = InstanceId::new(&instance);
    state.balancer.borrow_mut().record_load_report(&instance, in_flight, state.now_ms());
}

fn handle_heartbeat(state: &State, lag_detector: &mut LagDetector, heartbeat: &Heartbeat) {
    let now_ms = state.now_ms();
    let status = HeartbeatStatus {
        instance: &heartbeat.instance,
        start: heartbeat.start,
        is_leaving: heartbeat.is_leaving,
        can_watch: heartbeat.can_watch,
    };
    let is_known = state.members.borrow_mut().record_heartbeat(&status, now_ms);
    // An instance that is shutting down has already removed its row.
    lag_detector.heard_unknown |= !is_known && !heartbeat.is_leaving;
    lag_detector.operator_version = lag_detector.operator_version.max(heartbeat.operator_version);
    lag_detector.backends_version = lag_detector.backends_version.max(heartbeat.backends_version);
    if state.members.borrow().is_in_other_region(&heartbeat.instance) {
        let mut balancer = state.balancer.borrow_mut();
        if let Some(prefers) = balancer.record_remote_requests(&heartbeat.requested, now_ms) {
            log::info!(prefers_region = prefers; "preference for local-region servers changed");
        }
    }
    if heartbeat.had_store_ms >= STABLE_STORE_CONTACT_MS {
        state.remove_expired_backends(true);
    }
}

/// The newest table versions and unknown instances reported by other instances.
#[derive(Default)]
struct LagDetector {
    operator_version: u64,
    backends_version: u64,
    heard_unknown: bool,
    beats_behind: u32,
    beats_with_unknown: u32,
}

impl LagDetector {
    /// Triggers a reread of the tables if this instance lags behind the others.
    fn detect_lag(&mut self, state: &State) {
        let (operator, backends) = {
            let tables = state.tables.borrow();
            (tables.get(Table::Operator).version(), tables.get(Table::Backends).version())
        };
        let is_behind = self.operator_version > operator || self.backends_version > backends;
        if persists(&mut self.beats_behind, is_behind) {
            state.lag_detected.notify_waiters();
        }
        let heard_unknown = std::mem::take(&mut self.heard_unknown);
        if persists(&mut self.beats_with_unknown, heard_unknown) {
            state.unknown_member.notify_waiters();
        }
    }
}

/// Returns whether the condition held for [`RESYNC_THRESHOLD_BEATS`] consecutive calls,
/// and resets the count if so.
fn persists(beats: &mut u32, condition: bool) -> bool {
    *beats = if condition { *beats + 1 } else { 0 };
    let has_persisted = *beats >= RESYNC_THRESHOLD_BEATS;
    if has_persisted {
        *beats = 0;
    }
    has_persisted
}
