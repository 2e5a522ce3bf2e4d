//! Output that is piped to another command.

use std::{io, process::Command};

// The operator pipes the output to a command that reads one line and leaves.
// The next line has no reader; the exit status still tells what became of the
// call, and no panic is printed.
#[test]
fn a_reader_that_leaves_is_no_failure() {
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
