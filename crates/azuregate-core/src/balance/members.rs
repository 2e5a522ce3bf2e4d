//! Membership of entry instances, and the lookup of their addresses by clients.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use super::ReachabilityReport;
use crate::{
    names::{InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    route::hash::stable_hash,
};

/// Maximum number of addresses in a lookup's result.
const MAX_LOOKUP_ADDRS: usize = 64;

/// The registration of an entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Identifies this run of the instance.
    pub start: StartNumber,
    /// Its address for other instances.
    pub ip: IpAddr,
    /// Its address for clients.
    pub traffic_addr: SocketAddr,
    /// The port at which it takes requests that other instances forward; `None` if it is of an
    /// older version.
    pub forwarding_port: Option<u16>,
    /// Its availability zone.
    pub zone: ZoneName,
}

impl Member {
    /// Returns the address at which it takes requests that other instances forward.
    pub fn forwarding_addr(&self) -> Option<SocketAddr> {
        self.forwarding_port.map(|port| SocketAddr::new(self.ip, port))
    }
}

/// The part of a heartbeat that concerns membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatStatus<'a> {
    /// The sender.
    pub instance: &'a str,
    /// Identifies this run of the sender.
    pub start: StartNumber,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it may watch the store on behalf of other instances.
    pub can_watch: bool,
}

#[derive(Clone, Debug)]
struct MemberState {
    member: Member,
    last_heartbeat_ms: Option<u64>,
    is_leaving: bool,
    can_watch: bool,
    /// The last report of services that it cannot reach, and when it came.
    reachability: Option<(ReachabilityReport, u64)>,
}

/// All registered instances and their liveness, as one instance sees them.
#[derive(Clone, Debug)]
pub struct Members {
    local: InstanceId,
    zones: BTreeMap<ZoneName, RegionName>,
    heartbeat_timeout_ms: u64,
    local_can_watch: bool,
    is_local_cut_off: bool,
    states: BTreeMap<InstanceId, MemberState>,
}

impl Members {
    /// Creates an empty membership as seen by the instance `local`. A lookup leaves out
    /// instances whose last heartbeat is older than `heartbeat_timeout_ms`.
    pub fn new(
        local: InstanceId,
        zones: BTreeMap<ZoneName, RegionName>,
        heartbeat_timeout_ms: u64,
    ) -> Members {
        Members {
            local,
            zones,
            heartbeat_timeout_ms,
            local_can_watch: false,
            is_local_cut_off: false,
            states: BTreeMap::new(),
        }
    }

    /// Adds or updates the registration of an instance.
    pub fn put(&mut self, member: Member) {
        if let Some(state) = self.states.get_mut(&member.instance)
            && state.member.start == member.start
        {
            state.member = member;
            return;
        }
        let state = MemberState {
            last_heartbeat_ms: None,
            is_leaving: false,
            can_watch: false,
            reachability: None,
            member,
        };
        self.states.insert(state.member.instance.clone(), state);
    }

    /// Removes an instance.
    pub fn remove(&mut self, instance: &str) {
        self.states.remove(instance);
    }

    /// Records a heartbeat; returns whether its sender is registered with the same start.
    ///
    /// A heartbeat of another start is ignored, since the registered address may belong to
    /// another process by now.
    pub fn record_heartbeat(&mut self, status: &HeartbeatStatus<'_>, now_ms: u64) -> bool {
        let Some(state) = self.states.get_mut(status.instance) else { return false };
        if state.member.start != status.start {
            return false;
        }
        state.last_heartbeat_ms = Some(now_ms);
        state.is_leaving = status.is_leaving;
        state.can_watch = status.can_watch;
        true
    }

    /// Records which services an instance cannot reach.
    pub fn record_reachability(&mut self, report: ReachabilityReport, now_ms: u64) {
        let state = self.states.get_mut(report.instance.as_str());
        if let Some(state) = state.filter(|state| state.member.start == report.start) {
            state.reachability = Some((report, now_ms));
        }
    }

    /// Sets whether this instance reaches no backend server at all.
    pub fn set_local_cut_off(&mut self, is_cut_off: bool) {
        self.is_local_cut_off = is_cut_off;
    }

    /// Sets whether this instance may watch the store on behalf of others.
    pub fn set_local_can_watch(&mut self, can_watch: bool) {
        self.local_can_watch = can_watch;
    }

    /// Returns whether an instance is registered in another region than this one.
    pub fn is_in_other_region(&self, instance: &str) -> bool {
        let region = |instance: &str| {
            let state = self.states.get(instance)?;
            self.zones.get(&state.member.zone)
        };
        match (region(instance), region(self.local.as_str())) {
            (Some(other), Some(local)) => other != local,
            _ => false,
        }
    }

    /// Returns the number of registered instances.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no instance is registered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Iterates over the registered instances, live or not.
    pub fn registered(&self) -> impl Iterator<Item = &Member> {
        self.states.values().map(|state| &state.member)
    }

    /// Iterates over the registered instances other than this one.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.registered().filter(|member| member.instance != self.local)
    }

    /// Returns the addresses of the live instances nearest to a client: those in its zone if
    /// there are any, else those in its region, else all. Instances that reach no backend server
    /// are left out unless all do.
    pub fn lookup(&self, zone: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let live: Vec<&MemberState> =
            self.states.values().filter(|state| self.is_available(state, now_ms)).collect();
        let are_all_cut_off = live.iter().all(|state| self.is_cut_off(state, now_ms));
        let mut ranked: Vec<(u8, u64, &MemberState)> = live
            .into_iter()
            .filter(|state| are_all_cut_off || !self.is_cut_off(state, now_ms))
            .map(|state| {
                let rank = self.proximity_rank(state, zone, region);
                (rank, stable_hash(&[zone, state.member.instance.as_str()]), state)
            })
            .collect();
        ranked.sort_by_key(|&(rank, score, _)| (rank, score));
        let Some(&(nearest, ..)) = ranked.first() else { return Vec::new() };
        let selected = ranked.iter().filter(|&&(rank, ..)| rank == nearest).take(MAX_LOOKUP_ADDRS);
        selected.map(|(.., state)| state.member.traffic_addr).collect()
    }

    /// Returns an instance to which a request for `service` can be forwarded: one of the nearest
    /// that are live and do not report the service unreachable, in one of `regions` unless these are
    /// empty. `random` chooses among them.
    pub fn forwarding_target(
        &self,
        service: &ServiceName,
        regions: &[RegionName],
        excluded: &[InstanceId],
        random: u64,
        now_ms: u64,
    ) -> Option<&Member> {
        let zone = self.local_zone().map_or("", ZoneName::as_str);
        let region = self.zones.get(zone).map_or("", RegionName::as_str);
        let is_target = |state: &&MemberState| {
            let member = &state.member;
            member.instance != self.local
                && member.forwarding_port.is_some()
                && !excluded.contains(&member.instance)
                && (regions.is_empty()
                    || self.zones.get(&member.zone).is_some_and(|r| regions.contains(r)))
                && self.is_available(state, now_ms)
                && self.reachability(state, now_ms).is_none_or(|r| r.reaches(service.as_str()))
        };
        let targets: Vec<&MemberState> = self.states.values().filter(is_target).collect();
        let rank = |state: &MemberState| self.proximity_rank(state, zone, region);
        let nearest = targets.iter().map(|state| rank(state)).min()?;
        let nearest: Vec<&Member> = targets
            .into_iter()
            .filter(|state| rank(state) == nearest)
            .map(|state| &state.member)
            .collect();
        let index = random % u64::try_from(nearest.len()).ok()?;
        nearest.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns the rank of this instance for `key` among the live instances by rendezvous
    /// hashing, 0 for the first.
    pub fn rank(&self, key: &str, now_ms: u64) -> usize {
        let score = |instance: &InstanceId| stable_hash(&[key, instance.as_str()]);
        let own_score = score(&self.local);
        let available = self.states.values().filter(|state| self.is_available(state, now_ms));
        available.filter(|state| score(&state.member.instance) > own_score).count()
    }

    /// Returns whether this instance is in contact with at least half of the other registered
    /// instances.
    pub fn is_in_majority(&self, now_ms: u64) -> bool {
        let others = self.states.values().filter(|state| state.member.instance != self.local);
        let (mut live, mut total) = (0, 0);
        for other in others {
            total += 1;
            live += usize::from(self.is_available(other, now_ms));
        }
        live * 2 >= total
    }

    /// Returns the registration of an instance if it is live and not this one.
    pub(super) fn live_other(&self, instance: &str, now_ms: u64) -> Option<&Member> {
        let state = self.states.get(instance).filter(|_| instance != self.local.as_str())?;
        self.is_available(state, now_ms).then_some(&state.member)
    }

    /// Iterates over the live instances that may watch the store on behalf of others.
    pub(super) fn eligible_watchers(&self, now_ms: u64) -> impl Iterator<Item = &Member> {
        let available = self.states.values().filter(move |state| self.is_available(state, now_ms));
        let can_watch = |state: &&MemberState| match state.member.instance == self.local {
            true => self.local_can_watch,
            false => state.can_watch,
        };
        available.filter(can_watch).map(|state| &state.member)
    }

    pub(super) fn local(&self) -> &InstanceId {
        &self.local
    }

    pub(super) fn local_zone(&self) -> Option<&ZoneName> {
        self.states.get(&self.local).map(|state| &state.member.zone)
    }

    pub(super) fn zones(&self) -> &BTreeMap<ZoneName, RegionName> {
        &self.zones
    }

    /// Returns the report of an instance that is still in force.
    fn reachability<'a>(
        &self,
        state: &'a MemberState,
        now_ms: u64,
    ) -> Option<&'a ReachabilityReport> {
        let (report, at_ms) = state.reachability.as_ref()?;
        (now_ms.saturating_sub(*at_ms) <= self.heartbeat_timeout_ms).then_some(report)
    }

    fn is_cut_off(&self, state: &MemberState, now_ms: u64) -> bool {
        match state.member.instance == self.local {
            true => self.is_local_cut_off,
            false => self.reachability(state, now_ms).is_some_and(|report| report.is_cut_off),
        }
    }

    fn is_available(&self, state: &MemberState, now_ms: u64) -> bool {
        if state.is_leaving {
            return false;
        }
        let is_local = state.member.instance == self.local;
        is_local
            || state
                .last_heartbeat_ms
                .is_some_and(|at| now_ms.saturating_sub(at) <= self.heartbeat_timeout_ms)
    }

    fn proximity_rank(&self, state: &MemberState, zone: &str, region: &str) -> u8 {
        if state.member.zone.as_str() == zone {
            return 0;
        }
        let member_region = self.zones.get(&state.member.zone).map(RegionName::as_str);
        if member_region == Some(region) { 1 } else { 2 }
    }
}
