//! The movement of a shift as a share of its cap.

use std::{collections::BTreeMap, time::Duration};

use azuregate::platform::{Commit, Expect, Table, Write};
use azuregate_core::{
    names::ZoneName,
    policy::{Cap, Policy},
    time::Millis,
};
use serde::Serialize;
use tokio::time;

use crate::{
    backends::{BUCKET_MS, epoch_ms},
    client::ClientError,
    example::{Example, ServiceExample},
    load,
    measure::{Plan, Section, Spread},
    platform::Server,
    up::{self, Lab},
};

/// What may move in any window.
const CAP: Cap = Cap { share_ppm: 100_000, window_ms: 2_000 };
/// How much moves in all.
const DISTANCE: f64 = 0.5;
/// How long shares are averaged over.
const AVERAGE_MS: u64 = 1_000;
/// Load of the most loaded availability zone, as a share of its slots.
const ZONE_LOAD: f64 = 0.6;
/// How long before the shift the shares are watched at rest.
const REST_MS: u64 = 5_000;
/// From the commit to the start of the movement.
const DELAY_MS: u64 = 2_000;
/// How long the movement is watched.
const WATCH_MS: u64 = 14_000;

/// One shift.
#[derive(Clone, Debug, Serialize)]
struct Run {
    seed: u64,
    /// The largest movement in any window, as a share of the cap.
    largest: f64,
    /// The same before anything moved: what chance alone gives.
    at_rest: f64,
    /// How much of the cap was used between a tenth and nine tenths of the way;
    /// none if the shift did not come so far.
    used: Option<f64>,
    /// The share that moved in the end.
    moved: f64,
    /// The share of the gaining zone each 100 ms, averaged.
    gaining: Vec<f64>,
}

/// Measures one shift for each seed.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let service = plan.example.services.first().ok_or("the example has no service")?;
    let mut runs = Vec::new();
    for &seed in &plan.seeds {
        runs.push(run(plan, service, seed).await?);
    }
    Ok(section(plan, &runs))
}

/// The zones that lose, stay and gain.
fn zones(example: &Example) -> Result<[ZoneName; 3], ClientError> {
    let first_of = |index: usize| {
        let region = example.topology.regions.get(index)?;
        region.zones.first().cloned()
    };
    let zones = [first_of(0), first_of(1), first_of(2)];
    let [Some(losing), Some(staying), Some(gaining)] = zones else {
        return Err("the example has fewer than three regions".into());
    };
    Ok([losing, staying, gaining])
}

async fn run(plan: &Plan, service: &ServiceExample, seed: u64) -> Result<Run, ClientError> {
    let [losing, staying, gaining] = zones(&plan.example)?;
    let half = |a: &ZoneName, b: &ZoneName| -> BTreeMap<ZoneName, u32> {
        [(a.clone(), 500_000), (b.clone(), 500_000)].into()
    };
    let example = Example { stop_delay_ms: 0, ..plan.fresh_example() };
    let options = up::Options { delays: true, seed, ..up::Options::default() };
    let relayed = Example { relays: true, ..example };
    let mut lab = up::start_simulators_with(&relayed, &options).await?;
    let from = half(&losing, &staying);
    change(&lab.platform, service, |policy| {
        let (zone_share_ppm, shift_delay_ms) = (from, DELAY_MS);
        Ok(Policy { zone_share_ppm, shift_delay_ms, cap: CAP, version: 2, ..policy.clone() })
    })?;
    lab.start_entries(&options.rule);
    lab.wait_ready().await?;
    let loading = tokio::spawn(give(config(&lab, service, seed)?));
    time::sleep(Duration::from_millis(2_000)).await;
    let rest_ms = epoch_ms();
    time::sleep(Duration::from_millis(REST_MS)).await;
    let commit_ms = epoch_ms();
    let to = half(&staying, &gaining);
    let changed = change(&lab.platform, service, |policy| {
        policy.start_shift(&to, None, Millis(epoch_ms())).map_err(Into::into)
    });
    time::sleep(Duration::from_millis(DELAY_MS + WATCH_MS)).await;
    let end_ms = epoch_ms();
    loading.abort();
    let (lost, gained) = (
        Shares::read(&lab, service, &losing, rest_ms..end_ms),
        Shares::read(&lab, service, &gaining, rest_ms..end_ms),
    );
    lab.stop_within(Duration::from_secs(5)).await;
    changed?;
    let rest = ((commit_ms - rest_ms) / BUCKET_MS) as usize;
    Ok(Run {
        seed,
        largest: lost.largest_move(lost.0.len()).max(gained.largest_move(gained.0.len())),
        at_rest: lost.largest_move(rest),
        used: gained.used(),
        moved: gained.0.last().copied().unwrap_or(0.0),
        gaining: gained.0,
    })
}

fn config(lab: &Lab, service: &ServiceExample, seed: u64) -> Result<load::Config, ClientError> {
    let entry = lab.example.entries.first().ok_or("the example has no entry instance")?;
    let at = lab.example.traffic_addr(entry);
    let mut config = load::Config::new(at, &service.name).with_locations_of(&lab.example);
    // The last zone has the fewest servers.
    let zones = lab.example.topology.zones().count().max(1);
    let servers = usize::from(service.upstreams) / zones;
    let zone_capacity_per_s =
        service.capacity_per_s() * servers as f64 / f64::from(service.upstreams);
    config.rate_per_s = zone_capacity_per_s * ZONE_LOAD / DISTANCE;
    config.keyed_percent = 0;
    config.duration_ms = 600_000;
    config.seed = seed;
    Ok(config)
}

async fn give(config: load::Config) -> Result<(), ClientError> {
    load::run(&config).await.map(|_| ())
}

/// Commits a change of a policy as an instance would that accepted it.
fn change(
    platform: &Server,
    service: &ServiceExample,
    change: impl FnOnce(&Policy) -> Result<Policy, ClientError>,
) -> Result<(), ClientError> {
    let mut store = platform.store();
    let key = service.name.to_string();
    let row = store.read(Table::Policy.as_str(), &key).ok_or("the platform holds no policy")?;
    let mut policy = change(&serde_json::from_value(row.value)?)?;
    policy.operation_id = format!("lab-{}", policy.version);
    let write = Write {
        table: Table::Policy,
        key,
        expect: Expect::Version(row.version),
        value: Some(serde_json::to_value(&policy)?),
    };
    match store.transact(&[write]) {
        Commit::Done(_) => Ok(()),
        Commit::Conflict { .. } => Err("another change came first".into()),
    }
}

/// The share of one zone each 100 ms, averaged over [`AVERAGE_MS`].
struct Shares(Vec<f64>);

impl Shares {
    fn read(
        lab: &Lab,
        service: &ServiceExample,
        zone: &ZoneName,
        span_ms: std::ops::Range<u64>,
    ) -> Shares {
        let buckets = span_ms.start / BUCKET_MS..span_ms.end / BUCKET_MS;
        let length = (buckets.end - buckets.start) as usize;
        let (mut of_zone, mut of_all) = (vec![0_u64; length], vec![0_u64; length]);
        for backend in lab.backends_of(&service.name) {
            for (&at, bucket) in backend.counts().buckets.range(buckets.clone()) {
                let index = (at - buckets.start) as usize;
                of_all[index] += bucket.ran;
                if backend.server.zone == *zone {
                    of_zone[index] += bucket.ran;
                }
            }
        }
        let width = (AVERAGE_MS / BUCKET_MS) as usize;
        let sums = of_zone.windows(width).zip(of_all.windows(width));
        Shares(
            sums.map(|(zone, all)| {
                zone.iter().sum::<u64>() as f64 / all.iter().sum::<u64>().max(1) as f64
            })
            .collect(),
        )
    }

    /// The largest difference between two averages that are a window apart,
    /// among the first `length`, as a share of the cap.
    fn largest_move(&self, length: usize) -> f64 {
        let window = (CAP.window_ms / BUCKET_MS) as usize;
        let shares = &self.0[..length.min(self.0.len())];
        let pairs = shares.iter().zip(shares.iter().skip(window));
        let largest = pairs.map(|(before, after)| (after - before).abs()).fold(0.0, f64::max);
        largest / (f64::from(CAP.share_ppm) / 1e6)
    }

    fn used(&self) -> Option<f64> {
        let reached = |share: f64| self.0.iter().position(|s| *s >= share);
        let (low, high) = (DISTANCE * 0.1, DISTANCE * 0.9);
        let steps = reached(high)?.checked_sub(reached(low)?)?.max(1);
        let windows = (steps as u64 * BUCKET_MS) as f64 / CAP.window_ms as f64;
        Some((high - low) / windows / (f64::from(CAP.share_ppm) / 1e6))
    }
}

fn section(plan: &Plan, runs: &[Run]) -> Section {
    let rows = runs.iter().map(|run| {
        vec![
            run.seed.to_string(),
            format!("{:.2}", run.largest),
            format!("{:.2}", run.at_rest),
            run.used.map_or_else(|| "did not come so far".to_owned(), |used| format!("{used:.2}")),
            format!("{:.2}", run.moved),
        ]
    });
    let largest = Spread::of(runs.iter().map(|run| run.largest));
    let used = Spread::of(runs.iter().filter_map(|run| run.used));
    let used = if used.count == 0 { "-".to_owned() } else { used.to_string() };
    let summary = vec!["all".to_owned(), largest.to_string(), "-".to_owned(), used, "-".to_owned()];
    Section {
        title: format!("Shift: {}", plan.example.name),
        command: format!(
            "azuregate-lab measure shift {} --seeds {}",
            plan.example_file.display(),
            plan.seeds.len()
        ),
        notes: vec![
            format!(
                "All in one process on loopback, with the delays of the example. Half of the \
                 traffic moves from one region to another, at most {}% in any {} ms; the row is \
                 committed at the platform, and moves {DELAY_MS} ms later.",
                CAP.share_ppm / 10_000,
                CAP.window_ms
            ),
            format!(
                "From the backend servers' own counts, averaged over {AVERAGE_MS} ms: the largest \
                 difference between two averages a window apart. Arrivals are random, so chance \
                 alone gives the figure 'at rest', measured before anything moved. 'Used' is the \
                 pace between a tenth and nine tenths of the way."
            ),
        ],
        columns: vec!["seed", "largest / cap", "at rest / cap", "used / cap", "share moved"],
        rows: rows.chain([summary]).collect(),
        data: serde_json::to_value(runs).unwrap_or_default(),
    }
}
