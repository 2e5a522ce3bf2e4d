//! Options that several commands share.
//!
//! gumdrop cannot take one set of options into another, so that macros write them
//! out for each command.

use std::{convert::Infallible, str::FromStr};

/// The form of what goes to standard output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum OutputFormat {
    /// Tables for people.
    #[default]
    Human,
    /// One JSON value for scripts.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<OutputFormat, String> {
        match text {
            "human" => Ok(OutputFormat::Human),
            "json" => Ok(OutputFormat::Json),
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
    pub(super) output: OutputFormat,
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
            #[options(no_short, help = "how long to wait for each instance", meta = "N", default = "10000")]
            timeout_ms: u64,
            #[options(no_short, help = "human or json", meta = "FORM", default = "human")]
            output: OutputFormat,
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
macro_rules! command_group {
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

pub(super) use {call_options, change_options, command_group};
