//! The error type of the settings.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use crate::jsonc::Problem;

/// All problems of an invalid settings file.
///
/// Displayed as one line for each problem, in the form `FILE:LINE:COLUMN: MESSAGE`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsError {
    file: Option<PathBuf>,
    problems: Vec<Problem>,
}

impl SettingsError {
    pub(super) fn new(problems: Vec<Problem>) -> SettingsError {
        SettingsError { file: None, problems }
    }

    pub(super) fn in_file(mut self, file: &Path) -> SettingsError {
        self.file = Some(file.to_owned());
        self
    }

    /// Returns the problems, ordered by line and column. Empty if the file could not be
    /// read.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.as_deref().unwrap_or(Path::new("settings")).display();
        if self.problems.is_empty() {
            return write!(f, "{file}: the settings cannot be read");
        }
        for problem in &self.problems {
            writeln!(f, "{file}:{problem}")?;
        }
        let count = self.problems.len();
        let plural = if count == 1 { "" } else { "s" };
        write!(f, "{file}: the settings cannot be used: {count} error{plural}")
    }
}

impl std::error::Error for SettingsError {}
