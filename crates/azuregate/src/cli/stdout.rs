//! Printing to standard output.

use std::{
    fmt,
    io::{self, Write},
};

/// Prints a line to standard output.
///
/// A reader that has left (`| head -1`) is no failure of the command, whose
/// change may have been made; `println!` would panic there.
pub fn print_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
