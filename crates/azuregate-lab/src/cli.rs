//! The command line of the lab.

use std::{fs, net::SocketAddr, path::PathBuf, process::ExitCode};

use azuregate::dispatch::Rule;
use azuregate_core::names::ServiceName;
use gumdrop::Options;
use tokio::signal;

use crate::{baselines, client::ClientError, example::Example, load, up};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run all of an example in one process")]
    Up(UpArgs),
    #[options(help = "run the platform and the backend servers of an example, without entries")]
    StandIns(ExampleArgs),
    #[options(help = "write the settings file of each entry instance of an example")]
    Settings(SettingsArgs),
    #[options(help = "give load to a service and report")]
    Load(LoadArgs),
}

#[derive(Debug, Options)]
struct UpArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the example's file")]
    example: PathBuf,
    #[options(
        help = "how entries choose: random, round-robin, least-load, nearest or dispatcher",
        default = "dispatcher"
    )]
    rule: String,
}

#[derive(Debug, Options)]
struct ExampleArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the example's file")]
    example: PathBuf,
}

#[derive(Debug, Options)]
struct SettingsArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the example's file")]
    example: PathBuf,
    #[options(required, help = "the folder to write to")]
    out: PathBuf,
}

#[derive(Debug, Options)]
struct LoadArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the traffic address of any entry instance")]
    at: Option<SocketAddr>,
    #[options(required, help = "the service")]
    service: String,
    #[options(help = "requests a second", default = "100")]
    rate_per_s: f64,
    #[options(help = "how long, in milliseconds", default = "5000")]
    duration_ms: u64,
    #[options(help = "how many in a hundred are keyed orders", default = "10")]
    keyed_percent: u8,
    #[options(help = "seed of the arrivals", default = "1")]
    seed: u64,
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("{}\n\nCommands:\n{}", Args::usage(), Args::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), ClientError> {
    match command {
        Command::Up(args) => {
            run_up(&load_example(&args.example)?, &baselines::rule(&args.rule)?).await
        }
        Command::StandIns(args) => run_stand_ins(&load_example(&args.example)?).await,
        Command::Settings(args) => write_settings(&args),
        Command::Load(args) => run_load(args).await,
    }
}

fn load_example(path: &std::path::Path) -> Result<Example, ClientError> {
    Example::load(path).map_err(|e| format!("{e:?}").into())
}

async fn run_up(example: &Example, rule: &Rule) -> Result<(), ClientError> {
    azuregate::logs::start("warn");
    let lab = up::start_with(example, rule).await?;
    lab.wait_ready().await?;
    let (Some(entry), Some(service)) = (example.entries.first(), example.services.first()) else {
        return Err("the example has no entry instance or no service".into());
    };
    let (ip, ports, name) = (entry.ip, example.ports, &service.name);
    println!("{} is up: {} entry instances", example.name, example.entries.len());
    println!("  entries    http://{ip}:{}/v1/entries?service={name}", ports.traffic);
    println!("  histograms http://{ip}:{}/histograms", ports.status);
    println!("  operators  {ip}:{}", ports.operators);
    println!("try next:");
    println!("  curl -H 'Host: {name}' http://{ip}:{}/hello", ports.traffic);
    println!("  azuregate status --at {ip}:{}", ports.operators);
    println!("  azuregate-lab load --at {ip}:{} --service {name}", ports.traffic);
    println!("Ctrl-C stops everything");
    let report = load::run(&load::Config {
        at: SocketAddr::new(ip, ports.traffic),
        service: name.clone(),
        rate_per_s: 200.0,
        duration_ms: 3_000,
        keyed_percent: 10,
        seed: 1,
    })
    .await?;
    print_report(&report);
    signal::ctrl_c().await?;
    println!("stopping");
    lab.stop().await;
    Ok(())
}

async fn run_stand_ins(example: &Example) -> Result<(), ClientError> {
    let mut lab = up::stand_ins(example).await?;
    println!("platform at {}, {} backend servers", example.platform_addr, lab.backends.len());
    tokio::select! {
        () = lab.wait() => {}
        stopped = signal::ctrl_c() => stopped?,
    }
    Ok(())
}

fn write_settings(args: &SettingsArgs) -> Result<(), ClientError> {
    let example = load_example(&args.example)?;
    fs::create_dir_all(&args.out)?;
    for entry in &example.entries {
        let path = args.out.join(format!("{}.jsonc", entry.id));
        fs::write(&path, serde_json::to_string_pretty(&example.settings(entry))?)?;
        println!("{}", path.display());
    }
    Ok(())
}

async fn run_load(args: LoadArgs) -> Result<(), ClientError> {
    let at = args.at.ok_or("--at is missing")?;
    let report = load::run(&load::Config {
        at,
        service: ServiceName::new(&args.service),
        rate_per_s: args.rate_per_s,
        duration_ms: args.duration_ms,
        keyed_percent: args.keyed_percent,
        seed: args.seed,
    })
    .await?;
    print_report(&report);
    Ok(())
}

fn print_report(report: &load::Report) {
    println!("offered {}  answered {}  failed {}", report.offered, report.answered, report.failed);
    for (how, count) in &report.refused {
        println!("refused {how}: {count}");
    }
    println!(
        "p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms",
        report.p50_ms, report.p99_ms, report.p999_ms
    );
}
