//! The options of each command.

use std::{convert::Infallible, path::PathBuf, str::FromStr};

use gumdrop::Options;

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
pub(super) struct CheckArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the settings file", meta = "FILE")]
    pub(super) settings: PathBuf,
    #[options(no_short, help = "human or json", meta = "FORM", default = "human")]
    pub(super) output: Output,
}

/// The form of what goes to standard output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Output {
    /// Tables for people.
    #[default]
    Human,
    /// One JSON value for scripts.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Output, String> {
        match text {
            "human" => Ok(Output::Human),
            "json" => Ok(Output::Json),
            _ => Err(format!("must be human or json, not {text:?}")),
        }
    }
}

/// Operators' addresses, separated by commas.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Addresses(pub(super) Vec<String>);

impl FromStr for Addresses {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Addresses, Infallible> {
        let addresses = text.split(',').map(str::trim).filter(|addr| !addr.is_empty());
        Ok(Addresses(addresses.map(str::to_owned).collect()))
    }
}

/// How an instance is reached, and what is printed.
#[derive(Clone, Debug)]
pub(super) struct CallArgs {
    pub(super) at: Vec<String>,
    pub(super) timeout_ms: u64,
    pub(super) output: Output,
}

/// How a change is made.
#[derive(Clone, Debug)]
pub(super) struct ChangeArgs {
    pub(super) call: CallArgs,
    pub(super) operation_id: Option<String>,
    pub(super) based_on: Option<u64>,
    pub(super) dry_run: bool,
}

/// Options of a command that calls an instance.
macro_rules! call_options {
    ($name:ident { $($field:tt)* }) => {
        #[derive(Debug, Options)]
        pub(super) struct $name {
            #[options(help = "print this text")]
            help: bool,
            #[options(
                no_short,
                help = "operators' address of an instance; repeat it to name others to try",
                meta = "IP:PORT"
            )]
            at: Vec<Addresses>,
            #[options(no_short, help = "how long to wait", meta = "N", default = "10000")]
            timeout_ms: u64,
            #[options(no_short, help = "human or json", meta = "FORM", default = "human")]
            output: Output,
            $($field)*
        }

        impl $name {
            pub(super) fn call(&self) -> CallArgs {
                CallArgs {
                    at: self.at.iter().flat_map(|addresses| addresses.0.clone()).collect(),
                    timeout_ms: self.timeout_ms,
                    output: self.output,
                }
            }
        }
    };
}

/// Options of a command that changes something.
macro_rules! change_options {
    ($name:ident { $($field:tt)* }) => {
        call_options! {
            $name {
                #[options(
                    no_short,
                    help = "names the change, so that it can be repeated safely",
                    meta = "ID"
                )]
                operation_id: Option<String>,
                #[options(
                    no_short,
                    help = "the version that the change is based on; 0 creates a policy",
                    meta = "N"
                )]
                based_on: Option<u64>,
                #[options(no_short, help = "show what would move, and change nothing")]
                dry_run: bool,
                $($field)*
            }
        }

        impl $name {
            pub(super) fn change(&self) -> ChangeArgs {
                ChangeArgs {
                    call: self.call(),
                    operation_id: self.operation_id.clone(),
                    based_on: self.based_on,
                    dry_run: self.dry_run,
                }
            }
        }
    };
}

/// A command that only has subcommands.
macro_rules! group {
    ($name:ident, $command:ident) => {
        #[derive(Debug, Options)]
        pub(super) struct $name {
            #[options(help = "print this text")]
            help: bool,
            #[options(command, required)]
            pub(super) command: Option<$command>,
        }
    };
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

group! { PolicyArgs, PolicyCommand }

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

group! { ShiftArgs, ShiftCommand }

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

group! { DrainArgs, DrainCommand }

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
