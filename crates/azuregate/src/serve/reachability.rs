//! Checks whether backend servers can be reached at all.

use std::{net::SocketAddr, rc::Rc};

use azuregate_core::{
    balance::{BackendHandle, Choice, Datagram, ReachabilityReport},
    names::ServiceName,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::task::spawn_local;

use super::{
    probe::{self, Probe},
    state::State,
};

/// Servers that are checked at once. Some of them may be down while others serve.
const CHECKED_SERVERS: usize = 6;
/// The same while a service is unreachable.
const RECHECKED_SERVERS: usize = 3;
/// Time between checks while a service is unreachable.
const RECHECK_INTERVAL_MS: u64 = 250;
/// Time between looks at the result of a check.
const WAIT_INTERVAL_MS: u64 = 50;

/// Records that a connection to a server failed or broke, and checks others of its service if
/// that happens to several servers.
pub(super) fn record_failure(state: &Rc<State>, choice: &Choice) {
    let service = &choice.backend.service;
    let servers = state.balancer.borrow().servers(service);
    let now_ms = state.now_ms();
    let mut reachability = state.reachability.borrow_mut();
    if reachability.record_failure(service, choice.handle, servers, now_ms) {
        spawn_local(check(Rc::clone(state), service.clone()));
    }
}

/// Records a response on a new connection to a server.
pub(super) fn record_connection(state: &State, choice: &Choice) {
    state.reachability.borrow_mut().record_connection(&choice.backend.service);
}

/// Checks a service, and waits until it is reachable.
pub(super) async fn wait_until_reachable(state: &Rc<State>, service: &ServiceName) {
    if state.reachability.borrow_mut().start_check(service) {
        spawn_local(check(Rc::clone(state), service.clone()));
    }
    let mut ticks = state.timer.subscribe(WAIT_INTERVAL_MS);
    while state.reachability.borrow().is_checking(service) && ticks.recv().await.is_some() {}
}

/// Checks a service until it is reachable.
async fn check(state: Rc<State>, service: ServiceName) {
    let mut ticks = state.timer.subscribe(RECHECK_INTERVAL_MS);
    let mut count = CHECKED_SERVERS;
    loop {
        let (random, now_ms) = (fastrand::u64(..), state.now_ms());
        let servers = state.balancer.borrow().sample_servers(&service, count, random, now_ms);
        let is_reachable = servers.is_empty() || any_accepts(&state, &servers).await;
        record_check(&state, &service, is_reachable);
        if is_reachable || ticks.recv().await.is_none() {
            return;
        }
        count = RECHECKED_SERVERS;
    }
}

/// Returns whether any of the servers accepts a connection and keeps it open.
async fn any_accepts(state: &State, servers: &[(BackendHandle, SocketAddr)]) -> bool {
    let probes = servers.iter().map(|&(handle, addr)| probe::probe(state, handle, addr));
    let mut probes: FuturesUnordered<_> = probes.collect();
    while let Some(probe) = probes.next().await {
        if matches!(probe, Probe::Open) {
            return true;
        }
    }
    false
}

fn record_check(state: &Rc<State>, service: &ServiceName, is_reachable: bool) {
    let now_ms = state.now_ms();
    if !state.reachability.borrow_mut().record_check(service, is_reachable, now_ms) {
        return;
    }
    if is_reachable {
        log::info!(service:% = service; "backend servers reachable again");
        state.balancer.borrow_mut().forget_failures(service);
    } else {
        log::warn!(service:% = service; "no backend server reachable");
        check_other_services(state);
    }
    let balancer = state.balancer.borrow();
    let is_cut_off = state.reachability.borrow().is_cut_off(balancer.services());
    state.members.borrow_mut().set_local_cut_off(is_cut_off);
    state.reachability_changed.notify_one();
}

/// Checks the services that have no requests by which it would be noticed.
fn check_other_services(state: &Rc<State>) {
    let balancer = state.balancer.borrow();
    for service in balancer.services() {
        if state.reachability.borrow_mut().start_check(service) {
            spawn_local(check(Rc::clone(state), service.clone()));
        }
    }
}

/// Returns the report to other instances, if there is anything to report.
pub(super) fn next_report(state: &State) -> Option<Datagram> {
    let balancer = state.balancer.borrow();
    let report = state.reachability.borrow().next_report(
        &state.settings.instance,
        state.start,
        balancer.services(),
        state.now_ms(),
    );
    report.map(Datagram::Reachability)
}

/// Records the report of another instance.
pub(super) fn record_report(state: &State, report: ReachabilityReport) {
    state.members.borrow_mut().record_reachability(report, state.now_ms());
}
