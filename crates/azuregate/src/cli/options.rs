//! Options that several commands share.
//!
//! gumdrop cannot flatten one set of options into another, so macros repeat them for
//! each command.

use std::{convert::Infallible, str::FromStr};

/// The format of standard output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum OutputFormat {
    /// Human-readable tables.
    #[default]
    Human,
    /// One JSON value.
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

/// A comma-separated list of operators' addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Addresses(pub(super) Vec<String>);

impl FromStr for Addresses {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Addresses, Infallible> {
        let addresses = text.split(',').map(str::trim).filter(|addr| !addr.is_empty());
        Ok(Addresses(addresses.map(str::to_owned).collect()))
    }
}

/// Options of every call: the instances, the timeout and the output format.
#[derive(Clone, Debug)]
pub(super) struct CallArgs {
    pub(super) at: Vec<String>,
    pub(super) timeout_ms: u64,
    pub(super) output: OutputFormat,
}

/// Options of every change.
#[derive(Clone, Debug)]
pub(super) struct ChangeArgs {
    pub(super) call: CallArgs,
    pub(super) operation_id: Option<String>,
    pub(super) based_on: Option<u64>,
    pub(super) dry_run: bool,
}

/// Defines the options of a command that calls an instance.
macro_rules! call_options {
    ($name:ident { $($field:tt)* }) => {
        #[derive(Debug, Options)]
        pub(super) struct $name {
            #[options(help = "print this text")]
            help: bool,
            #[options(
                no_short,
                help = "operators' address of an instance; repeatable, tried in order",
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

/// Defines the options of a command that changes a policy.
macro_rules! change_options {
    ($name:ident { $($field:tt)* }) => {
        call_options! {
            $name {
                #[options(
                    no_short,
                    help = "identifies the change, so that it can be retried safely",
                    meta = "ID"
                )]
                operation_id: Option<String>,
                #[options(
                    no_short,
                    help = "the version that the change is based on; 0 creates a policy",
                    meta = "N"
                )]
                based_on: Option<u64>,
                #[options(no_short, help = "show the effect without applying the change")]
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

/// Defines a command that only has subcommands.
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
