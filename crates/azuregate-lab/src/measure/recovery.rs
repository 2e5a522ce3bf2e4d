//! What failures cost callers: how long, how many, and whether anything is
//! doubled or mixed up.

use std::time::Duration;

use azuregate_core::names::RegionName;
use serde::Serialize;
use tokio::time;

use crate::{
    client::ClientError,
    example::{EntryExample, Example, ServiceExample},
    load::{self, Audit, Class, Latency, Report, RequestOutcome, RequestRecord},
    measure::{Plan, Section, processes::Entries},
    up::{self, Lab},
};

/// Load as a share of all slots.
const LOAD: f64 = 0.4;
/// When the failure comes.
const EVENT_MS: u64 = 4_000;
/// Requests from here on may be in flight when the failure comes.
const IN_FLIGHT_MS: u64 = EVENT_MS - 1_000;
/// How long the load goes on after the failure is over.
const AFTER_MS: u64 = 8_000;
/// How long an instance is frozen.
const FROZEN_MS: u64 = 10_000;
/// How long failing over to other regions may take.
const FAIL_OVER_MS: u64 = 12_000;
/// How long a caller waits.
const TIMEOUT_MS: u64 = 2_000;
/// Reads are judged in bins of this length.
const BIN_MS: u64 = 250;
/// Baseline starts here, when connections are open.
const SETTLED_MS: u64 = 1_000;
/// A bin is as before when at most so many more reads than before are unserved
/// or slow.
const TOLERANCE: f64 = 0.05;
/// A read is slow beyond so many times the 99th percentile from before.
const SLOW: f64 = 1.5;

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Failure {
    InstanceKilled,
    RegionGone,
    InstanceFrozen,
}

impl Failure {
    /// How long it lasts: a lost region moves at the pace of the policy's cap,
    /// 10% a second in the examples.
    fn lasts_ms(self) -> u64 {
        match self {
            Failure::InstanceKilled => 0,
            Failure::RegionGone => FAIL_OVER_MS,
            Failure::InstanceFrozen => FROZEN_MS,
        }
    }
}

/// One failure.
#[derive(Clone, Debug, Serialize)]
struct Run {
    failure: Failure,
    /// From the failure until reads are served as before.
    recovered_ms: u64,
    /// Whether they were at the end.
    recovered: bool,
    /// Reads before the failure.
    before: Latency,
    /// Reads after it or in flight at it that got no answer of a backend server.
    unserved_reads: u64,
    /// Those reads, in all.
    reads: u64,
    /// Share of the reads that were unserved or slow, by bin from the start.
    bad_shares: Vec<f64>,
    report: Report,
}

/// Measures each failure once.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let mut runs = Vec::new();
    for failure in [Failure::InstanceKilled, Failure::RegionGone, Failure::InstanceFrozen] {
        runs.push(run(plan, failure).await?);
    }
    Ok(section(plan, &runs))
}

async fn run(plan: &Plan, failure: Failure) -> Result<Run, ClientError> {
    let example = plan.fresh_example();
    let service = example.services.first().ok_or("the example has no service")?;
    let options = up::Options { delays: true, ..up::Options::default() };
    let lab = up::start_simulators_with(&example, &options).await?;
    let mut entries = Entries::start(&example).await?;
    let entry = example.entries.last().ok_or("the example has no entry instance")?;
    let at = example.traffic_addr(entry);
    let mut config = load::Config::new(at, &service.name).with_locations_of(&example);
    config.rate_per_s = service.capacity_per_s() * LOAD;
    config.timeout_ms = TIMEOUT_MS;
    let duration_ms = EVENT_MS + failure.lasts_ms() + AFTER_MS;
    config.duration_ms = duration_ms;
    let loading = tokio::spawn(async move { load::run(&config).await });
    time::sleep(Duration::from_millis(EVENT_MS)).await;
    fail(&lab, &mut entries, service, failure).await?;
    let ended = loading.await??;
    let audit = load::audit(&ended, &lab.executions());
    drop(entries);
    lab.stop().await;
    Ok(judge(failure, &ended, duration_ms, audit))
}

async fn fail(
    lab: &Lab,
    entries: &mut Entries,
    service: &ServiceExample,
    failure: Failure,
) -> Result<(), ClientError> {
    let target = alone_in_its_zone(&lab.example);
    match failure {
        Failure::InstanceKilled => entries.kill(target)?,
        Failure::RegionGone => {
            let region = lab.example.topology.regions.get(1).ok_or("there is no second region")?;
            kill_region(lab, service, &region.name);
        }
        Failure::InstanceFrozen => {
            entries.freeze(target)?;
            time::sleep(Duration::from_millis(FROZEN_MS)).await;
            entries.thaw(target)?;
        }
    }
    Ok(())
}

/// An entry instance that is the only one of its availability zone: callers near
/// it use it, and it dispatches for the backend servers there.
fn alone_in_its_zone(example: &Example) -> usize {
    let is_alone = |entry: &EntryExample| {
        example.entries.iter().filter(|other| other.zone == entry.zone).count() == 1
    };
    example.entries.iter().position(is_alone).unwrap_or(0)
}

fn kill_region(lab: &Lab, service: &ServiceExample, region: &RegionName) {
    for backend in lab.backends_of(&service.name) {
        if lab.example.topology.region_of(&backend.server.zone) == Some(region) {
            backend.kill();
        }
    }
}

fn judge(failure: Failure, ended: &[RequestRecord], duration_ms: u64, audit: Audit) -> Run {
    let reads = || ended.iter().filter(|request| request.class == Class::Read);
    let due_in = |start: u64, end: u64| {
        reads().filter(move |request| (start..end).contains(&request.due_ms))
    };
    let before = Latency::of(due_in(SETTLED_MS, EVENT_MS));
    let limit_us = (before.p99_ms * SLOW * 1_000.0) as u64;
    let is_bad = |request: &&RequestRecord| {
        request.ending != RequestOutcome::Answered || request.latency_us > limit_us
    };
    let bad_share = |start: u64, end: u64| {
        let all = due_in(start, end).count().max(1);
        due_in(start, end).filter(is_bad).count() as f64 / all as f64
    };
    let bad_shares: Vec<_> = (0..duration_ms)
        .step_by(BIN_MS as usize)
        .map(|start| bad_share(start, start + BIN_MS))
        .collect();
    let allowed = bad_share(SETTLED_MS, EVENT_MS) + TOLERANCE;
    let bins = (EVENT_MS..duration_ms).step_by(BIN_MS as usize);
    let last_bad = bins.filter(|&start| bad_share(start, start + BIN_MS) > allowed).last();
    let recovered_ms = last_bad.map_or(0, |start| start + BIN_MS - EVENT_MS);
    Run {
        failure,
        recovered_ms,
        recovered: EVENT_MS + recovered_ms + 4 * BIN_MS <= duration_ms,
        before,
        unserved_reads: due_in(IN_FLIGHT_MS, duration_ms)
            .filter(|request| request.ending != RequestOutcome::Answered)
            .count() as u64,
        reads: due_in(IN_FLIGHT_MS, duration_ms).count() as u64,
        bad_shares,
        report: Report::new(ended, duration_ms, Some(audit)),
    }
}

fn section(plan: &Plan, runs: &[Run]) -> Section {
    let rows = runs.iter().map(|run| {
        let audit = run.report.audit.clone().unwrap_or_default();
        vec![
            match run.failure {
                Failure::InstanceKilled => "one instance killed".to_owned(),
                Failure::RegionGone => "backend servers of one region gone".to_owned(),
                Failure::InstanceFrozen => format!("one instance frozen for {FROZEN_MS} ms"),
            },
            if run.recovered { run.recovered_ms.to_string() } else { "not recovered".to_owned() },
            format!("{} of {}", run.unserved_reads, run.reads),
            audit.duplicates.len().to_string(),
            run.report.mixed_up.to_string(),
            audit.losses.len().to_string(),
            audit.false_not_run.len().to_string(),
            format!("{:.0}", run.before.p99_ms),
        ]
    });
    Section {
        title: format!("Recovery: {}", plan.example.name),
        command: format!("azuregate-lab measure recovery {}", plan.example_file.display()),
        notes: vec![
            format!(
                "Each entry instance a process; the backend servers' answers take the delays of \
                 the example. Load at {:.0}% of all slots, a tenth of it keyed orders; callers \
                 wait {TIMEOUT_MS} ms. The instance is the only one of its availability zone. One \
                 run each.",
                LOAD * 100.0
            ),
            format!(
                "Reads are as before from the end of the last {BIN_MS} ms in which the share of \
                 reads that were not answered, or took more than {SLOW} times the 99th percentile \
                 from before, was more than {:.0} points above its level from before. The time \
                 counts from the failure, so a frozen instance's own {FROZEN_MS} ms are in it.",
                TOLERANCE * 100.0
            ),
        ],
        columns: vec![
            "failure",
            "reads as before after, ms",
            "reads not served",
            "orders doubled",
            "answers mixed up",
            "answered but never ran",
            "ran though refused as not run",
            "p99 before, ms",
        ],
        rows: rows.collect(),
        data: serde_json::to_value(runs).unwrap_or_default(),
    }
}
