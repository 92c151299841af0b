//! One problem in a settings or contract file.

use std::fmt;

use miette::Diagnostic;

/// The kind of a [`SettingsProblem`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum SettingsErrorKind {
    /// The file could not be read as text.
    Unreadable,
    /// The text is not valid INI.
    Syntax,
    /// The section is not known.
    UnknownSection,
    /// The key is not known in its section.
    UnknownKey,
    /// A section or a key occurs twice.
    Duplicate,
    /// A required section is missing.
    MissingSection,
    /// A key without a default is missing, or a key has no value.
    MissingValue,
    /// The key or the value has a unit that is not the unit of the setting.
    BadUnit,
    /// The value has the wrong form, is outside its range or is not one of the choices.
    BadValue,
    /// The value is not an address in the form IP:port.
    BadAddress,
    /// Values that are valid on their own contradict each other.
    Contradiction,
}

impl SettingsErrorKind {
    /// Returns the stable code of the kind.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            SettingsErrorKind::Unreadable => "settings::unreadable",
            SettingsErrorKind::Syntax => "settings::syntax",
            SettingsErrorKind::UnknownSection => "settings::unknown_section",
            SettingsErrorKind::UnknownKey => "settings::unknown_key",
            SettingsErrorKind::Duplicate => "settings::duplicate",
            SettingsErrorKind::MissingSection => "settings::missing_section",
            SettingsErrorKind::MissingValue => "settings::missing_value",
            SettingsErrorKind::BadUnit => "settings::bad_unit",
            SettingsErrorKind::BadValue => "settings::bad_value",
            SettingsErrorKind::BadAddress => "settings::bad_address",
            SettingsErrorKind::Contradiction => "settings::contradiction",
        }
    }
}

/// A problem in a file: its location, a message and a remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The kind.
    pub kind: SettingsErrorKind,
    /// The file name as given by the caller.
    pub file: Box<str>,
    /// The section, if the problem is in one.
    pub section: Option<Box<str>>,
    /// The key, if the problem belongs to one.
    pub key: Option<Box<str>>,
    /// The value as written, if there is one.
    pub value: Option<Box<str>>,
    /// The description of the problem.
    pub message: Box<str>,
    /// Advice on how to correct it.
    pub remedy: Box<str>,
}

impl SettingsProblem {
    pub(crate) fn new(
        kind: SettingsErrorKind,
        file: &str,
        message: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) -> SettingsProblem {
        SettingsProblem {
            kind,
            file: file.into(),
            section: None,
            key: None,
            value: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn at_section(mut self, section: &str) -> SettingsProblem {
        self.section = Some(section.into());
        self
    }

    pub(crate) fn at_key(mut self, key: &str) -> SettingsProblem {
        self.key = Some(key.into());
        self
    }

    pub(crate) fn with_value(mut self, value: impl Into<Box<str>>) -> SettingsProblem {
        self.value = Some(value.into());
        self
    }
}

impl fmt::Display for SettingsProblem {
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
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for SettingsProblem {}

impl Diagnostic for SettingsProblem {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.code()))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&*self.remedy))
    }
}
