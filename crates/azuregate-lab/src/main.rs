//! The `azuregate-lab` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    azuregate_lab::cli::main()
}
