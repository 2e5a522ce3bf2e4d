//! What a change moves, told before and after it is made.

use std::collections::BTreeSet;

use azuregate_core::{
    names::{BackendId, ZoneName},
    policy::{Policy, Shares, WHOLE_PPM},
    snapshot::{BackendServer, Liveness, Snapshot},
    time::Millis,
};
use azuregate_schema::v1;

/// A policy before and after a change, in the world that the instance knows.
pub(super) struct Comparison<'a> {
    pub(super) before: Option<&'a Policy>,
    pub(super) after: &'a Policy,
    pub(super) snapshot: &'a Snapshot,
    /// Since the Unix epoch.
    pub(super) now_ms: Millis,
}

impl Comparison<'_> {
    pub(super) fn effect(&self) -> v1::Effect {
        let none = BTreeSet::new();
        let drains_before = self.before.map_or(&none, |policy| &policy.drains);
        let names = |a: &BTreeSet<BackendId>, b: &BTreeSet<BackendId>| {
            a.difference(b).map(ToString::to_string).collect()
        };
        let shift = self.new_shift();
        let mut effect = v1::Effect {
            zones: self.zones(),
            moved_ppm: self.moved_ppm(),
            start_in_ms: shift.map_or(0, |shift| shift.start_at_ms.since(self.now_ms).0),
            duration_ms: shift.map_or(0, |shift| shift.end_at_ms().since(shift.start_at_ms).0),
            drained: names(&self.after.drains, drains_before),
            undrained: names(drains_before, &self.after.drains),
            warnings: Vec::new(),
        };
        effect.warnings = self.warnings(&effect);
        effect
    }

    fn new_shift(&self) -> Option<&azuregate_core::policy::Shift> {
        let before = self.before.and_then(|policy| policy.shift.as_ref());
        self.after.shift.as_ref().filter(|shift| Some(*shift) != before)
    }

    fn zones(&self) -> Vec<v1::ZoneEffect> {
        let before = self.before.and_then(|policy| shares_now(policy, self.now_ms));
        let after = shares_at_end(self.after);
        let mut zones: BTreeSet<&ZoneName> = self.snapshot.topology.zones().collect();
        zones.extend(before.iter().chain(&after).flat_map(Shares::keys));
        let share = |shares: &Option<Shares>, zone: &ZoneName| {
            shares.as_ref().map(|shares| shares.get(zone).copied().unwrap_or(0))
        };
        zones
            .into_iter()
            .map(|zone| v1::ZoneEffect {
                zone: zone.to_string(),
                before_ppm: share(&before, zone),
                after_ppm: share(&after, zone),
                open_before: count(
                    self.open_backends(self.before).filter(|server| server.zone == *zone),
                ),
                open_after: count(self.open_backends(Some(self.after)).filter(|s| s.zone == *zone)),
            })
            .collect()
    }

    fn open_backends<'a>(
        &'a self,
        policy: Option<&'a Policy>,
    ) -> impl Iterator<Item = &'a BackendServer> {
        let servers = self.snapshot.backends.get(&self.after.service);
        servers
            .map_or(&[][..], |servers| servers)
            .iter()
            .filter(move |server| closed_reasons(self.snapshot, server, policy).is_empty())
    }

    /// A shift moves shares; a drain moves what the closed servers had.
    fn moved_ppm(&self) -> u32 {
        if let Some(shift) = self.new_shift() {
            return u32::try_from(shift.distance_ppm()).unwrap_or(WHOLE_PPM);
        }
        let slots =
            |policy| self.open_backends(policy).map(|server| u64::from(server.slots)).sum::<u64>();
        let (before, after) = (slots(self.before), slots(Some(self.after)));
        let closed = before.saturating_sub(after) * u64::from(WHOLE_PPM);
        u32::try_from(closed / before.max(1)).unwrap_or(WHOLE_PPM)
    }

    fn warnings(&self, effect: &v1::Effect) -> Vec<String> {
        let mut warnings = Vec::new();
        if effect.zones.iter().all(|zone| zone.open_after == 0) {
            warnings.push(format!("{} has no open backend server", self.after.service));
        }
        for zone in &effect.zones {
            if zone.after_ppm.is_some_and(|ppm| ppm > 0) && zone.open_after == 0 {
                let zone = &zone.zone;
                warnings.push(format!("{zone} gets a share but has no open backend server"));
            }
        }
        if self.after.queue_ms > self.after.timeout_ms {
            warnings.push("queue_ms is longer than timeout_ms".to_owned());
        }
        warnings
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

/// The shares in force at `now_ms` since the Unix epoch; `None` where nearness
/// decides.
pub(super) fn shares_now(policy: &Policy, now_ms: Millis) -> Option<Shares> {
    let policy = policy.with_ended_shift_applied(now_ms);
    match policy.shift {
        Some(shift) => shift.shares_at(now_ms),
        None => Some(policy.zone_share_ppm).filter(|shares| !shares.is_empty()),
    }
}

fn shares_at_end(policy: &Policy) -> Option<Shares> {
    let shares = policy.shift.as_ref().map_or(&policy.zone_share_ppm, |shift| &shift.to_share_ppm);
    Some(shares.clone()).filter(|shares| !shares.is_empty())
}

/// Why a backend server gets no new work under `policy`; empty if it does.
pub(super) fn closed_reasons(
    snapshot: &Snapshot,
    server: &BackendServer,
    policy: Option<&Policy>,
) -> Vec<&'static str> {
    let mut reasons = Vec::new();
    if policy.is_some_and(|policy| policy.drains.contains(&server.id)) {
        reasons.push("drained by an operator");
    }
    if server.liveness == Liveness::Leaving {
        reasons.push("the platform lists it as leaving");
    }
    if snapshot.leaving.contains(&(server.id.clone(), server.start)) {
        reasons.push("it said that it leaves, here or to a peer");
    }
    if snapshot.unreachable.contains(&server.id) {
        reasons.push("probes do not reach it");
    }
    reasons
}
