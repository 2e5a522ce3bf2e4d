//! One part of the page of measurements.

use std::fmt::Write as _;

use serde::Serialize;

/// A table with what it says and how it was made.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Section {
    /// Its heading.
    pub title: String,
    /// The command that gives it again.
    pub command: String,
    /// How it was measured, a sentence each.
    pub notes: Vec<String>,
    /// The heads of the columns.
    pub columns: Vec<&'static str>,
    /// The rows, as wide as the head.
    pub rows: Vec<Vec<String>>,
    /// Every figure behind the table.
    pub data: serde_json::Value,
}

impl Section {
    /// As a part of a page in markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("## {}\n\n`{}`\n\n", self.title, self.command);
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        let _ = writeln!(text, "\n| {} |", self.columns.join(" | "));
        let _ = writeln!(text, "|{}", "---|".repeat(self.columns.len()));
        for row in &self.rows {
            let _ = writeln!(text, "| {} |", row.join(" | "));
        }
        text.push('\n');
        text
    }
}
