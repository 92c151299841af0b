//! An INI file as a list of sections; sections that are never read are reported.

use ini::{Ini, ParseOption};

use crate::section::Section;
use crate::{SettingsError, SettingsErrorKind, SettingsProblem};

const SYNTAX_REMEDY: &str = "write `[section]` headings and `key = value` lines; a comment has its \
                             own line that starts with `;` or `#`";

/// The sections of a file that were not read yet, and the problems found so far.
pub(crate) struct Document<'a> {
    file: &'a str,
    sections: Vec<Section>,
    problems: Vec<SettingsProblem>,
}

impl<'a> Document<'a> {
    pub(crate) fn parse(file: &'a str, text: &str) -> Result<Document<'a>, SettingsError> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let problems = syntax_problems(file, text);
        if !problems.is_empty() {
            return Err(SettingsError::new(file, problems));
        }
        // Values are literal text: paths may hold backslashes and quotes.
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            let message = format!("line {}, column {}: {}", error.line, error.col, error.msg);
            let problem =
                SettingsProblem::new(SettingsErrorKind::Syntax, file, message, SYNTAX_REMEDY);
            SettingsError::new(file, vec![problem])
        })?;

        let mut document = Document { file, sections: Vec::new(), problems: Vec::new() };
        for (name, properties) in &ini {
            let entries = properties.iter().map(|(key, value)| (key.trim(), value.trim()));
            match name {
                Some(name) => document.add_section(name.trim(), entries),
                None => document.reject_keys_outside_sections(entries),
            }
        }
        Ok(document)
    }

    pub(crate) fn file(&self) -> &'a str {
        self.file
    }

    fn reject_keys_outside_sections<'b>(
        &mut self,
        entries: impl Iterator<Item = (&'b str, &'b str)>,
    ) {
        for (key, value) in entries {
            self.problems.push(
                SettingsProblem::new(
                    SettingsErrorKind::UnknownKey,
                    self.file,
                    "the key is not in a section",
                    "move it below the heading of its section",
                )
                .at_key(key)
                .with_value(value),
            );
        }
    }

    fn add_section<'b>(&mut self, name: &str, entries: impl Iterator<Item = (&'b str, &'b str)>) {
        if self.sections.iter().any(|section| section.name() == name) {
            self.problems.push(
                SettingsProblem::new(
                    SettingsErrorKind::Duplicate,
                    self.file,
                    "the section occurs twice",
                    "merge both into one section",
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

    /// Removes and returns a section; a missing one is returned as an empty one.
    pub(crate) fn take_section(&mut self, name: &str) -> Section {
        self.take_optional_section(name).unwrap_or_else(|| Section::new(self.file, name))
    }

    /// Removes and returns a section; a missing one is recorded as a problem.
    pub(crate) fn take_required_section(&mut self, name: &str) -> Section {
        self.take_optional_section(name).unwrap_or_else(|| Section::missing(self.file, name))
    }

    pub(crate) fn take_optional_section(&mut self, name: &str) -> Option<Section> {
        let index = self.sections.iter().position(|section| section.name() == name)?;
        Some(self.sections.remove(index))
    }

    /// Removes and returns every section named `PREFIX.NAME`, with its NAME.
    pub(crate) fn take_sections_with_prefix(&mut self, prefix: &str) -> Vec<(Box<str>, Section)> {
        let mut matching = Vec::new();
        let mut remaining = Vec::new();
        for section in self.sections.drain(..) {
            let suffix =
                section.name().strip_prefix(prefix).and_then(|rest| rest.strip_prefix('.'));
            match suffix.map(Box::from) {
                Some(suffix) => matching.push((suffix, section)),
                None => remaining.push(section),
            }
        }
        self.sections = remaining;
        matching
    }

    /// Adds the problems of a section that was read; keys that were not read are problems too.
    pub(crate) fn finish_section(&mut self, section: Section) {
        self.problems.extend(section.into_problems());
    }

    pub(crate) fn push_problem(&mut self, problem: SettingsProblem) {
        self.problems.push(problem);
    }

    /// Returns whether no problem was found in `section` so far.
    pub(crate) fn is_section_valid(&self, section: &str) -> bool {
        self.problems.iter().all(|problem| problem.section.as_deref() != Some(section))
    }

    /// Returns the problems of the file; sections that were not read are problems too.
    pub(crate) fn finish(mut self, known_sections: &str) -> Result<(), SettingsError> {
        for section in &self.sections {
            self.problems.push(
                SettingsProblem::new(
                    SettingsErrorKind::UnknownSection,
                    self.file,
                    "no such section exists",
                    format!("remove it or correct its name; the sections are {known_sections}"),
                )
                .at_section(section.name()),
            );
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(SettingsError::new(self.file, self.problems))
    }
}

/// Returns a problem for each line that is not INI. The INI parser does not report these lines
/// reliably: it joins some of them to the next line, or reports only the end of the file.
fn syntax_problems(file: &str, text: &str) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let is_comment = line.is_empty() || line.starts_with([';', '#']);
        let heading = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let is_heading = heading.is_some_and(|name| !name.contains(['[', ']']));
        let is_entry = !line.starts_with('[')
            && line.split_once('=').is_some_and(|(key, _)| !key.trim().is_empty());
        if !(is_comment || is_heading || is_entry) {
            let number = index + 1;
            let message =
                format!("line {number}, `{line}`, is neither a heading nor a `key = value` line");
            problems.push(SettingsProblem::new(
                SettingsErrorKind::Syntax,
                file,
                message,
                SYNTAX_REMEDY,
            ));
        }
    }
    problems
}
