//! What is wrong with a text, and where.

use std::fmt;

use jsonc_parser::errors::ParseError;
use serde::Serialize;

/// One thing that is wrong with a text.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl Problem {
    pub(crate) fn syntax(e: &ParseError) -> Problem {
        Problem {
            line: e.line_display(),
            column: e.column_display(),
            message: e.kind().to_string(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Collects the problems of one text.
#[derive(Debug)]
pub struct Problems<'a> {
    text: &'a str,
    found: Vec<Problem>,
}

impl<'a> Problems<'a> {
    pub(crate) fn new(text: &'a str) -> Problems<'a> {
        Problems { text, found: Vec::new() }
    }

    /// Adds a problem at a byte offset of the text; `path` names the value, such
    /// as `platform.addr`, and is empty for the whole.
    pub fn add(&mut self, offset: usize, path: &str, message: impl fmt::Display) {
        let (line, column) = self.position(offset);
        let message =
            if path.is_empty() { message.to_string() } else { format!("{path}: {message}") };
        self.found.push(Problem { line, column, message });
    }

    /// The line of a byte offset, from 1.
    pub fn line(&self, offset: usize) -> usize {
        self.position(offset).0
    }

    fn position(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }

    pub(crate) fn finish(mut self) -> Result<(), Vec<Problem>> {
        if self.found.is_empty() {
            return Ok(());
        }
        self.found.sort();
        self.found.dedup();
        Err(self.found)
    }
}
