//! Output to a pipe.

use std::{io, process::Command};

// A closed pipe must neither panic nor change the exit status.
#[test]
fn a_closed_pipe_does_not_fail_the_command() {
    let (reader, writer) = io::pipe().unwrap();
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["check", "--output", "json", "--settings"])
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.jsonc"))
        .stdout(writer)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
}
