//! `measure`: takes the measurements for docs/MEASUREMENTS.md.

use std::{
    fs,
    path::{Path, PathBuf},
};

use azuregate::cli::print_line;
use gumdrop::Options;

use crate::{
    baselines,
    cli::load_example,
    client::ClientError,
    measure::{self, Experiment, Plan},
};

/// The examples that `measure all` uses.
const EXAMPLES: [&str; 2] = ["examples/kvas.jsonc", "examples/pawprint.jsonc"];
/// The rules that are compared by default.
const RULES: &str = "dispatcher,nearest,random,round-robin,least-load";

/// Arguments of `measure`.
#[derive(Debug, Options)]
pub(crate) struct MeasureArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, help = "latency, drain, shift, config, recovery, overhead or all")]
    what: Option<String>,
    #[options(free, help = "the example's file, by default examples/kvas.jsonc")]
    example: Option<PathBuf>,
    #[options(no_short, help = "write Markdown and JSON to this directory")]
    out: Option<PathBuf>,
    #[options(no_short, help = "comma-separated rules for latency")]
    rules: Option<String>,
    #[options(no_short, help = "comma-separated loads for latency, in percent of all slots")]
    loads: Option<String>,
    #[options(no_short, help = "number of seeds, starting from 1", default = "2")]
    seeds: u64,
    #[options(no_short, help = "length of each latency run in milliseconds", default = "3000")]
    run_ms: u64,
    #[options(no_short, help = "make half of all callers use two entry instances")]
    skew: bool,
}

/// Runs `measure`.
pub(crate) async fn run(args: MeasureArgs) -> Result<(), ClientError> {
    azuregate::logs::init("off");
    let what = args.what.as_deref().unwrap_or("all");
    if what == "all" {
        return run_all(&args).await;
    }
    let Some(experiment) = Experiment::parse(what) else {
        return Err(format!("there is no experiment {what:?}; see --help").into());
    };
    let file = args.example.clone().unwrap_or_else(|| EXAMPLES[0].into());
    let plan = plan(&args, &file)?;
    let section = measure::one(experiment, &plan).await?;
    print_line(format_args!("{}", section.to_markdown()));
    if let Some(out) = &args.out {
        fs::create_dir_all(out)?;
        let json = serde_json::to_string_pretty(&section)?;
        fs::write(out.join(format!("{what}.json")), json)?;
        fs::write(out.join(format!("{what}.md")), section.to_markdown())?;
    }
    Ok(())
}

fn plan(args: &MeasureArgs, file: &Path) -> Result<Plan, ClientError> {
    let rules: Vec<_> =
        args.rules.as_deref().unwrap_or(RULES).split(',').map(str::to_owned).collect();
    for rule in &rules {
        baselines::rule(rule)?;
    }
    let loads = args.loads.as_deref().unwrap_or("50,80,95,120").split(',').map(str::parse);
    Ok(Plan {
        example: load_example(file)?,
        example_file: file.to_owned(),
        rules,
        load_percents: loads.collect::<Result<_, _>>()?,
        seeds: (1..=args.seeds).collect(),
        run_ms: args.run_ms,
        skew: args.skew,
    })
}

/// Runs all experiments with the first example, and latency also with the second
/// and with skew.
async fn run_all(args: &MeasureArgs) -> Result<(), ClientError> {
    let out = args.out.clone().ok_or("measure all needs --out DIR")?;
    let [first, second] = EXAMPLES.map(|file| plan(args, file.as_ref()));
    let (first, second) = (first?, second?);
    let skewed = Plan { skew: true, load_percents: vec![95], ..first.clone() };
    let second = Plan { load_percents: vec![50, 95], ..second };
    let latency = [first.clone(), skewed, second].map(|plan| (Experiment::Latency, plan));
    let others = Experiment::ALL.into_iter().filter(|other| *other != Experiment::Latency);
    let experiments: Vec<_> =
        latency.into_iter().chain(others.map(|other| (other, first.clone()))).collect();
    let failed = measure::all(&experiments, &out).await?;
    print_line(format_args!("{}", out.join("measurements.md").display()));
    if failed.is_empty() { Ok(()) } else { Err(format!("failed: {}", failed.join(", ")).into()) }
}
