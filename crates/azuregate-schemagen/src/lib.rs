//! Generates the code of azuregate-schema from its `.proto` files.
//!
//! Kept apart so that the shipped build needs no generator. `main` writes the
//! file; a test proves that the committed file is fresh.

use std::{fs, path::Path};

/// The folder of the `.proto` files.
pub const PROTO_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../azuregate-schema/proto");

/// The committed generated file.
pub const GENERATED: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../azuregate-schema/src/gen/azuregate.v1.rs");

/// Generates into `out_dir` and returns the text.
///
/// # Errors
///
/// When a `.proto` file does not compile or the folder cannot be written.
pub fn generate(out_dir: &Path) -> Result<String, Box<dyn std::error::Error>> {
    let files = protox::compile(["azuregate/v1/operators.proto"], [PROTO_DIR])?;
    tonic_prost_build::configure()
        .btree_map(".")
        // The command line prints messages as JSON, under the schema's names.
        .message_attribute(".", "#[derive(serde::Serialize)]")
        .out_dir(out_dir)
        .compile_fds(files)?;
    Ok(fs::read_to_string(out_dir.join("azuregate.v1.rs"))?)
}
