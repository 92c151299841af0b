//! All faults of a file.

use std::fmt;

use miette::Diagnostic;

use crate::Fault;

/// All faults found in one file, in the order of the check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file's name as given.
    pub file: Box<str>,
    /// The faults; never empty.
    pub faults: Vec<Fault>,
}

impl SettingsError {
    pub(crate) fn new(file: &str, faults: Vec<Fault>) -> SettingsError {
        SettingsError { file: file.into(), faults }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.faults.len() {
            1 => write!(f, "{} has 1 fault", self.file),
            count => write!(f, "{} has {count} faults", self.file),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Diagnostic for SettingsError {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("settings"))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.faults.iter().map(|fault| fault as &dyn Diagnostic)))
    }
}
