//! One fault in a file.

use std::fmt;

use miette::Diagnostic;

/// What kind of fault a [`Fault`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The file could not be read as text.
    Unreadable,
    /// The text is not INI.
    Syntax,
    /// No such section exists.
    UnknownSection,
    /// No such key exists in the section.
    UnknownKey,
    /// A section or a key occurs twice.
    Duplicate,
    /// A section that every file needs is missing.
    MissingSection,
    /// A key that has no default is missing or empty.
    MissingValue,
    /// The key or the value carries a unit that the setting does not have.
    BadUnit,
    /// The value is outside its range or not one of the choices.
    BadValue,
    /// The value is not an address in the form IP:port.
    BadAddress,
    /// Two values that are valid alone exclude each other.
    Contradiction,
}

impl ErrorKind {
    /// The stable code of the kind.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            ErrorKind::Unreadable => "settings::unreadable",
            ErrorKind::Syntax => "settings::syntax",
            ErrorKind::UnknownSection => "settings::unknown_section",
            ErrorKind::UnknownKey => "settings::unknown_key",
            ErrorKind::Duplicate => "settings::duplicate",
            ErrorKind::MissingSection => "settings::missing_section",
            ErrorKind::MissingValue => "settings::missing_value",
            ErrorKind::BadUnit => "settings::bad_unit",
            ErrorKind::BadValue => "settings::bad_value",
            ErrorKind::BadAddress => "settings::bad_address",
            ErrorKind::Contradiction => "settings::contradiction",
        }
    }
}

/// One fault: where it is, what is wrong and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The kind.
    pub kind: ErrorKind,
    /// The file's name as given.
    pub file: Box<str>,
    /// The section, if the fault is in one.
    pub section: Option<Box<str>>,
    /// The key, if the fault is at one.
    pub key: Option<Box<str>>,
    /// The value as written, if there is one.
    pub value: Option<Box<str>>,
    /// What is wrong.
    pub problem: Box<str>,
    /// How to correct it.
    pub remedy: Box<str>,
}

impl Fault {
    pub(crate) fn new(
        kind: ErrorKind,
        file: &str,
        problem: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) -> Fault {
        Fault {
            kind,
            file: file.into(),
            section: None,
            key: None,
            value: None,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn at_section(mut self, section: &str) -> Fault {
        self.section = Some(section.into());
        self
    }

    pub(crate) fn at_key(mut self, key: &str) -> Fault {
        self.key = Some(key.into());
        self
    }

    pub(crate) fn with_value(mut self, value: impl Into<Box<str>>) -> Fault {
        self.value = Some(value.into());
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(section) = &self.section {
            write!(f, " [{section}]")?;
        }
        match (&self.key, &self.value) {
            (Some(key), Some(value)) => write!(f, " {key} = {value}")?,
            (Some(key), None) => write!(f, " {key}")?,
            _ => {}
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.code()))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&*self.remedy))
    }
}
