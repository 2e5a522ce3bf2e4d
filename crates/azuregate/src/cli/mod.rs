/*!
The command-line interface.

`args` and `options` define the options, `commands` implements the commands that call
an instance, and `call` retries such calls on other instances.
*/

mod args;
mod call;
mod commands;
mod help;
mod options;
mod policy_file;
mod print;
mod shares;
mod stdout;

use std::{env, fs, io, mem::ManuallyDrop, path::Path, process::ExitCode};

use azuregate_platform::settings::{
    Settings as PlatformSettings, SettingsError as PlatformSettingsError,
};
use error_stack::{AttachmentKind, FrameKind, Report};
use gumdrop::Options;
use serde::Serialize;

use self::{
    args::{Args, CheckArgs, Command, ServeArgs, SettingsArgs},
    options::OutputFormat,
};
use crate::{
    jsonc::Problem,
    logs, run, serve,
    settings::{Settings, SettingsError},
    stop::{self, StopHandle, StopSignal},
};

pub use stdout::print_line;

const SIGNAL_STACK_BYTES: usize = 512 << 10;

/// The exit status of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for another reason than those below.
    Failed = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// The instance refused the request; nothing was changed.
    Refused = 3,
    /// A concurrent change took precedence; nothing was changed.
    Conflict = 4,
    /// No instance could be reached, or the platform could not; nothing was changed.
    Unreachable = 5,
    /// The change may or may not have been applied.
    Unknown = 6,
}

impl Exit {
    /// Returns the class's name in JSON output.
    pub fn as_str(self) -> &'static str {
        match self {
            Exit::Done => "done",
            Exit::Failed => "failed",
            Exit::Usage => "usage",
            Exit::Refused => "refused",
            Exit::Conflict => "conflict",
            Exit::Unreachable => "unreachable",
            Exit::Unknown => "unknown",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let raw_args: Vec<String> = env::args().skip(1).collect();
    let args = match Args::parse_args_default(&raw_args) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("azuregate: {e}; --help says more");
            return Exit::Usage.into();
        }
    };
    if args.help_requested() {
        print_line(format_args!("{}", help::text(&args)));
        return Exit::Done.into();
    }
    match args.command {
        Some(Command::Run(args)) => run_instance(&args),
        Some(Command::Serve(args)) => serve_on_platform(&args),
        Some(Command::Check(args)) => check(&args),
        Some(command) => block_on(commands::run(command)),
        None => {
            eprintln!("{}", help::text(&args));
            Exit::Usage
        }
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

/// The JSON output of `check`.
#[derive(Serialize)]
struct CheckResult<'a> {
    class: &'static str,
    problems: &'a [Problem],
    warnings: &'a [String],
}

fn check(args: &CheckArgs) -> Exit {
    let loaded = Settings::load(&args.settings);
    let warnings = loaded.as_ref().map(Settings::warnings).unwrap_or_default();
    let exit = match &loaded {
        Ok(_) => Exit::Done,
        Err(e) => report_settings_error(e),
    };
    print_warnings(&args.settings, &warnings);
    let problems = loaded.as_ref().err().map_or(&[][..], |e| e.current_context().problems());
    let result = CheckResult { class: exit.as_str(), problems, warnings: &warnings };
    if args.output == OutputFormat::Json || exit == Exit::Done {
        let file = args.settings.display();
        print::response(args.output, &result, |_| format!("{file}: the settings can be used"));
    }
    exit
}

fn print_warnings(file: &Path, warnings: &[String]) {
    for warning in warnings {
        eprintln!("{}: warning: {warning}", file.display());
    }
}

fn report_settings_error(e: &Report<SettingsError>) -> Exit {
    eprintln!("{}", e.current_context());
    // Only a file that could not be read has an I/O error as its cause.
    for cause in e.frames().filter_map(|frame| frame.downcast_ref::<std::io::Error>()) {
        eprintln!("{cause}");
    }
    Exit::Usage
}

/// Runs an entry instance on the users' platform. A single-threaded runtime is enough
/// there, because an instance has a fraction of one CPU core.
fn serve_on_platform(args: &ServeArgs) -> Exit {
    let path = args.settings.clone().unwrap_or_else(PlatformSettings::path);
    if args.check {
        return check_platform_settings(&path, serve::load_settings(&path).err());
    }
    logs::init_stdout(&args.log);
    logs::install_panic_hook();
    block_on(async {
        let stop = stop_on_signal();
        let settings = match serve::load_settings(&path) {
            Ok(settings) => settings,
            Err(e) => {
                log_startup_error(&e);
                return Exit::Usage;
            }
        };
        match serve::run(settings, Some(path), stop).await {
            Ok(()) => Exit::Done,
            Err(e) => {
                log_startup_error(&e);
                Exit::Failed
            }
        }
    })
}

/// Prints the errors in a settings file of the platform, one line for each field.
fn check_platform_settings(path: &Path, e: Option<Report<serve::ServeError>>) -> Exit {
    let Some(e) = e else {
        print_line(format_args!("{}: the settings can be used", path.display()));
        return Exit::Done;
    };
    let settings_error = e.frames().find_map(|frame| frame.downcast_ref::<PlatformSettingsError>());
    match settings_error {
        Some(settings_error) => {
            for problem in settings_error.problems() {
                eprintln!("{}: {problem}", path.display());
            }
        }
        None => eprintln!("{}: cannot be read", path.display()),
    }
    Exit::Usage
}

fn run_instance(args: &SettingsArgs) -> Exit {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => return report_settings_error(&e),
    };
    print_warnings(&args.settings, &settings.warnings());
    logs::init(&settings.log_filter);
    logs::install_panic_hook();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start: {e}");
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let stop = stop_on_signal();
        match run::run(settings, stop).await {
            Ok(()) => Exit::Done,
            Err(e) => {
                log_startup_error(&e);
                Exit::Failed
            }
        }
    })
}

/// Logs a report as one event. The report's own format takes several lines and has a
/// backtrace.
fn log_startup_error<C>(e: &Report<C>) {
    let mut errors = Vec::new();
    let mut details = Vec::new();
    for frame in e.frames() {
        match frame.kind() {
            FrameKind::Context(context) => errors.push(context.to_string()),
            FrameKind::Attachment(AttachmentKind::Printable(detail)) => {
                details.push(detail.to_string());
            }
            FrameKind::Attachment(_) => {}
        }
    }
    log::error!(error = errors.join(": "), detail = details.join("; "); "cannot start");
}

/// Installs signal handlers: the first SIGTERM or SIGINT starts a planned stop, the
/// second one exits at once.
///
/// Must be called before ports are opened. An earlier signal would kill the process,
/// and with it connections that wait to be accepted.
fn stop_on_signal() -> StopSignal {
    let (stopper, stop) = stop::channel();
    if let Err(e) = watch_signals(stopper) {
        log::error!(error:% = e; "signals cannot be watched");
    }
    stop
}

/// Watches signals on a thread of their own, which notices the time of a signal also while the
/// others are busy.
fn watch_signals(stopper: StopHandle) -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    // Dropping the stopper would start a stop.
    let stopper = ManuallyDrop::new(stopper);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let (mut terminate, mut interrupt) = {
        let _context = runtime.enter();
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?)
    };
    let watch = async move {
        for first in [true, false] {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if first {
                stopper.stop();
                log::info!("planned stop");
            }
        }
        std::process::exit(Exit::Failed as i32);
    };
    let thread = std::thread::Builder::new().name("signals".to_owned());
    thread.stack_size(SIGNAL_STACK_BYTES).spawn(move || runtime.block_on(watch))?;
    Ok(())
}

/// Reads a file; the error names it.
fn read_file(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}
