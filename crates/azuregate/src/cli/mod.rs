//! The command line.

mod operator;

use std::{fs, path::PathBuf, process::ExitCode};

use error_stack::Report;
use gumdrop::Options;

use crate::{logs, run, settings::Settings, stop};

/// The whole command line.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run an entry instance")]
    Run(RunArgs),
    #[options(help = "check settings and do nothing else")]
    Check(CheckArgs),
    #[options(help = "show what an entry instance knows and does")]
    Status(operator::StatusArgs),
    #[options(help = "read and change policies")]
    Policy(operator::PolicyArgs),
}

#[derive(Debug, Options)]
struct RunArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the settings file")]
    settings: PathBuf,
}

#[derive(Debug, Options)]
struct CheckArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the settings file")]
    settings: PathBuf,
}

/// How a command ended, for scripts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// Something else went wrong.
    Failed = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// The instance refused.
    Refused = 3,
    /// Another change came first.
    Conflict = 4,
    /// The instance could not be reached.
    Unreachable = 5,
    /// It is not known whether the change was made.
    Unknown = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("{}\n\nCommands:\n{}", Args::usage(), Args::command_list().unwrap_or_default());
        return Exit::Usage.into();
    };
    match command {
        Command::Run(args) => run_instance(&args),
        Command::Check(args) => check(&args),
        Command::Status(args) => block_on(operator::status(args)),
        Command::Policy(args) => block_on(operator::policy(args)),
    }
    .into()
}

fn block_on(command: impl Future<Output = Exit>) -> Exit {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(command),
        Err(e) => {
            eprintln!("cannot start: {e}");
            Exit::Failed
        }
    }
}

fn check(args: &CheckArgs) -> Exit {
    match Settings::load(&args.settings) {
        Ok(_) => {
            println!("{}: the settings can be used", args.settings.display());
            Exit::Done
        }
        Err(e) => usage(&e),
    }
}

fn usage(e: &Report<crate::settings::SettingsError>) -> Exit {
    // The causes are only there when the file could not be read.
    let causes: Vec<_> =
        e.frames().filter_map(|frame| frame.downcast_ref::<std::io::Error>()).collect();
    eprintln!("{}", e.current_context());
    for cause in causes {
        eprintln!("{cause}");
    }
    Exit::Usage
}

fn run_instance(args: &RunArgs) -> Exit {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => return usage(&e),
    };
    logs::start(&settings.log_filter);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start: {e}");
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let (stopper, stop) = stop::channel();
        tokio::spawn(stop_on_signal(stopper));
        match run::run(settings, stop).await {
            Ok(()) => Exit::Done,
            Err(e) => {
                eprintln!("{e:?}");
                Exit::Failed
            }
        }
    })
}

/// The first SIGTERM or SIGINT starts a planned stop, the second ends the
/// process at once.
async fn stop_on_signal(stopper: stop::Stopper) {
    use tokio::signal::unix::{SignalKind, signal};

    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("signals cannot be watched");
        return std::future::pending().await;
    };
    for first in [true, false] {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if first {
            log::info!("planned stop");
            stopper.stop();
        }
    }
    std::process::exit(Exit::Failed as i32);
}

/// Reads a file that a command names.
fn read_file(path: &std::path::Path) -> Result<String, Exit> {
    fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: {e}", path.display());
        Exit::Usage
    })
}
