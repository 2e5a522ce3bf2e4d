//! `up`: runs an example in one process.

use std::{collections::BTreeMap, path::PathBuf};

use azuregate::cli::print_line;
use gumdrop::Options;
use tokio::signal;

use crate::{
    baselines,
    cli::load_example,
    client::ClientError,
    example::{Example, ServiceExample},
    load::{self, Class, Report},
    up::{self, Lab},
};

/// Interval between printed reports.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Arguments of `up`.
#[derive(Debug, Options)]
pub(crate) struct UpArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the example's file")]
    example: PathBuf,
    #[options(
        help = "how entries choose servers: random, round-robin, least-load, nearest or dispatcher",
        default = "dispatcher"
    )]
    rule: String,
    #[options(no_short, help = "requests per second of the load; 0 for none", default = "200")]
    rate_per_s: f64,
    #[options(no_short, help = "do not simulate network delays")]
    no_delays: bool,
}

/// Runs `up`.
pub(crate) async fn run(args: &UpArgs) -> Result<(), ClientError> {
    azuregate::logs::init("warn");
    let example = load_example(&args.example)?;
    let Some(service) = example.services.first() else {
        return Err("the example has no service".into());
    };
    let options = up::Options {
        rule: baselines::rule(&args.rule)?,
        delays: !args.no_delays,
        ..up::Options::default()
    };
    let lab = up::start_with(&example, &options).await?;
    lab.wait_ready().await?;
    print_overview(&lab.example, service)?;
    tokio::select! {
        finished = generate_load(&lab, service, args.rate_per_s) => finished?,
        stopped = signal::ctrl_c() => stopped?,
    }
    print_line(format_args!(
        "planned stop: entry instances serve for another {} ms, then finish requests in progress; \
         Ctrl-C again exits at once",
        example.stop_delay_ms
    ));
    tokio::select! {
        () = lab.stop() => print_line(format_args!("stopped")),
        stopped = signal::ctrl_c() => stopped?,
    }
    Ok(())
}

fn print_overview(example: &Example, service: &ServiceExample) -> Result<(), ClientError> {
    let entry = example.entries.first().ok_or("the example has no entry instance")?;
    let (ip, ports, name) = (entry.ip, example.ports, &service.name);
    let traffic = example.traffic_addr(entry);
    print_line(format_args!("{} is up: {} entry instances", example.name, example.entries.len()));
    print_line(format_args!("  entries     http://{traffic}/v1/entries?service={name}"));
    print_line(format_args!("  histograms  http://{ip}:{}/histograms", ports.status));
    print_line(format_args!("  operators   {ip}:{}", ports.operators));
    print_line(format_args!("  platform    http://{}/lab/counts", example.platform_addr));
    print_line(format_args!("try next, in another terminal:"));
    print_line(format_args!("  curl -H 'Host: {name}' http://{traffic}/hello"));
    print_line(format_args!("  azuregate status --at {ip}:{}", ports.operators));
    print_line(format_args!(
        "  azuregate-lab load --at {traffic} --service {name} --platform {}",
        example.platform_addr
    ));
    if let Some(server) = example.backends(service).first() {
        print_line(format_args!(
            "  curl -d '{{\"shed\":true}}' http://{}/lab/behaviour",
            server.addr
        ));
    }
    print_line(format_args!("Ctrl-C stops everything"));
    print_line(format_args!(""));
    Ok(())
}

/// Generates load indefinitely and prints a line per [`REPORT_INTERVAL_MS`].
async fn generate_load(
    lab: &Lab,
    service: &ServiceExample,
    rate_per_s: f64,
) -> Result<(), ClientError> {
    if rate_per_s <= 0.0 {
        return std::future::pending().await;
    }
    let entry = lab.example.entries.first().ok_or("the example has no entry instance")?;
    let at = lab.example.traffic_addr(entry);
    let mut config = load::Config::new(at, &service.name).with_locations_of(&lab.example);
    config.rate_per_s = rate_per_s;
    config.duration_ms = REPORT_INTERVAL_MS;
    loop {
        let records = load::run(&config).await?;
        let audit = load::audit(&records, &lab.executions());
        let report = Report::new(&records, REPORT_INTERVAL_MS, Some(audit));
        print_line(format_args!("{}", format_line(&report, &region_shares(lab, service))));
        // Without this, the memory use of a long run would grow without bound.
        for backend in &lab.backends {
            backend.counts().clear_details();
        }
        config.seed += 1;
    }
}

fn format_line(report: &Report, regions: &str) -> String {
    let reads = report.latency.get(&Class::Read).copied().unwrap_or_default();
    let duplicates = report.audit.as_ref().map_or(0, |audit| audit.duplicates.len());
    format!(
        "{:>4}/s answered  {:>3} refused  {:>3} failed  {duplicates} doubled  \
         reads p50 {:.0} ms p99 {:.0} ms  {regions}",
        report.goodput_per_s.round(),
        report.refused_count(),
        report.failed_count(),
        reads.p50_ms,
        reads.p99_ms,
    )
}

/// Returns the share of executions in each region.
fn region_shares(lab: &Lab, service: &ServiceExample) -> String {
    let mut ran: BTreeMap<String, u64> = BTreeMap::new();
    for backend in lab.backends_of(&service.name) {
        let region = lab.example.topology.region_of(&backend.server.zone);
        let name = region.map_or_else(String::new, ToString::to_string);
        let executions: u64 = backend.counts().buckets.values().map(|bucket| bucket.ran).sum();
        *ran.entry(name).or_default() += executions;
    }
    let total = ran.values().sum::<u64>().max(1);
    let shares = ran.iter().map(|(region, count)| format!("{region} {}%", count * 100 / total));
    shares.collect::<Vec<_>>().join("  ")
}
