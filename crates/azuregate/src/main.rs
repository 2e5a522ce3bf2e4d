//! The `azuregate` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    azuregate::cli::main()
}
