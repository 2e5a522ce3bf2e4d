//! Tests that traffic shifts, failover and overflow stay within the cap.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

use std::{collections::BTreeMap, sync::Arc};

use azuregate_core::{
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    policy::{Cap, ChangeErrorKind, Policy, Shares, WHOLE_PPM},
    snapshot::{BackendServer, InstanceList, Liveness, Snapshot},
    steer::{CappedSteer, Steer},
    time::Millis,
    topology::{Region, Topology},
};
use proptest::{prelude::*, test_runner::RngSeed};

const WINDOW_MS: u64 = 1_000;
const STEP_MS: u64 = 25;
const STEPS: u64 = 600;
const COMMIT_MS: u64 = 10_000;
const DELAY_MS: u64 = 2_000;
const ZONES: [&str; 3] = ["a", "b", "c"];

fn shares(ppm: [u32; 3]) -> Shares {
    let table = ZONES.iter().zip(ppm).filter(|&(_, ppm)| ppm > 0);
    table.map(|(zone, ppm)| (ZoneName::new(zone), ppm)).collect()
}

fn policy(ppm: [u32; 3], cap_ppm: u32) -> Policy {
    Policy {
        service: ServiceName::new("desk"),
        version: 1,
        operation_id: "first".to_owned(),
        zone_share_ppm: shares(ppm),
        cap: Cap { share_ppm: cap_ppm, window_ms: WINDOW_MS },
        shift: None,
        shift_delay_ms: DELAY_MS,
        drains: [].into(),
        timeout_ms: 1_000,
        queue_ms: 100,
    }
}

/// Returns three regions with one zone and one backend server each; the servers of
/// `down` zones are leaving.
fn snapshot(policy: &Policy, down: &[&str]) -> Snapshot {
    let region = |zone: &&str| Region {
        name: RegionName::new(&format!("region-{zone}")),
        zones: vec![ZoneName::new(zone)],
    };
    let topology = Topology {
        regions: ZONES.iter().map(region).collect(),
        zone_delay_ms: 4,
        region_delay_ms: 20,
        link_mbit_per_s: 4_000,
    };
    let backends = ZONES.iter().map(|zone| BackendServer {
        id: BackendId::new(zone),
        service: policy.service.clone(),
        zone: ZoneName::new(zone),
        addr: "127.0.0.1:1".parse().unwrap(),
        start: StartNumber(1),
        slots: 3,
        liveness: if down.contains(zone) { Liveness::Leaving } else { Liveness::Live },
    });
    let list = InstanceList { instances: Vec::new(), backends: backends.collect() };
    let mut snapshot = Snapshot::empty(Arc::new(topology));
    snapshot.apply_policy(policy.clone());
    snapshot.set_list(list);
    snapshot
}

fn start(index: usize, snapshot: &Snapshot) -> CappedSteer {
    let instance = InstanceId::new(&format!("entry-{index}"));
    let mut steer = CappedSteer::new(&ServiceName::new("desk"), &instance, &ZoneName::new("a"));
    steer.set_snapshot(snapshot);
    steer
}

fn shares_now(steer: &CappedSteer) -> [f64; 3] {
    let by_zone: BTreeMap<_, _> = steer.shares().collect();
    ZONES.map(|zone| by_zone[&ZoneName::new(zone)])
}

/// Returns the share that moved between two tables.
fn moved(from: [f64; 3], to: [f64; 3]) -> f64 {
    from.iter().zip(to).map(|(a, b)| (b - a).max(0.0)).sum()
}

/// Returns the largest movement between any two steps of one window.
fn largest_movement(totals: &[Option<[f64; 3]>]) -> f64 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    let mut largest = 0.0_f64;
    for (index, from) in totals.iter().enumerate() {
        let window = &totals[index..(index + steps + 1).min(totals.len())];
        for to in window.iter().flatten() {
            largest = largest.max(from.map_or(0.0, |from| moved(from, *to)));
        }
    }
    largest
}

/// A deployment whose traffic changes randomly between instances.
#[derive(Clone, Debug)]
struct Scenario {
    instances: usize,
    cap_ppm: u32,
    target: [u32; 3],
    seed: u64,
    /// Maximum number of requests per step and instance.
    max_requests: u64,
    /// Mean number of steps between those with requests for an instance.
    request_interval_steps: u64,
    /// Delay between the commit and the start of the shift.
    delay_ms: u64,
}

fn scenarios(
    max_requests: std::ops::Range<u64>,
    request_interval_steps: std::ops::Range<u64>,
) -> impl Strategy<Value = Scenario> {
    let targets = prop::sample::select(vec![
        [0, WHOLE_PPM, 0],
        [500_000, 250_000, 250_000],
        [100_000, 0, 900_000],
    ]);
    (1..10_usize, 20_000..300_000_u32, targets, any::<u64>(), max_requests, request_interval_steps)
        .prop_map(|(instances, cap_ppm, target, seed, max_requests, request_interval_steps)| {
            Scenario {
                instances,
                cap_ppm,
                target,
                seed,
                max_requests,
                request_interval_steps,
                delay_ms: DELAY_MS,
            }
        })
}

/// The shares that requests observed.
struct Observed {
    /// Mean shares of the requests of each step, or `None` without requests.
    totals: Vec<Option<[f64; 3]>>,
    /// Largest deviation of request counts from the shares.
    max_deviation: f64,
}

/// Runs a shift. Instances apply it at different times, have clocks that differ by
/// up to 1/32 of the window, and restart at random.
fn run(scenario: &Scenario) -> Observed {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let mut before = policy([WHOLE_PPM, 0, 0], scenario.cap_ppm);
    before.shift_delay_ms = scenario.delay_ms;
    let after = before.start_shift(&shares(scenario.target), None, Millis(COMMIT_MS)).unwrap();
    let (before, after) = (snapshot(&before, &[]), snapshot(&after, &[]));
    let mut steerings: Vec<_> = (0..scenario.instances).map(|i| start(i, &before)).collect();
    let applied_at_ms: Vec<_> = steerings.iter().map(|_| COMMIT_MS + rng.u64(..DELAY_MS)).collect();
    let skew_ms: Vec<_> = steerings.iter().map(|_| rng.u64(..WINDOW_MS / 32)).collect();
    let mut has_applied = vec![false; scenario.instances];
    let mut seen = Observed { totals: Vec::new(), max_deviation: 0.0 };
    let mut deviation = vec![[0.0; 3]; scenario.instances];
    for step in 0..STEPS {
        let now_ms = COMMIT_MS + step * STEP_MS;
        let (mut sum, mut requests) = ([0.0; 3], 0);
        for index in 0..scenario.instances {
            if !has_applied[index] && applied_at_ms[index] <= now_ms {
                steerings[index].set_snapshot(&after);
                has_applied[index] = true;
            }
            if has_applied[index] && rng.u64(..200) == 0 {
                steerings[index] = start(index, &after);
                deviation[index] = [0.0; 3];
            }
            if rng.u64(..scenario.request_interval_steps) > 0 {
                continue;
            }
            for _ in 0..rng.u64(..=scenario.max_requests) {
                let epoch_ms = Millis(now_ms + skew_ms[index]);
                let plan = steerings[index].plan(epoch_ms, Millis(now_ms));
                let now = shares_now(&steerings[index]);
                for (zone, deviation) in deviation[index].iter_mut().enumerate() {
                    sum[zone] += now[zone];
                    *deviation += now[zone] - f64::from(plan.zones[0].as_str() == ZONES[zone]);
                    seen.max_deviation = seen.max_deviation.max(deviation.abs());
                }
                let placed = plan.zones[0].clone();
                steerings[index].record_placement(&plan, Some(&placed), Millis(now_ms));
                requests += 1;
            }
        }
        let total = (requests > 0).then(|| sum.map(|sum| sum / f64::from(requests)));
        seen.totals.push(total);
    }
    seen
}

fn config(test: &str) -> ProptestConfig {
    let seed = azuregate_core::route::hash::stable_hash(&[test]);
    ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config("busy"))]

    // Traffic changes between instances during a shift. If their shares differed,
    // the total would jump with it.
    #[test]
    fn total_movement_stays_within_the_cap(scenario in scenarios(1..5, 1..3)) {
        let seen = run(&scenario);
        let cap = f64::from(scenario.cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_movement(&seen.totals);
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

proptest! {
    #![proptest_config(config("seldom"))]

    // At low rates, random selection could move several consecutive requests by
    // chance. Counts must stay within two requests of their share.
    #[test]
    fn request_counts_follow_the_shares_at_low_rates(scenario in scenarios(1..2, 1..80)) {
        let seen = run(&scenario);
        prop_assert!(seen.max_deviation < 2.0, "off by {}", seen.max_deviation);
        let cap = f64::from(scenario.cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_movement(&seen.totals);
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

proptest! {
    #![proptest_config(config("unhindered"))]

    #[test]
    fn shift_without_faults_uses_nine_tenths_of_the_cap(
        instances in 1..10_usize,
        cap_ppm in 50_000..300_000_u32,
    ) {
        let target = [0, WHOLE_PPM, 0];
        let scenario = Scenario {
            instances, cap_ppm, target, seed: 1, max_requests: 3, request_interval_steps: 1, delay_ms: DELAY_MS,
        };
        let cap = f64::from(cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_movement(&run(&scenario).totals);
        prop_assert!(largest >= 0.9 * cap, "{largest} moved, the cap is {cap}");
    }
}

/// A fault of the clock, the traffic or the servers of one instance.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The wall clock jumps by this many milliseconds.
    ClockJump(i64),
    /// No requests arrive for this many milliseconds.
    Idle(u64),
    /// The servers of a zone are down for this many milliseconds.
    ZoneDown(&'static str, u64),
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        prop::sample::select(vec![-60_000, -500, 500, 60_000]).prop_map(Fault::ClockJump),
        (1..5_000_u64).prop_map(Fault::Idle),
        (prop::sample::select(ZONES.to_vec()), 0..5_000_u64)
            .prop_map(|(zone, ms)| Fault::ZoneDown(zone, ms)),
    ]
}

/// Returns the shares of one instance for each step of a shift with a fault.
fn run_with_fault(fault: Fault, at_ms: u64, cap_ppm: u32) -> Vec<Option<[f64; 3]>> {
    let before = policy([400_000, 300_000, 300_000], cap_ppm);
    let target = shares([0, 500_000, 500_000]);
    let after = before.start_shift(&target, None, Millis(COMMIT_MS)).unwrap();
    let mut steer = start(0, &snapshot(&after, &[]));
    let mut seen = Vec::new();
    for step in 0..STEPS {
        let now_ms = COMMIT_MS + step * STEP_MS;
        let since_ms = now_ms.saturating_sub(at_ms);
        let mut epoch_ms = now_ms;
        match fault {
            Fault::ClockJump(by) if now_ms >= at_ms => epoch_ms = now_ms.saturating_add_signed(by),
            Fault::Idle(ms) if now_ms >= at_ms && since_ms < ms => {
                seen.push(None);
                continue;
            }
            Fault::ZoneDown(zone, ms) if now_ms >= at_ms => {
                let down = [zone];
                let down = if since_ms < ms { &down[..] } else { &[] };
                steer.set_snapshot(&snapshot(&after, down));
            }
            _ => {}
        }
        let plan = steer.plan(Millis(epoch_ms), Millis(now_ms));
        steer.record_placement(&plan, plan.zones.first(), Millis(now_ms));
        seen.push(Some(shares_now(&steer)));
    }
    seen
}

proptest! {
    #![proptest_config(config("troubled"))]

    // Each fault changes the target shares at once; the instance must follow within
    // the cap.
    #[test]
    fn instance_movement_stays_within_the_cap_despite_faults(
        fault in faults(), at_ms in COMMIT_MS..COMMIT_MS + 10_000, cap_ppm in 20_000..300_000_u32,
    ) {
        let cap = f64::from(cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_movement(&run_with_fault(fault, at_ms, cap_ppm));
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

// When the wall clock jumps back during a shift, shares that have moved stay, and
// the shift goes on once the clock has caught up.
#[test]
fn backward_clock_jump_moves_no_traffic_back() {
    let seen = run_with_fault(Fault::ClockJump(-500), COMMIT_MS + DELAY_MS + 1_500, 100_000);
    let share_of_a: Vec<f64> = seen.iter().flatten().map(|shares| shares[0]).collect();
    assert!(share_of_a.is_sorted_by(|a, b| a >= b));
    assert!(share_of_a.last().is_some_and(|&share| share < 1e-6));
}

// The share of a failed zone moves to the other zone within the cap; requests of
// the share that has not moved are refused.
#[test]
fn failover_stays_within_the_cap() {
    let policy = policy([500_000, 500_000, 0], 100_000);
    let mut steer = start(0, &snapshot(&policy, &[]));
    let mut refused = Vec::new();
    for window in 0..12_u64 {
        if window == 2 {
            steer.set_snapshot(&snapshot(&policy, &["a"]));
        }
        let mut empty = 0;
        for request in 0..100 {
            let now_ms = Millis(COMMIT_MS + window * WINDOW_MS + request * 10);
            let plan = steer.plan(now_ms, now_ms);
            assert_eq!(plan.cap_reached, plan.zones.is_empty());
            empty += u32::from(plan.cap_reached);
            steer.record_placement(&plan, plan.zones.first(), now_ms);
        }
        refused.push(empty);
    }
    assert_eq!(refused, [0, 0, 41, 31, 21, 13, 3, 0, 0, 0, 0, 0]);
    let moved = refused[2..].windows(2).map(|pair| pair[0] - pair[1]);
    assert!(moved.max() <= Some(10), "more than the cap in one window");
}

// With proximity routing, traffic of a failed region moves to another region
// within the cap, since the caches there are cold.
#[test]
fn proximity_routing_fails_over_within_the_cap() {
    let policy = policy([0, 0, 0], 100_000);
    let mut steer = start(0, &snapshot(&policy, &[]));
    let mut seen = Vec::new();
    for step in 0..STEPS {
        let now_ms = Millis(COMMIT_MS + step * STEP_MS);
        if step == 100 {
            steer.set_snapshot(&snapshot(&policy, &["a"]));
        }
        let plan = steer.plan(now_ms, now_ms);
        let away = plan.zones.first().is_some_and(|zone| zone.as_str() != "a");
        assert!(!away || step >= 100, "moved before the failure");
        steer.record_placement(&plan, plan.zones.first(), now_ms);
        seen.push(Some(shares_now(&steer)));
    }
    let largest = largest_movement(&seen);
    assert!((0.09..=0.1).contains(&largest), "{largest}");
    assert!(shares_now(&steer)[0] < 1e-6, "traffic remains in the failed region");
}

// Every request would overflow, since its zone is full. The cap is 10%, of which
// overflow may use half in any window.
#[test]
fn overflow_stays_within_the_cap() {
    let policy = policy([500_000, 500_000, 0], 100_000);
    let mut steer = start(0, &snapshot(&policy, &[]));
    let mut waiting = std::collections::VecDeque::new();
    let mut overflowed = Vec::new();
    for request in 0..1_000_u64 {
        let now_ms = Millis(COMMIT_MS + request * 10);
        let plan = steer.plan(now_ms, now_ms);
        waiting.push_back(plan);
        // 50 requests are in flight at any time.
        if waiting.len() > 50 {
            let plan = waiting.pop_front().unwrap();
            overflowed.push(plan.zones.len() > 1);
            steer.record_placement(&plan, plan.zones.last(), now_ms);
        }
    }
    let windows = overflowed.windows(100).map(|window| window.iter().filter(|&&over| over).count());
    let most = windows.max().unwrap();
    assert!((4..=5).contains(&most), "{most}");
}

#[test]
fn invalid_changes_are_rejected() {
    use ChangeErrorKind as E;

    let now = Millis(COMMIT_MS);
    let base = policy([400_000, 600_000, 0], 100_000);
    let target = shares([0, WHOLE_PPM, 0]);
    let running = base.start_shift(&target, None, now).unwrap();
    let drained = base.drain(&BackendId::new("x")).unwrap();
    let bad_cap = Some(Cap { share_ppm: 0, window_ms: 1 });
    let bad_window = Some(Cap { share_ppm: 1, window_ms: 0 });
    let short = shares([1, 2, 3]);
    let jump = Policy { zone_share_ppm: target.clone(), ..base.clone() };
    let no_timeout = Policy { timeout_ms: 0, ..base.clone() };
    let cases = [
        ("sum", base.start_shift(&short, None, now), E::InvalidShares),
        ("cap", base.start_shift(&target, bad_cap, now), E::InvalidCap),
        ("window", base.start_shift(&target, bad_window, now), E::InvalidCap),
        ("same", base.start_shift(&base.zone_share_ppm, None, now), E::SharesUnchanged),
        ("two shifts", running.start_shift(&shares_of(&base), None, now), E::ShiftInProgress),
        ("stop", base.stop_shift(now), E::NoShiftInProgress),
        ("drain twice", drained.drain(&BackendId::new("x")), E::AlreadyDrained),
        ("undrain", base.undrain(&BackendId::new("x")), E::NotDrained),
        (
            "jump",
            base.check_replace(&jump, now).map(|()| jump.clone()),
            E::SharesChangedWithoutShift,
        ),
        (
            "lost shift",
            running.check_replace(&base, now).map(|()| base.clone()),
            E::SharesChangedWithoutShift,
        ),
        ("timeout", base.check_replace(&no_timeout, now).map(|()| base.clone()), E::InvalidTimeout),
    ];
    for (case, result, kind) in cases {
        assert_eq!(result.unwrap_err().kind(), kind, "{case}");
    }
}

fn shares_of(policy: &Policy) -> Shares {
    policy.zone_share_ppm.clone()
}

#[test]
fn shift_lifecycle() {
    let base = policy([400_000, 600_000, 0], 100_000);
    let target = shares([0, WHOLE_PPM, 0]);
    let running = base.start_shift(&target, None, Millis(COMMIT_MS)).unwrap();
    let shift = running.shift.clone().unwrap();
    assert_eq!(running.version, base.version + 1);
    assert_eq!(shift.start_at_ms, Millis(COMMIT_MS + DELAY_MS));
    // 40% of all traffic at 9.2% per second.
    assert_eq!(shift.end_at_ms(), Millis(COMMIT_MS + DELAY_MS + 4_348));
    let at = |ms| shift.shares_at(Millis(COMMIT_MS + ms)).unwrap();
    assert_eq!(at(0), base.zone_share_ppm);
    assert_eq!(at(DELAY_MS + 2_174), shares([200_000, 800_000, 0]));
    assert_eq!(at(DELAY_MS + 60_000), target);

    let stopped = running.stop_shift(Millis(COMMIT_MS + DELAY_MS + 2_174)).unwrap();
    assert_eq!((stopped.zone_share_ppm, stopped.shift), (shares([200_000, 800_000, 0]), None));
    let ended = running.with_ended_shift_applied(Millis(COMMIT_MS + 60_000));
    assert_eq!((ended.zone_share_ppm, ended.shift), (target, None));
}
