//! The error type of this crate: all problems of one file.

use std::fmt;

use miette::Diagnostic;

use crate::SettingsProblem;

/// All problems found in one file, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file name as given by the caller.
    pub file: Box<str>,
    /// The problems; never empty.
    pub problems: Vec<SettingsProblem>,
}

impl SettingsError {
    pub(crate) fn new(file: &str, problems: Vec<SettingsProblem>) -> SettingsError {
        SettingsError { file: file.into(), problems }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.problems.len() {
            1 => write!(f, "{} has 1 problem", self.file),
            count => write!(f, "{} has {count} problems", self.file),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Diagnostic for SettingsError {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("settings"))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.problems.iter().map(|problem| problem as &dyn Diagnostic)))
    }
}
