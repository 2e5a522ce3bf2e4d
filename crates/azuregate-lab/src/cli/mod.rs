//! The command line of the lab.

mod load;
mod measure;
mod up;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use azuregate::cli::print_line;
use gumdrop::Options;
use tokio::signal;

use crate::{client::ClientError, example::Example};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run an example in one process under a light load")]
    Up(up::UpArgs),
    #[options(help = "run the simulated platform of an example")]
    Platform(ExampleArgs),
    #[options(help = "run the simulated backend servers of an example")]
    Backends(ExampleArgs),
    #[options(help = "run the platform and the backend servers of an example, without entries")]
    StandIns(ExampleArgs),
    #[options(help = "write the settings file of each entry instance of an example")]
    Settings(SettingsArgs),
    #[options(help = "generate load for a service and report the outcomes")]
    Load(load::LoadArgs),
    #[options(help = "run measurements and write tables")]
    Measure(measure::MeasureArgs),
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
    #[options(required, help = "the directory to write to")]
    out: PathBuf,
}

/// Runs the command line with the arguments of this process.
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
        Command::Up(args) => up::run(&args).await,
        Command::Platform(args) => run_platform(&load_example(&args.example)?).await,
        Command::Backends(args) => run_backends(&load_example(&args.example)?).await,
        Command::StandIns(args) => run_simulators(&load_example(&args.example)?).await,
        Command::Settings(args) => write_settings(&args),
        Command::Load(args) => load::run(&args).await,
        Command::Measure(args) => measure::run(args).await,
    }
}

fn load_example(path: &Path) -> Result<Example, ClientError> {
    Example::load(path).map_err(|e| format!("{e:?}").into())
}

async fn run_platform(example: &Example) -> Result<(), ClientError> {
    let (_server, _task) = crate::up::serve_platform(example, None).await?;
    print_line(format_args!("platform at {}", example.platform_addr));
    Ok(signal::ctrl_c().await?)
}

async fn run_backends(example: &Example) -> Result<(), ClientError> {
    let (backends, _tasks) = crate::up::serve_backends(example, None, 1).await?;
    for backend in &backends {
        print_line(format_args!("{} at {}", backend.server.id, backend.server.addr));
    }
    Ok(signal::ctrl_c().await?)
}

async fn run_simulators(example: &Example) -> Result<(), ClientError> {
    let mut lab = crate::up::start_simulators(example).await?;
    print_line(format_args!(
        "platform at {}, {} backend servers",
        example.platform_addr,
        lab.backends.len()
    ));
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
        print_line(format_args!("{}", path.display()));
    }
    Ok(())
}
