//! Which entry instances there are, and which of them clients should use.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use crate::{
    names::{InstanceId, RegionName, StartNumber, ZoneName},
    route::hash::stable_hash,
};

/// How many addresses a lookup names at the most.
const LOOKUP_LIMIT: usize = 64;
/// An entry instance as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Tells its starts apart.
    pub start: StartNumber,
    /// Its address for other instances.
    pub ip: IpAddr,
    /// Its address for clients.
    pub traffic_addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// What an instance says of itself in a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LifeSign<'a> {
    /// Who says it.
    pub instance: &'a str,
    /// Its start.
    pub start: StartNumber,
    /// Whether it ends by a planned stop.
    pub is_leaving: bool,
    /// Whether it may watch the store for others.
    pub can_watch: bool,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    heard_at_ms: Option<u64>,
    is_leaving: bool,
    can_watch: bool,
}

/// All registered instances, and when each was last heard.
#[derive(Clone, Debug)]
pub struct Members {
    own: InstanceId,
    zones: BTreeMap<ZoneName, RegionName>,
    silence_ms: u64,
    own_can_watch: bool,
    known: BTreeMap<InstanceId, Known>,
}

impl Members {
    /// The members of a deployment with these `zones`, seen from `own`; one that
    /// is silent for `silence_ms` is not named to clients.
    pub fn new(own: InstanceId, zones: BTreeMap<ZoneName, RegionName>, silence_ms: u64) -> Members {
        Members { own, zones, silence_ms, own_can_watch: false, known: BTreeMap::new() }
    }

    /// Takes in the row of an instance.
    pub fn put(&mut self, member: Member) {
        if let Some(known) = self.known.get_mut(&member.instance)
            && known.member.start == member.start
        {
            known.member = member;
            return;
        }
        let known = Known { heard_at_ms: None, is_leaving: false, can_watch: false, member };
        self.known.insert(known.member.instance.clone(), known);
    }

    /// Forgets an instance whose row was removed.
    pub fn remove(&mut self, instance: &str) {
        self.known.remove(instance);
    }

    /// Takes in a heartbeat. One of an earlier or later start than the row's is
    /// of no use: its address may be another's by now. Returns whether the
    /// instance is known in that start.
    pub fn heard(&mut self, sign: &LifeSign<'_>, now_ms: u64) -> bool {
        let Some(known) = self.known.get_mut(sign.instance) else { return false };
        if known.member.start != sign.start {
            return false;
        }
        known.heard_at_ms = Some(now_ms);
        known.is_leaving = sign.is_leaving;
        known.can_watch = sign.can_watch;
        true
    }

    /// Takes in whether this instance itself may watch the store for others.
    pub fn set_own_can_watch(&mut self, can_watch: bool) {
        self.own_can_watch = can_watch;
    }

    /// Whether an instance is registered in another region than this one.
    pub fn is_in_other_region(&self, instance: &str) -> bool {
        let region = |instance: &str| {
            let known = self.known.get(instance)?;
            self.zones.get(&known.member.zone)
        };
        match (region(instance), region(self.own.as_str())) {
            (Some(other), Some(own)) => other != own,
            _ => false,
        }
    }

    /// How many instances are registered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no instance is registered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The registered instances, dead ones as well.
    pub fn registered(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// The other instances, to which heartbeats go.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.registered().filter(|member| member.instance != self.own)
    }

    /// The addresses that a client in `zone` should use at `now_ms`: those of its
    /// zone, else those of its region, else all.
    pub fn lookup(&self, zone: &str, region: &str, now_ms: u64) -> Vec<SocketAddr> {
        let mut ranked: Vec<(u8, u64, &Known)> = self
            .known
            .values()
            .filter(|known| self.is_usable(known, now_ms))
            .map(|known| {
                let rank = self.rank(known, zone, region);
                (rank, stable_hash(&[zone, known.member.instance.as_str()]), known)
            })
            .collect();
        ranked.sort_by_key(|&(rank, score, _)| (rank, score));
        let Some(&(nearest, ..)) = ranked.first() else { return Vec::new() };
        let named = ranked.iter().filter(|&&(rank, ..)| rank == nearest).take(LOOKUP_LIMIT);
        named.map(|(.., known)| known.member.traffic_addr).collect()
    }

    /// The live instances that may watch the store for others.
    pub(super) fn possible_watchers(&self, now_ms: u64) -> impl Iterator<Item = &Member> {
        let usable = self.known.values().filter(move |known| self.is_usable(known, now_ms));
        let can_watch = |known: &&Known| match known.member.instance == self.own {
            true => self.own_can_watch,
            false => known.can_watch,
        };
        usable.filter(can_watch).map(|known| &known.member)
    }

    pub(super) fn own(&self) -> &InstanceId {
        &self.own
    }

    pub(super) fn own_zone(&self) -> Option<&ZoneName> {
        self.known.get(&self.own).map(|known| &known.member.zone)
    }

    pub(super) fn zones(&self) -> &BTreeMap<ZoneName, RegionName> {
        &self.zones
    }

    fn is_usable(&self, known: &Known, now_ms: u64) -> bool {
        if known.is_leaving {
            return false;
        }
        let is_own = known.member.instance == self.own;
        is_own || known.heard_at_ms.is_some_and(|at| now_ms.saturating_sub(at) <= self.silence_ms)
    }

    fn rank(&self, known: &Known, zone: &str, region: &str) -> u8 {
        if known.member.zone.as_str() == zone {
            return 0;
        }
        let own_region = self.zones.get(&known.member.zone).map(RegionName::as_str);
        if own_region == Some(region) { 1 } else { 2 }
    }
}
