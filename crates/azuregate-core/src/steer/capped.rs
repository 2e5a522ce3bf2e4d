/*!
Steering by the shares of the policy, within its cap on movement.

Requests are assigned to zones by smooth weighted round-robin: every zone is
credited with its share of each request, and the zone with the largest credit is
selected. Counts stay within one request of the shares at any rate, whereas random
selection could exceed the cap by chance.

The share of a zone without an available backend server moves to the other zones
under the same cap. Requests of the share that has not moved yet are refused
without being run.
*/

use std::sync::Arc;

use crate::{
    names::{InstanceId, RegionName, ServiceName, ZoneName},
    policy::{Cap, Policy, Shares, Shift, WHOLE_PPM},
    route::hash,
    shift::MovementLimiter,
    snapshot::Snapshot,
    steer::{
        Steer, ZonePlan,
        overflow::{OverflowBudget, OverflowLimit},
    },
    time::Millis,
    topology::Topology,
};

/// Fraction of the cap that movements of shares may use.
const SHIFT_CAP_FRACTION: f64 = 0.95;
/// Fraction of the cap that overflowing requests may always use.
const OVERFLOW_CAP_FRACTION: f64 = 1.0 - SHIFT_CAP_FRACTION;
/// Fraction of the cap that overflowing requests may use while no shares move.
const STEADY_OVERFLOW_CAP_FRACTION: f64 = 0.5;
/// Tolerance for comparing shares.
const SHARE_EPSILON: f64 = 1e-9;

/// Steers the requests of one service on one instance, within the policy's cap.
#[derive(Clone, Debug)]
pub struct CappedSteer {
    service: ServiceName,
    instance: InstanceId,
    from: ZoneName,
    policy: Option<Arc<Policy>>,
    zones: Vec<Zone>,
    initialized: bool,
    last_progress: Option<(Shift, u32)>,
    limiter: MovementLimiter,
    overflow: OverflowBudget,
}

/// A zone, in this instance's order of preference.
#[derive(Clone, Debug)]
struct Zone {
    name: ZoneName,
    region: Option<RegionName>,
    /// Whether any backend server of the service is listed there.
    listed: bool,
    /// Whether one of them is available.
    available: bool,
    share: f64,
    /// The share that it would have without the cap.
    target: f64,
    credit: f64,
}

impl CappedSteer {
    /// Creates the steering of `service` on `instance`, which is in zone `from`.
    pub fn new(service: &ServiceName, instance: &InstanceId, from: &ZoneName) -> CappedSteer {
        CappedSteer {
            service: service.clone(),
            instance: instance.clone(),
            from: from.clone(),
            policy: None,
            zones: Vec::new(),
            initialized: false,
            last_progress: None,
            limiter: MovementLimiter::default(),
            overflow: OverflowBudget::default(),
        }
    }

    /// Returns the current share of each zone in this instance's requests, from 0
    /// to 1.
    pub fn shares(&self) -> impl Iterator<Item = (&ZoneName, f64)> {
        self.zones.iter().map(|zone| (&zone.name, zone.share))
    }

    fn add_zones(&mut self, topology: &Topology) {
        let policy = self.policy.as_deref();
        let shift = policy.and_then(|policy| policy.shift.as_ref());
        let named = policy.into_iter().flat_map(|policy| policy.zone_share_ppm.keys());
        let from = shift.into_iter().flat_map(|shift| shift.from_share_ppm.keys());
        let to = shift.into_iter().flat_map(|shift| shift.to_share_ppm.keys());
        for name in topology.zones().chain(named).chain(from).chain(to) {
            if self.zones.iter().any(|zone| zone.name == *name) {
                continue;
            }
            let parts = [self.service.as_str(), self.instance.as_str(), name.as_str()];
            // The initial credit differs between instances; otherwise all would
            // move their next request at the same time.
            let phase = hash::stable_hash(&parts) as f64 / u64::MAX as f64;
            self.zones.push(Zone {
                name: name.clone(),
                region: topology.region_of(name).cloned(),
                listed: false,
                available: false,
                share: 0.0,
                target: 0.0,
                credit: phase - 0.5,
            });
        }
        // The order of zones at the same distance differs between instances;
        // otherwise all would fail over to the same one.
        self.zones.sort_by_key(|zone| {
            let spread = hash::stable_hash(&[self.instance.as_str(), zone.name.as_str()]);
            (topology.distance(&self.from, &zone.name), spread)
        });
    }

    /// Returns the zone that proximity routing selects: one in the nearest region
    /// that lists servers, or, with `available_only`, any available zone if that
    /// region has none.
    fn nearest(&self, available_only: bool) -> Option<usize> {
        let home = self.zones.iter().position(|zone| zone.listed)?;
        let region = &self.zones[home].region;
        let at_home = |zone: &Zone| zone.available && zone.region == *region;
        let available_at_home = self.zones.iter().position(at_home);
        let available_anywhere = || self.zones.iter().position(|zone| zone.available);
        if available_only {
            available_at_home.or_else(available_anywhere)
        } else {
            available_at_home.or(Some(home))
        }
    }

    /// Returns the shares of a policy's table, from 0 to 1, by zone.
    fn shares_of(&self, shares: &Shares, available_only: bool) -> Vec<f64> {
        if shares.is_empty() {
            let nearest = self.nearest(available_only);
            return (0..self.zones.len()).map(|i| f64::from(Some(i) == nearest)).collect();
        }
        let share = |zone: &Zone| {
            let ppm = shares.get(&zone.name).copied().unwrap_or(0);
            f64::from(ppm) / f64::from(WHOLE_PPM)
        };
        self.zones.iter().map(share).collect()
    }

    /// Returns the shares that the policy asks for, including those of failed
    /// zones.
    fn target_shares(
        &mut self,
        policy: &Policy,
        epoch_ms: Millis,
        available_only: bool,
    ) -> Vec<f64> {
        let Some(shift) = &policy.shift else {
            self.last_progress = None;
            return self.shares_of(&policy.zone_share_ppm, available_only);
        };
        let mut progress = shift.progress_ppm(epoch_ms);
        if let Some((last_shift, last)) = &self.last_progress
            && last_shift == shift
        {
            // A clock that jumps back must not move traffic back.
            progress = progress.max(*last);
        }
        self.last_progress = Some((shift.clone(), progress));
        let progress = f64::from(progress) / f64::from(WHOLE_PPM);
        let from = self.shares_of(&shift.from_share_ppm, available_only);
        let to = self.shares_of(&shift.to_share_ppm, available_only);
        from.iter().zip(&to).map(|(a, b)| a + (b - a) * progress).collect()
    }

    /// Distributes the shares of unavailable zones among the available ones.
    fn fail_over(&self, targets: &mut [f64]) {
        let available = |(zone, share): (&Zone, &f64)| if zone.available { *share } else { 0.0 };
        let available_share: f64 = self.zones.iter().zip(&*targets).map(available).sum();
        if available_share < SHARE_EPSILON {
            return;
        }
        for (zone, share) in self.zones.iter().zip(targets) {
            *share = if zone.available { *share / available_share } else { 0.0 };
        }
    }

    /// Moves the shares of each region to its first available zone. With proximity
    /// routing, movement within a region is not capped.
    fn consolidate_regions(&mut self) {
        for index in 0..self.zones.len() {
            let region = self.zones[index].region.clone();
            let same = |zone: &Zone| zone.region == region;
            let first = self.zones.iter().position(|zone| same(zone) && zone.available);
            let Some(first) = first.filter(|&first| first != index) else {
                continue;
            };
            self.zones[first].share += std::mem::take(&mut self.zones[index].share);
        }
    }

    /// Moves the shares towards their targets as far as the cap allows; returns
    /// the limit of overflowing requests.
    fn advance(&mut self, policy: &Policy, epoch_ms: Millis, now_ms: Millis) -> OverflowLimit {
        let cap = cap_of(policy);
        let cap_share = f64::from(cap.share_ppm) / f64::from(WHOLE_PPM);
        if !self.initialized {
            // A starting instance takes its shares from the policy alone; those
            // of failed zones move from there, within the cap.
            let shares = self.target_shares(policy, epoch_ms, false);
            self.set_shares(&shares);
            self.initialized = shares.iter().any(|&share| share > SHARE_EPSILON);
            self.limiter.start(now_ms);
        }
        if by_proximity(policy) {
            self.consolidate_regions();
        }
        let mut targets = self.target_shares(policy, epoch_ms, true);
        self.fail_over(&mut targets);
        for (zone, target) in self.zones.iter_mut().zip(&targets) {
            zone.target = *target;
        }
        let overflow = self.overflow.share(cap.window_ms, now_ms);
        let overflow_used =
            if overflow > cap_share * OVERFLOW_CAP_FRACTION { overflow } else { 0.0 };
        let budget =
            self.limiter.budget(scale_cap(cap, SHIFT_CAP_FRACTION), now_ms) - overflow_used;
        let remaining: f64 = self.remaining_movement(&targets);
        if remaining < SHARE_EPSILON && !shift_is_due(policy, epoch_ms) {
            let used = self.limiter.used();
            let left = (cap_share * SHIFT_CAP_FRACTION - used)
                .min(cap_share * STEADY_OVERFLOW_CAP_FRACTION);
            // At low rates a share would never amount to a whole request.
            return OverflowLimit {
                share: left.max(cap_share * OVERFLOW_CAP_FRACTION),
                min_requests: 1.0,
            };
        }
        let moved = remaining.min(budget.max(0.0));
        if moved > SHARE_EPSILON {
            let fraction = moved / remaining;
            let shares: Vec<f64> = self
                .zones
                .iter()
                .zip(&targets)
                .map(|(zone, target)| zone.share + (target - zone.share) * fraction)
                .collect();
            self.set_shares(&shares);
            self.limiter.spend(scale_cap(cap, SHIFT_CAP_FRACTION), moved);
        }
        // No minimum here: at low rates one request is a larger share than this,
        // and would delay the movement.
        OverflowLimit { share: cap_share * OVERFLOW_CAP_FRACTION, min_requests: 0.0 }
    }

    fn set_shares(&mut self, shares: &[f64]) {
        for (zone, share) in self.zones.iter_mut().zip(shares) {
            zone.share = *share;
        }
    }

    /// Returns the share of requests that has yet to move to reach `targets`.
    fn remaining_movement(&self, targets: &[f64]) -> f64 {
        let gains =
            self.zones.iter().zip(targets).map(|(zone, target)| (target - zone.share).max(0.0));
        gains.sum()
    }

    /// Returns the zone with the largest credit, and charges it for a request.
    fn next_zone(&mut self) -> Option<usize> {
        for zone in &mut self.zones {
            zone.credit += zone.share;
        }
        let has_share = |&index: &usize| self.zones[index].share > SHARE_EPSILON;
        let next = (0..self.zones.len())
            .filter(has_share)
            .max_by(|&a, &b| self.zones[a].credit.total_cmp(&self.zones[b].credit))?;
        self.zones[next].credit -= 1.0;
        Some(next)
    }

    /// Returns the available zones other than `first` in order of proximity, those
    /// in the region of `first` before the others.
    fn available_zones(&self, first: usize, by_proximity: bool) -> Vec<ZoneName> {
        let region = &self.zones[first].region;
        let mut others: Vec<_> = (0..self.zones.len())
            .filter(|&index| index != first && self.zones[index].available)
            .filter(|&index| by_proximity || self.zones[index].share > SHARE_EPSILON)
            .collect();
        others.sort_by_key(|&index| self.zones[index].region != *region);
        others.into_iter().map(|index| self.zones[index].name.clone()).collect()
    }
}

impl Steer for CappedSteer {
    fn set_snapshot(&mut self, snapshot: &Snapshot) {
        self.policy = snapshot.policies.get(&self.service).cloned();
        self.add_zones(&snapshot.topology);
        for zone in &mut self.zones {
            (zone.listed, zone.available) = (false, false);
        }
        for server in snapshot.route_servers(&self.service) {
            let zone = self.zones.iter_mut().find(|zone| zone.name == server.server.zone);
            let Some(zone) = zone else { continue };
            zone.listed = true;
            zone.available |= server.available;
        }
    }

    fn plan(&mut self, epoch_ms: Millis, now_ms: Millis) -> ZonePlan {
        let none = |cap_reached| ZonePlan { zones: Vec::new(), cap_reached };
        let Some(policy) = self.policy.clone() else {
            return none(false);
        };
        let overflow_limit = self.advance(&policy, epoch_ms, now_ms);
        let Some(next) = self.next_zone() else {
            return none(false);
        };
        let takes_over = |zone: &Zone| zone.available && zone.target > SHARE_EPSILON;
        if !self.zones[next].available && self.zones.iter().any(takes_over) {
            return none(true);
        }
        let mut zones = vec![self.zones[next].name.clone()];
        if by_proximity(&policy) {
            zones.extend(self.available_zones(next, true));
            return ZonePlan { zones, cap_reached: false };
        }
        let window_ms = cap_of(&policy).window_ms;
        self.overflow.count(window_ms, now_ms);
        let others = self.available_zones(next, false);
        if !others.is_empty() && self.overflow.reserve(overflow_limit, window_ms, now_ms) {
            zones.extend(others);
        }
        ZonePlan { zones, cap_reached: false }
    }

    fn record_placement(&mut self, plan: &ZonePlan, zone: Option<&ZoneName>, now_ms: Millis) {
        let Some(policy) = &self.policy else { return };
        if plan.zones.len() < 2 || by_proximity(policy) {
            return;
        }
        let elsewhere = zone.is_some_and(|zone| *zone != plan.zones[0]);
        self.overflow.release(elsewhere, cap_of(policy).window_ms, now_ms);
    }
}

fn by_proximity(policy: &Policy) -> bool {
    policy.shift.is_none() && policy.zone_share_ppm.is_empty()
}

/// Returns whether a shift is running or starts within two windows. Requests that
/// overflow in this time reduce the budget of the shift.
fn shift_is_due(policy: &Policy, epoch_ms: Millis) -> bool {
    policy.shift.as_ref().is_some_and(|shift| {
        let soon = epoch_ms + Millis(2 * shift.cap.window_ms);
        soon >= shift.start_at_ms && epoch_ms < shift.end_at_ms()
    })
}

fn cap_of(policy: &Policy) -> Cap {
    policy.shift.as_ref().map_or(policy.cap, |shift| shift.cap)
}

fn scale_cap(cap: Cap, fraction: f64) -> Cap {
    let share_ppm = (f64::from(cap.share_ppm) * fraction) as u32;
    Cap { share_ppm, ..cap }
}
