//! Standard output.

use std::{
    fmt,
    io::{self, Write},
};

/// Prints a line to standard output, and ignores write errors.
///
/// A closed pipe (`| head -1`) must not fail a command whose change may have been
/// applied; `println!` would panic.
pub fn print_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
