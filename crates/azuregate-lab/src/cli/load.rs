//! `load`: generates load and reports the outcomes.

use std::{fs, net::SocketAddr, path::PathBuf};

use azuregate_core::{names::ServiceName, snapshot::InstanceList};
use gumdrop::Options;

use crate::{
    cli::load_example,
    client::{self, ClientError},
    load::{self, Audit, Report, RequestRecord},
};

/// Arguments of `load`.
#[derive(Debug, Options)]
pub(crate) struct LoadArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the traffic address of any entry instance")]
    at: Option<SocketAddr>,
    #[options(required, help = "the service")]
    service: String,
    #[options(help = "locate callers near every availability zone of this example")]
    example: Option<PathBuf>,
    #[options(no_short, help = "make half of all callers use two entry instances of the example")]
    skew: bool,
    #[options(help = "requests per second", default = "100")]
    rate_per_s: f64,
    #[options(help = "duration of the run in milliseconds", default = "5000")]
    duration_ms: u64,
    #[options(help = "percentage of orders with an idempotency key", default = "10")]
    keyed_percent: u8,
    #[options(help = "percentage of uploads", default = "0")]
    upload_percent: u8,
    #[options(no_short, help = "size of an upload in bytes", default = "100000")]
    upload_bytes: usize,
    #[options(help = "timeout of a request in milliseconds", default = "5000")]
    timeout_ms: u64,
    #[options(no_short, help = "retry up to three times after a not-run refusal with Retry-After")]
    retry: bool,
    #[options(no_short, help = "seed of the arrivals, part of the request IDs", default = "1")]
    seed: u64,
    #[options(
        help = "the platform's address: audit the outcomes against the executions at the backend \
                servers that it lists"
    )]
    platform: Option<SocketAddr>,
    #[options(help = "write the report to this file as JSON")]
    json: Option<PathBuf>,
    #[options(no_short, help = "plot the run to this file as SVG")]
    plot: Option<PathBuf>,
}

/// Maximum number of retries with `--retry`.
const RETRIES: u32 = 3;

impl LoadArgs {
    fn config(&self) -> Result<load::Config, ClientError> {
        let at = self.at.ok_or("--at is missing")?;
        let mut config = load::Config::new(at, &ServiceName::new(&self.service));
        if let Some(path) = &self.example {
            let example = load_example(path)?;
            config = config.with_locations_of(&example);
            if self.skew {
                config = config.with_skew(&example);
            }
        } else if self.skew {
            return Err("--skew needs --example".into());
        }
        config.rate_per_s = self.rate_per_s;
        config.duration_ms = self.duration_ms;
        config.keyed_percent = self.keyed_percent;
        config.upload_percent = self.upload_percent;
        config.upload_bytes = self.upload_bytes;
        config.timeout_ms = self.timeout_ms;
        config.retries = if self.retry { RETRIES } else { 0 };
        config.seed = self.seed;
        Ok(config)
    }
}

/// Runs `load`.
pub(crate) async fn run(args: &LoadArgs) -> Result<(), ClientError> {
    let config = args.config()?;
    let records = load::run(&config).await?;
    let audit = match args.platform {
        Some(platform) => Some(audit(platform, &config.service, &records).await?),
        None => None,
    };
    let report = Report::new(&records, config.duration_ms, audit);
    print!("{report}");
    if let Some(path) = &args.json {
        fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &args.plot {
        let title = format!(
            "{} at {}/s for {} ms, seed {}",
            config.service, config.rate_per_s, config.duration_ms, config.seed
        );
        fs::write(path, load::svg(&title, &records))?;
    }
    Ok(())
}

async fn audit(
    platform: SocketAddr,
    service: &ServiceName,
    records: &[RequestRecord],
) -> Result<Audit, ClientError> {
    let answer = client::get(platform, "/v1/instances").await?;
    let list: InstanceList = serde_json::from_slice(answer.body())?;
    let servers = list.backends.iter().filter(|server| server.service == *service);
    let addrs: Vec<_> = servers.map(|server| server.addr).collect();
    Ok(load::audit(records, &load::fetch_executions(&addrs).await?))
}
