//! The options of each command.

use std::path::PathBuf;

use gumdrop::Options;

use super::options::{
    Addresses, CallArgs, ChangeArgs, OutputFormat, call_options, change_options, command_group,
};

/// Global traffic steering: entry instances and the operators' client.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    pub(super) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(super) enum Command {
    #[options(help = "run an entry instance")]
    Run(SettingsArgs),
    #[options(help = "run an entry instance on the users' platform")]
    Serve(ServeArgs),
    #[options(help = "check settings and do nothing else")]
    Check(CheckArgs),
    #[options(help = "show what an entry instance knows and does")]
    Status(ReadArgs),
    #[options(help = "read and change policies")]
    Policy(PolicyArgs),
    #[options(help = "move traffic between availability zones")]
    Shift(ShiftArgs),
    #[options(help = "take backend servers out of service and back")]
    Drain(DrainArgs),
    #[options(help = "show which entry instances callers are told to use")]
    Entries(EntriesArgs),
    #[options(help = "show latencies for each service, tenant and class")]
    Histograms(ServiceReadArgs),
}

#[derive(Debug, Options)]
pub(super) struct SettingsArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the settings file", meta = "FILE")]
    pub(super) settings: PathBuf,
}

#[derive(Debug, Options)]
pub(super) struct ServeArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "the settings file; the platform's if left out", meta = "FILE")]
    pub(super) settings: Option<PathBuf>,
    #[options(no_short, help = "check the settings and do nothing else")]
    pub(super) check: bool,
    #[options(
        no_short,
        help = "log level, or a list of module=level",
        meta = "FILTER",
        default = "info"
    )]
    pub(super) log: String,
}

#[derive(Debug, Options)]
pub(super) struct CheckArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the settings file", meta = "FILE")]
    pub(super) settings: PathBuf,
    #[options(no_short, help = "human or json", meta = "FORM", default = "human")]
    pub(super) output: OutputFormat,
}

call_options! { ReadArgs {} }

call_options! {
    ServiceReadArgs {
        #[options(no_short, help = "one service; all if left out", meta = "NAME")]
        pub(super) service: String,
    }
}

call_options! {
    ServiceArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
    }
}

call_options! {
    EntriesArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
        #[options(no_short, help = "a caller's IP number; yours if left out", meta = "IP")]
        pub(super) caller: String,
    }
}

call_options! {
    HistoryArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
        #[options(no_short, help = "how many versions, 100 at most", meta = "N", default = "20")]
        pub(super) limit: u32,
    }
}

command_group! { PolicyArgs, PolicyCommand }

#[derive(Debug, Options)]
pub(super) enum PolicyCommand {
    #[options(help = "show one policy")]
    Get(ServiceArgs),
    #[options(help = "show all policies")]
    List(ReadArgs),
    #[options(help = "create or replace a policy")]
    Set(SetArgs),
    #[options(help = "show the accepted changes of a policy")]
    History(HistoryArgs),
}

change_options! {
    SetArgs {
        #[options(
            no_short,
            required,
            help = "the policy, in JSON with comments",
            meta = "FILE"
        )]
        pub(super) file: PathBuf,
    }
}

command_group! { ShiftArgs, ShiftCommand }

#[derive(Debug, Options)]
pub(super) enum ShiftCommand {
    #[options(help = "start to move traffic to other shares")]
    Start(StartShiftArgs),
    #[options(help = "stop the movement where it stands")]
    Stop(ServiceChangeArgs),
    #[options(help = "show how far the movement has come")]
    Show(ServiceArgs),
}

change_options! {
    StartShiftArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
        #[options(
            no_short,
            help = "share at the end; repeat it, all add up to 1000000; none for nearness",
            meta = "ZONE=PPM"
        )]
        pub(super) to_share_ppm: Vec<String>,
        #[options(no_short, help = "most that may move in a window", meta = "PPM")]
        pub(super) cap_ppm: Option<u32>,
        #[options(no_short, help = "length of the window of --cap-ppm", meta = "N")]
        pub(super) window_ms: Option<u64>,
    }
}

change_options! {
    ServiceChangeArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
    }
}

command_group! { DrainArgs, DrainCommand }

#[derive(Debug, Options)]
pub(super) enum DrainCommand {
    #[options(help = "take backend servers out of service")]
    Start(BackendsArgs),
    #[options(help = "take backend servers back into service")]
    Stop(BackendsArgs),
    #[options(help = "show backend servers that take no new work, and why")]
    Show(ServiceReadArgs),
}

change_options! {
    BackendsArgs {
        #[options(no_short, required, help = "the service", meta = "NAME")]
        pub(super) service: String,
        #[options(
            no_short,
            required,
            help = "a backend server; repeat it for several",
            meta = "NAME"
        )]
        pub(super) backend: Vec<String>,
    }
}
