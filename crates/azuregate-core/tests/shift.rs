//! Shifts never move more than their cap, whatever moves besides.

#![allow(missing_docs, clippy::unwrap_used, reason = "tests")]

use std::{collections::BTreeMap, sync::Arc};

use azuregate_core::{
    names::{BackendId, InstanceId, RegionName, ServiceName, StartNumber, ZoneName},
    policy::{Cap, ChangeErrorKind, Policy, Shares, WHOLE_PPM},
    snapshot::{BackendServer, InstanceList, Liveness, Snapshot},
    steer::{Capped, Steer},
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

/// Three regions of one zone and one backend server each; `dead` zones leave.
fn snapshot(policy: &Policy, dead: &[&str]) -> Snapshot {
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
        liveness: if dead.contains(zone) { Liveness::Leaving } else { Liveness::Live },
    });
    let list = InstanceList { instances: Vec::new(), backends: backends.collect() };
    let mut snapshot = Snapshot::empty(Arc::new(topology));
    snapshot.apply_policy(policy.clone());
    snapshot.set_list(list);
    snapshot
}

fn start(index: usize, snapshot: &Snapshot) -> Capped {
    let instance = InstanceId::new(&format!("entry-{index}"));
    let mut steer = Capped::new(&ServiceName::new("desk"), &instance, &ZoneName::new("a"));
    steer.set_snapshot(snapshot);
    steer
}

fn shares_now(steer: &Capped) -> [f64; 3] {
    let by_zone: BTreeMap<_, _> = steer.shares().collect();
    ZONES.map(|zone| by_zone[&ZoneName::new(zone)])
}

/// The share that moved between two tables.
fn moved(from: [f64; 3], to: [f64; 3]) -> f64 {
    from.iter().zip(to).map(|(a, b)| (b - a).max(0.0)).sum()
}

/// The largest movement between any two steps of one window.
fn largest_move(whole: &[Option<[f64; 3]>]) -> f64 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    let mut largest = 0.0_f64;
    for (index, from) in whole.iter().enumerate() {
        let window = &whole[index..(index + steps + 1).min(whole.len())];
        for to in window.iter().flatten() {
            largest = largest.max(from.map_or(0.0, |from| moved(from, *to)));
        }
    }
    largest
}

/// A world of instances whose traffic moves between them at random.
#[derive(Clone, Debug)]
struct World {
    instances: usize,
    cap_ppm: u32,
    goal: [u32; 3],
    seed: u64,
    /// How many requests each instance gets in a step at the most.
    rate: u64,
    /// Requests for an instance come in one step of so many.
    sparse: u64,
    /// The delay of the shift after its commit.
    delay_ms: u64,
}

fn worlds(
    rate: std::ops::Range<u64>,
    sparse: std::ops::Range<u64>,
) -> impl Strategy<Value = World> {
    let goals = prop::sample::select(vec![
        [0, WHOLE_PPM, 0],
        [500_000, 250_000, 250_000],
        [100_000, 0, 900_000],
    ]);
    (1..10_usize, 20_000..300_000_u32, goals, any::<u64>(), rate, sparse).prop_map(
        |(instances, cap_ppm, goal, seed, rate, sparse)| World {
            instances,
            cap_ppm,
            goal,
            seed,
            rate,
            sparse,
            delay_ms: DELAY_MS,
        },
    )
}

/// What the whole's requests saw.
struct Seen {
    /// The whole's share for each step, or `None` when no request came.
    whole: Vec<Option<[f64; 3]>>,
    /// How far counted requests were from the shares, at the worst.
    off_by: f64,
}

/// Runs a shift: each instance hears of it after a time of its own, its clock is
/// off by up to a sixty-fourth of the window, some start anew.
fn run(world: &World) -> Seen {
    let mut rng = fastrand::Rng::with_seed(world.seed);
    let mut before = policy([WHOLE_PPM, 0, 0], world.cap_ppm);
    before.shift_delay_ms = world.delay_ms;
    let after = before.start_shift(&shares(world.goal), None, Millis(COMMIT_MS)).unwrap();
    let (before, after) = (snapshot(&before, &[]), snapshot(&after, &[]));
    let mut steers: Vec<_> = (0..world.instances).map(|i| start(i, &before)).collect();
    let heard_ms: Vec<_> = steers.iter().map(|_| COMMIT_MS + rng.u64(..DELAY_MS)).collect();
    let skew_ms: Vec<_> = steers.iter().map(|_| rng.u64(..WINDOW_MS / 32)).collect();
    let mut has_heard = vec![false; world.instances];
    let mut seen = Seen { whole: Vec::new(), off_by: 0.0 };
    let mut off = vec![[0.0; 3]; world.instances];
    for step in 0..STEPS {
        let now_ms = COMMIT_MS + step * STEP_MS;
        let (mut sum, mut requests) = ([0.0; 3], 0);
        for index in 0..world.instances {
            if !has_heard[index] && heard_ms[index] <= now_ms {
                steers[index].set_snapshot(&after);
                has_heard[index] = true;
            }
            if has_heard[index] && rng.u64(..200) == 0 {
                steers[index] = start(index, &after);
                off[index] = [0.0; 3];
            }
            if rng.u64(..world.sparse) > 0 {
                continue;
            }
            for _ in 0..rng.u64(..=world.rate) {
                let epoch_ms = Millis(now_ms + skew_ms[index]);
                let plan = steers[index].plan(epoch_ms, Millis(now_ms));
                let now = shares_now(&steers[index]);
                for (zone, off) in off[index].iter_mut().enumerate() {
                    sum[zone] += now[zone];
                    *off += now[zone] - f64::from(plan.zones[0].as_str() == ZONES[zone]);
                    seen.off_by = seen.off_by.max(off.abs());
                }
                let went = plan.zones[0].clone();
                steers[index].went(&plan, Some(&went), Millis(now_ms));
                requests += 1;
            }
        }
        let whole = (requests > 0).then(|| sum.map(|sum| sum / f64::from(requests)));
        seen.whole.push(whole);
    }
    seen
}

fn config(test: &str) -> ProptestConfig {
    let seed = azuregate_core::route::hash::score(&[test]);
    ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config("busy"))]

    // Callers go from instance to instance while a shift runs. If instances
    // stood at different places, the whole would jump with them.
    #[test]
    fn the_whole_never_moves_more_than_the_cap(world in worlds(1..5, 1..3)) {
        let seen = run(&world);
        let cap = f64::from(world.cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_move(&seen.whole);
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

proptest! {
    #![proptest_config(config("seldom"))]

    // A request every few seconds: whoever draws lots moves several requests in
    // a row by chance. Counted requests stay within two of their share.
    #[test]
    fn counts_follow_the_shares_at_any_rate(world in worlds(1..2, 1..80)) {
        let seen = run(&world);
        prop_assert!(seen.off_by < 2.0, "off by {}", seen.off_by);
        let cap = f64::from(world.cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_move(&seen.whole);
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

proptest! {
    #![proptest_config(config("unhindered"))]

    #[test]
    fn an_unhindered_shift_uses_nine_tenths_of_the_cap(
        instances in 1..10_usize,
        cap_ppm in 50_000..300_000_u32,
    ) {
        let goal = [0, WHOLE_PPM, 0];
        let world = World {
            instances, cap_ppm, goal, seed: 1, rate: 3, sparse: 1, delay_ms: DELAY_MS,
        };
        let cap = f64::from(cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_move(&run(&world).whole);
        prop_assert!(largest >= 0.9 * cap, "{largest} moved, the cap is {cap}");
    }
}

/// What happens to the clock or the servers of one instance.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Its wall clock jumps by so much.
    Jump(i64),
    /// It gets nothing to do for so long.
    Idle(u64),
    /// The servers of a zone go, and come back so much later.
    Dies(&'static str, u64),
}

fn troubles() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        prop::sample::select(vec![-60_000, -500, 500, 60_000]).prop_map(Trouble::Jump),
        (1..5_000_u64).prop_map(Trouble::Idle),
        (prop::sample::select(ZONES.to_vec()), 0..5_000_u64)
            .prop_map(|(zone, ms)| Trouble::Dies(zone, ms)),
    ]
}

/// The shares of one instance to which trouble comes in the middle of a shift.
fn run_troubled(trouble: Trouble, at_ms: u64, cap_ppm: u32) -> Vec<Option<[f64; 3]>> {
    let before = policy([400_000, 300_000, 300_000], cap_ppm);
    let goal = shares([0, 500_000, 500_000]);
    let after = before.start_shift(&goal, None, Millis(COMMIT_MS)).unwrap();
    let mut steer = start(0, &snapshot(&after, &[]));
    let mut seen = Vec::new();
    for step in 0..STEPS {
        let now_ms = COMMIT_MS + step * STEP_MS;
        let since_ms = now_ms.saturating_sub(at_ms);
        let mut epoch_ms = now_ms;
        match trouble {
            Trouble::Jump(by) if now_ms >= at_ms => epoch_ms = now_ms.saturating_add_signed(by),
            Trouble::Idle(ms) if now_ms >= at_ms && since_ms < ms => {
                seen.push(None);
                continue;
            }
            Trouble::Dies(zone, ms) if now_ms >= at_ms => {
                let dead = [zone];
                let dead = if since_ms < ms { &dead[..] } else { &[] };
                steer.set_snapshot(&snapshot(&after, dead));
            }
            _ => {}
        }
        let plan = steer.plan(Millis(epoch_ms), Millis(now_ms));
        steer.went(&plan, plan.zones.first(), Millis(now_ms));
        seen.push(Some(shares_now(&steer)));
    }
    seen
}

proptest! {
    #![proptest_config(config("troubled"))]

    // A clock that jumps, a pause and a dying zone each put the place where the
    // instance ought to be far away at once. It goes there within the cap.
    #[test]
    fn one_instance_never_moves_more_than_the_cap(
        trouble in troubles(), at_ms in COMMIT_MS..COMMIT_MS + 10_000, cap_ppm in 20_000..300_000_u32,
    ) {
        let cap = f64::from(cap_ppm) / f64::from(WHOLE_PPM);
        let largest = largest_move(&run_troubled(trouble, at_ms, cap_ppm));
        prop_assert!(largest <= cap * 1.000_001, "{largest} moved, the cap is {cap}");
    }
}

// The wall clock jumps back by half a second in the middle of a shift. What has
// moved stays; the shift goes on when the clock is where it was.
#[test]
fn a_clock_that_jumps_back_sends_no_traffic_back() {
    let seen = run_troubled(Trouble::Jump(-500), COMMIT_MS + DELAY_MS + 1_500, 100_000);
    let share_of_a: Vec<f64> = seen.iter().flatten().map(|shares| shares[0]).collect();
    assert!(share_of_a.is_sorted_by(|a, b| a >= b));
    assert!(share_of_a.last().is_some_and(|&share| share < 1e-6));
}

// A zone dies. Its share goes to the others at the pace of the cap; requests of
// the rest are refused as not run, and those that overflow use the cap as well.
#[test]
fn failing_over_is_a_capped_shift() {
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
            steer.went(&plan, plan.zones.first(), now_ms);
        }
        refused.push(empty);
    }
    assert_eq!(refused, [0, 0, 41, 31, 21, 13, 3, 0, 0, 0, 0, 0]);
    let moved = refused[2..].windows(2).map(|pair| pair[0] - pair[1]);
    assert!(moved.max() <= Some(10), "more than the cap in one window");
}

// Nearness decides, and the home region dies: traffic goes to another region at
// the pace of the cap, for the other region's caches are as cold.
#[test]
fn nearness_fails_over_to_another_region_within_the_cap() {
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
        assert!(!away || step >= 100, "nothing has failed yet");
        steer.went(&plan, plan.zones.first(), now_ms);
        seen.push(Some(shares_now(&steer)));
    }
    let largest = largest_move(&seen);
    assert!((0.09..=0.1).contains(&largest), "{largest}");
    assert!(shares_now(&steer)[0] < 1e-6, "the other regions have all of it at last");
}

// The nearest server of each request's zone is full, so each wants to overflow.
// In no window do more than half of the cap.
#[test]
fn overflow_stays_within_the_cap() {
    let policy = policy([500_000, 500_000, 0], 100_000);
    let mut steer = start(0, &snapshot(&policy, &[]));
    let mut waiting = std::collections::VecDeque::new();
    let mut went = Vec::new();
    for request in 0..1_000_u64 {
        let now_ms = Millis(COMMIT_MS + request * 10);
        let plan = steer.plan(now_ms, now_ms);
        waiting.push_back(plan);
        // Fifty requests are on their way at any time.
        if waiting.len() > 50 {
            let plan = waiting.pop_front().unwrap();
            went.push(plan.zones.len() > 1);
            steer.went(&plan, plan.zones.last(), now_ms);
        }
    }
    let windows = went.windows(100).map(|window| window.iter().filter(|&&over| over).count());
    let most = windows.max().unwrap();
    assert!((4..=5).contains(&most), "{most}");
}

#[test]
fn changes_that_are_not_allowed() {
    use ChangeErrorKind as E;

    let now = Millis(COMMIT_MS);
    let base = policy([400_000, 600_000, 0], 100_000);
    let goal = shares([0, WHOLE_PPM, 0]);
    let running = base.start_shift(&goal, None, now).unwrap();
    let drained = base.drain(&BackendId::new("x")).unwrap();
    let bad_cap = Some(Cap { share_ppm: 0, window_ms: 1 });
    let bad_window = Some(Cap { share_ppm: 1, window_ms: 0 });
    let short = shares([1, 2, 3]);
    let jump = Policy { zone_share_ppm: goal.clone(), ..base.clone() };
    let no_timeout = Policy { timeout_ms: 0, ..base.clone() };
    let cases = [
        ("sum", base.start_shift(&short, None, now), E::InvalidShares),
        ("cap", base.start_shift(&goal, bad_cap, now), E::InvalidCap),
        ("window", base.start_shift(&goal, bad_window, now), E::InvalidCap),
        ("same", base.start_shift(&base.zone_share_ppm, None, now), E::SharesUnchanged),
        ("two shifts", running.start_shift(&short_of(&base), None, now), E::ShiftInProgress),
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

fn short_of(policy: &Policy) -> Shares {
    policy.zone_share_ppm.clone()
}

#[test]
fn a_shift_through_its_life() {
    let base = policy([400_000, 600_000, 0], 100_000);
    let goal = shares([0, WHOLE_PPM, 0]);
    let running = base.start_shift(&goal, None, Millis(COMMIT_MS)).unwrap();
    let shift = running.shift.clone().unwrap();
    assert_eq!(running.version, base.version + 1);
    assert_eq!(shift.start_at_ms, Millis(COMMIT_MS + DELAY_MS));
    // 40% of the whole at 9.2% a second.
    assert_eq!(shift.end_at_ms(), Millis(COMMIT_MS + DELAY_MS + 4_348));
    let at = |ms| shift.shares_at(Millis(COMMIT_MS + ms)).unwrap();
    assert_eq!(at(0), base.zone_share_ppm);
    assert_eq!(at(DELAY_MS + 2_174), shares([200_000, 800_000, 0]));
    assert_eq!(at(DELAY_MS + 60_000), goal);

    let stopped = running.stop_shift(Millis(COMMIT_MS + DELAY_MS + 2_174)).unwrap();
    assert_eq!((stopped.zone_share_ppm, stopped.shift), (shares([200_000, 800_000, 0]), None));
    let ended = running.with_ended_shift_applied(Millis(COMMIT_MS + 60_000));
    assert_eq!((ended.zone_share_ppm, ended.shift), (goal, None));
}
