//! `measure`: figures for docs/MEASUREMENTS.md.

use gumdrop::Options;

use crate::client::ClientError;

/// Arguments of `measure`.
#[derive(Debug, Options)]
pub(crate) struct MeasureArgs {
    #[options(help = "print this text")]
    help: bool,
}

/// Runs `measure`.
pub(crate) async fn run(_args: MeasureArgs) -> Result<(), ClientError> {
    Err("nothing is measured yet".into())
}
