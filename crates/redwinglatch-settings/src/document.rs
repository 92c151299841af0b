//! An INI file as sections whose use is tracked.

use ini::{Ini, ParseOption};

use crate::section::Section;
use crate::{ErrorKind, Fault, SettingsError};

const SYNTAX_REMEDY: &str = "write `[section]` headings and `key = value` lines; a comment has its \
                             own line that starts with `;` or `#`";

/// The sections of a file that were not read yet, and the faults found so far.
pub(crate) struct Document<'a> {
    file: &'a str,
    sections: Vec<Section>,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    pub(crate) fn parse(file: &'a str, text: &str) -> Result<Document<'a>, SettingsError> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let faults = syntax_faults(file, text);
        if !faults.is_empty() {
            return Err(SettingsError::new(file, faults));
        }
        // Values are literal text: paths may hold backslashes and quotes.
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            let problem = format!("line {}, column {}: {}", error.line, error.col, error.msg);
            let fault = Fault::new(ErrorKind::Syntax, file, problem, SYNTAX_REMEDY);
            SettingsError::new(file, vec![fault])
        })?;

        let mut document = Document { file, sections: Vec::new(), faults: Vec::new() };
        for (name, properties) in &ini {
            let entries = properties.iter().map(|(key, value)| (key.trim(), value.trim()));
            match name {
                Some(name) => document.add_section(name.trim(), entries),
                None => document.refuse_keys_outside_sections(entries),
            }
        }
        Ok(document)
    }

    pub(crate) fn file(&self) -> &'a str {
        self.file
    }

    fn refuse_keys_outside_sections<'b>(
        &mut self,
        entries: impl Iterator<Item = (&'b str, &'b str)>,
    ) {
        for (key, value) in entries {
            self.faults.push(
                Fault::new(
                    ErrorKind::UnknownKey,
                    self.file,
                    "the key is outside of any section",
                    "move it below the heading of its section",
                )
                .at_key(key)
                .with_value(value),
            );
        }
    }

    fn add_section<'b>(&mut self, name: &str, entries: impl Iterator<Item = (&'b str, &'b str)>) {
        if self.sections.iter().any(|section| section.name() == name) {
            self.faults.push(
                Fault::new(
                    ErrorKind::Duplicate,
                    self.file,
                    "the section occurs twice",
                    "join both into one section",
                )
                .at_section(name),
            );
            return;
        }
        let mut section = Section::new(self.file, name);
        for (key, value) in entries {
            section.add_entry(key, value);
        }
        self.sections.push(section);
    }

    /// Takes a section; an absent one is read as empty.
    pub(crate) fn section(&mut self, name: &str) -> Section {
        self.optional_section(name).unwrap_or_else(|| Section::new(self.file, name))
    }

    /// Takes a section and records a fault if it is absent.
    pub(crate) fn required_section(&mut self, name: &str) -> Section {
        self.optional_section(name).unwrap_or_else(|| Section::missing(self.file, name))
    }

    pub(crate) fn optional_section(&mut self, name: &str) -> Option<Section> {
        let index = self.sections.iter().position(|section| section.name() == name)?;
        Some(self.sections.remove(index))
    }

    /// Takes every section named `PREFIX.NAME`, with its NAME.
    pub(crate) fn sections_named(&mut self, prefix: &str) -> Vec<(Box<str>, Section)> {
        let mut taken = Vec::new();
        let mut left = Vec::new();
        for section in self.sections.drain(..) {
            let suffix =
                section.name().strip_prefix(prefix).and_then(|rest| rest.strip_prefix('.'));
            match suffix.map(Box::from) {
                Some(suffix) => taken.push((suffix, section)),
                None => left.push(section),
            }
        }
        self.sections = left;
        taken
    }

    /// Ends the reading of a section: its unread keys are faults.
    pub(crate) fn finish_section(&mut self, section: Section) {
        self.faults.extend(section.into_faults());
    }

    pub(crate) fn push_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Whether no fault was found in `section` so far.
    pub(crate) fn is_clean(&self, section: &str) -> bool {
        self.faults.iter().all(|fault| fault.section.as_deref() != Some(section))
    }

    /// Ends the reading: sections that nobody read are faults.
    pub(crate) fn finish(mut self, known_sections: &str) -> Result<(), SettingsError> {
        for section in &self.sections {
            self.faults.push(
                Fault::new(
                    ErrorKind::UnknownSection,
                    self.file,
                    "no such section exists",
                    format!("remove it or correct its name; the sections are {known_sections}"),
                )
                .at_section(section.name()),
            );
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError::new(self.file, self.faults))
    }
}

/// Lines that are not INI. The parser joins some of them to the next line or reports only the end
/// of the file.
fn syntax_faults(file: &str, text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let is_comment = line.is_empty() || line.starts_with([';', '#']);
        let heading = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let is_heading = heading.is_some_and(|name| !name.contains(['[', ']']));
        let is_entry = !line.starts_with('[')
            && line.split_once('=').is_some_and(|(key, _)| !key.trim().is_empty());
        if !(is_comment || is_heading || is_entry) {
            let number = index + 1;
            let problem =
                format!("line {number}, `{line}`, is neither a heading nor a `key = value` line");
            faults.push(Fault::new(ErrorKind::Syntax, file, problem, SYNTAX_REMEDY));
        }
    }
    faults
}
