//! Latency and headroom by rule, at several loads.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Serialize;
use tokio::time;

use crate::{
    backends::{BUCKET_MS, Backend},
    baselines,
    client::ClientError,
    example::{Example, ServiceExample},
    load::{self, Class, Latency, Report, RequestOutcome, RequestRecord},
    measure::{Plan, Section, Spread},
    up::{self, Lab},
};

/// Load that is given before anything counts.
const WARM_UP_MS: u64 = 1_000;
/// How long a window the load of a region is averaged over.
const WINDOW_MS: u64 = 1_000;
/// How long the entry instances may take to stop after a run.
const STOP: Duration = Duration::from_secs(5);

/// One run.
#[derive(Clone, Debug, Serialize)]
struct Run {
    load_percent: u32,
    rule: String,
    seed: u64,
    report: Report,
    /// Reads, from the intended start.
    reads: Latency,
    /// 99th percentile of the service times themselves.
    service_p99_ms: f64,
    /// Offered requests that got no answer of a backend server.
    unserved_percent: f64,
    /// Answers within the time, as a share of what all slots can do.
    goodput: f64,
    /// Refusals by backend servers for each offered request.
    sheds: f64,
    /// Runs that the entries cancelled, for each offered request.
    cancelled: f64,
    /// The largest load that any region was given in any second, as a share of
    /// its slots.
    overload: f64,
    /// The longest that a timer of this process was late: the bench's own error.
    late_ms: u64,
}

/// What one run gave.
struct Given {
    ended: Vec<RequestRecord>,
    service_p99_ms: f64,
    shed: u64,
    cancelled: u64,
    overload: f64,
    late_ms: u64,
}

/// Measures latency and headroom, all rules side by side.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let service = plan.example.services.first().ok_or("the example has no service")?;
    let mut runs = Vec::new();
    for &seed in &plan.seeds {
        for &load_percent in &plan.load_percents {
            for rule in &plan.rules {
                runs.push(run(plan, service, rule, load_percent, seed).await?);
            }
        }
    }
    Ok(section(plan, service, &runs))
}

async fn run(
    plan: &Plan,
    service: &ServiceExample,
    rule: &str,
    load_percent: u32,
    seed: u64,
) -> Result<Run, ClientError> {
    let example = Example { stop_delay_ms: 0, ..plan.fresh_example() };
    let options = up::Options { rule: baselines::rule(rule)?, delays: true, seed };
    let lab = up::start_with(&example, &options).await?;
    lab.wait_ready().await?;
    let given = give(plan, &lab, service, load_percent, seed).await;
    lab.stop_within(STOP).await;
    let given = given?;
    let report = Report::new(&given.ended, plan.run_ms, None);
    let offered = report.offered.max(1) as f64;
    Ok(Run {
        load_percent,
        rule: rule.to_owned(),
        seed,
        reads: report.latency.get(&Class::Read).copied().unwrap_or_default(),
        service_p99_ms: given.service_p99_ms,
        unserved_percent: (report.offered - report.answered) as f64 * 100.0 / offered,
        goodput: goodput(&given.ended, plan.run_ms, service),
        sheds: given.shed as f64 / offered,
        cancelled: given.cancelled as f64 / offered,
        overload: given.overload,
        late_ms: given.late_ms,
        report,
    })
}

async fn give(
    plan: &Plan,
    lab: &Lab,
    service: &ServiceExample,
    load_percent: u32,
    seed: u64,
) -> Result<Given, ClientError> {
    let entry = lab.example.entries.first().ok_or("the example has no entry instance")?;
    let at = lab.example.traffic_addr(entry);
    let mut config = load::Config::new(at, &service.name).with_locations_of(&lab.example);
    if plan.skew {
        config = config.with_skew(&lab.example);
    }
    config.rate_per_s = service.capacity_per_s() * f64::from(load_percent) / 100.0;
    config.keyed_percent = 0;
    config.duration_ms = WARM_UP_MS;
    config.seed = seed + 1_000_000;
    load::run(&config).await?;
    let sum = |count: fn(&Backend) -> u64| -> u64 {
        lab.backends_of(&service.name).map(|backend| count(backend)).sum()
    };
    let (shed, cancelled) = (|b: &Backend| b.stats().shed, |b: &Backend| b.stats().cancelled);
    let (shed_before, cancelled_before) = (sum(shed), sum(cancelled));
    for backend in &lab.backends {
        backend.counts().clear_details();
    }
    config.duration_ms = plan.run_ms;
    config.seed = seed;
    let watch = tokio::spawn(lateness(Duration::from_millis(plan.run_ms)));
    let ended = load::run(&config).await?;
    let late_ms = watch.await?;
    let overload = overload(lab, service);
    Ok(Given {
        ended,
        service_p99_ms: service_p99_ms(lab, service),
        shed: sum(shed) - shed_before,
        cancelled: sum(cancelled) - cancelled_before,
        overload,
        late_ms,
    })
}

fn service_p99_ms(lab: &Lab, service: &ServiceExample) -> f64 {
    let backends = lab.backends_of(&service.name);
    let times: Vec<_> = backends.flat_map(|b| b.counts().service_us.clone()).collect();
    Spread::of(times.into_iter().map(|us| f64::from(us) / 1_000.0)).p99
}

/// Answers that came after the first half second, when the queues have filled,
/// and before the end.
fn goodput(ended: &[RequestRecord], run_ms: u64, service: &ServiceExample) -> f64 {
    let settled_ms = 500.min(run_ms / 2);
    let in_time = ended.iter().filter(|request| {
        let at_ms = request.due_ms + request.latency_us / 1_000;
        request.ending == RequestOutcome::Answered && (settled_ms..run_ms).contains(&at_ms)
    });
    let span_s = (run_ms - settled_ms) as f64 / 1_000.0;
    in_time.count() as f64 / span_s / service.capacity_per_s()
}

fn overload(lab: &Lab, service: &ServiceExample) -> f64 {
    let mut regions: BTreeMap<_, (u64, BTreeMap<u64, u64>)> = BTreeMap::new();
    for backend in lab.backends_of(&service.name) {
        let region = lab.example.topology.region_of(&backend.server.zone);
        let (slots, arrivals) = regions.entry(region).or_default();
        *slots += u64::from(backend.server.slots);
        for (&at, bucket) in &backend.counts().buckets {
            *arrivals.entry(at).or_default() += bucket.arrived;
        }
    }
    let width = WINDOW_MS / BUCKET_MS;
    let mut largest = 0.0_f64;
    for (slots, arrivals) in regions.values() {
        let capacity = (slots * WINDOW_MS) as f64 / service.service_ms.max(1) as f64;
        for &start in arrivals.keys() {
            let arrived: u64 = arrivals.range(start..start + width).map(|(_, count)| count).sum();
            largest = largest.max(arrived as f64 / capacity);
        }
    }
    largest
}

/// The longest that a timer was late within `span`.
async fn lateness(span: Duration) -> u64 {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    while start.elapsed() < span {
        let slept = Instant::now();
        time::sleep(STEP).await;
        longest = longest.max(slept.elapsed().saturating_sub(STEP));
    }
    u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
}

fn section(plan: &Plan, service: &ServiceExample, runs: &[Run]) -> Section {
    let mut rows = Vec::new();
    for &load in &plan.load_percents {
        for rule in &plan.rules {
            let of_cell = || runs.iter().filter(|r| r.load_percent == load && r.rule == *rule);
            let spread = |figure: fn(&Run) -> f64| Spread::of(of_cell().map(figure));
            rows.push(vec![
                format!("{load}%"),
                rule.clone(),
                format!("{:.1}", spread(|run| run.reads.p50_ms)),
                format!("{:.1}", spread(|run| run.reads.p99_ms)),
                format!("{:.1}", spread(|run| run.reads.p999_ms)),
                format!("{:.1}", spread(|run| run.service_p99_ms).median),
                format!("{}", spread(|run| run.unserved_percent)),
                format!("{}", spread(|run| run.goodput)),
                format!("{}", spread(|run| run.sheds)),
                format!("{:.3}", spread(|run| run.cancelled)),
                format!("{}", spread(|run| run.overload)),
                format!("{:.0}", spread(|run| run.late_ms as f64).max),
            ]);
        }
    }
    let skew = if plan.skew { ", two entry instances with half of all callers" } else { "" };
    Section {
        title: format!("Latency and headroom: {}, {}{skew}", plan.example.name, service.name),
        command: command(plan),
        notes: notes(plan, service),
        columns: vec![
            "load",
            "rule",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "own p99 ms",
            "refused %",
            "goodput",
            "sheds",
            "cancelled",
            "overload",
            "late ms",
        ],
        rows,
        data: serde_json::to_value(runs).unwrap_or_default(),
    }
}

fn notes(plan: &Plan, service: &ServiceExample) -> Vec<String> {
    vec![
        format!(
            "All in one process on loopback, with the delays of the example. {} backend servers \
             of {} slots, mean service time {} ms ({:?}). Reads only, {} ms a run after \
             {WARM_UP_MS} ms of warm-up, seeds {:?}: median (min to max) over the seeds.",
            service.upstreams,
            service.slots,
            service.service_ms,
            service.distribution,
            plan.run_ms,
            plan.seeds
        ),
        "Latency is from the intended start, of answered reads; 'own p99' is that of the \
         service times themselves. 'Refused' counts all that got no \
         answer of a backend server. 'Goodput' is a share of what all slots can do. 'Sheds' are \
         refusals by backend servers for each request, 'cancelled' the runs that entry \
         instances broke off, for each request: both are work in vain. 'Overload' is the largest \
         load given to any region in any second, as a share of its slots. 'Late' is the longest \
         that a timer of the bench was late: its own error."
            .to_owned(),
    ]
}

fn command(plan: &Plan) -> String {
    let percents: Vec<_> = plan.load_percents.iter().map(ToString::to_string).collect();
    format!(
        "azuregate-lab measure latency {} --rules {} --loads {} --seeds {} --run-ms {}{}",
        plan.example_file.display(),
        plan.rules.join(","),
        percents.join(","),
        plan.seeds.len(),
        plan.run_ms,
        if plan.skew { " --skew" } else { "" }
    )
}
