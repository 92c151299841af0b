//! One section of an INI file; keys that are never read are reported.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::{SettingsErrorKind, SettingsProblem};

/// Unit suffixes of keys, with the names of the units in messages.
const UNITS: [(&str, &str); 5] = [
    ("_ms", "milliseconds"),
    ("_bytes", "bytes"),
    ("_permille", "thousandths"),
    ("_per_s", "events per second"),
    ("_s", "seconds"),
];

/// The entries of a section, the keys that were read, and the problems found so far.
pub(crate) struct Section {
    file: Box<str>,
    name: Box<str>,
    entries: Vec<(Box<str>, Box<str>)>,
    known_keys: Vec<&'static str>,
    is_missing: bool,
    problems: Vec<SettingsProblem>,
}

impl Section {
    pub(crate) fn new(file: &str, name: &str) -> Section {
        Section {
            file: file.into(),
            name: name.into(),
            entries: Vec::new(),
            known_keys: Vec::new(),
            is_missing: false,
            problems: Vec::new(),
        }
    }

    /// Creates a placeholder for a section that is missing in the file. The keys of such a section
    /// are not reported as missing one by one.
    pub(crate) fn missing(file: &str, name: &str) -> Section {
        let mut section = Section::new(file, name);
        section.is_missing = true;
        section
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn add_entry(&mut self, key: &str, value: &str) {
        if self.entries.iter().any(|(known, _)| **known == *key) {
            let problem = SettingsProblem::new(
                SettingsErrorKind::Duplicate,
                &self.file,
                "the key occurs twice in its section",
                "keep one of the two lines",
            );
            self.push_problem(problem, key, Some(value));
            return;
        }
        self.entries.push((key.into(), value.into()));
    }

    /// Adds a problem of `key`.
    pub(crate) fn add_problem(
        &mut self,
        kind: SettingsErrorKind,
        key: &str,
        value: Option<&str>,
        message: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        let problem = SettingsProblem::new(kind, &self.file, message, remedy);
        self.push_problem(problem, key, value);
    }

    fn push_problem(&mut self, problem: SettingsProblem, key: &str, value: Option<&str>) {
        let mut problem = problem.at_section(&self.name).at_key(key);
        if let Some(value) = value {
            problem = problem.with_value(value);
        }
        self.problems.push(problem);
    }

    /// Reads the value of `key`; an empty value counts as missing and is a problem.
    pub(crate) fn optional_text(&mut self, key: &'static str) -> Option<Box<str>> {
        self.known_keys.push(key);
        let (_, value) = self.entries.iter().find(|(known, _)| **known == *key)?;
        if value.is_empty() {
            self.add_problem(
                SettingsErrorKind::MissingValue,
                key,
                None,
                "the key has no value",
                "write a value after `=`, or remove the line if the key has a default",
            );
            return None;
        }
        Some(value.clone())
    }

    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.entries.iter().any(|(known, _)| **known == *key)
    }

    /// Reads a key without a default. `example` is part of the remedy.
    pub(crate) fn required_text(&mut self, key: &'static str, example: &str) -> Option<Box<str>> {
        if !self.has_key(key) {
            self.known_keys.push(key);
            if !self.is_missing {
                self.add_problem(
                    SettingsErrorKind::MissingValue,
                    key,
                    None,
                    "the key is missing and has no default",
                    format!("add it, for example `{key} = {example}`"),
                );
            }
            return None;
        }
        self.optional_text(key)
    }

    /// Reads a name without a default.
    pub(crate) fn required_name(&mut self, key: &'static str, example: &str) -> Box<str> {
        let Some(value) = self.required_text(key, example) else {
            return Box::default();
        };
        if let Some(message) = invalid_name_message(&value) {
            self.add_problem(SettingsErrorKind::BadValue, key, Some(&value), message, NAME_REMEDY);
        }
        value
    }

    /// Reads a whole number. Without a default, the key must be present.
    pub(crate) fn number<T: TryFrom<u64> + Default>(
        &mut self,
        key: &'static str,
        default: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> T {
        let fallback = default.unwrap_or(*range.start());
        let text = match default {
            Some(_) => self.optional_text(key),
            None => self.required_text(key, &range.start().max(&1).to_string()),
        };
        let number =
            text.map_or(fallback, |text| self.parse_number(key, &text, &range).unwrap_or(fallback));
        T::try_from(number).unwrap_or_default()
    }

    fn parse_number(
        &mut self,
        key: &'static str,
        text: &str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let unit = unit_of(key).map_or(String::new(), |(_, unit)| format!(" of {unit}"));
        let (start, end) = (range.start(), range.end());
        let remedy = format!("write a whole number{unit} from {start} to {end}");
        match text.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(_) => {
                let message = "the number is outside its range";
                self.add_problem(SettingsErrorKind::BadValue, key, Some(text), message, remedy);
                None
            }
            Err(_) if unit_of(key).is_some() && text.starts_with(|c: char| c.is_ascii_digit()) => {
                let message = "the value is not a plain whole number; its unit is part of the key";
                self.add_problem(SettingsErrorKind::BadUnit, key, Some(text), message, remedy);
                None
            }
            Err(_) => {
                let message = "the value is not a whole number";
                self.add_problem(SettingsErrorKind::BadValue, key, Some(text), message, remedy);
                None
            }
        }
    }

    /// Reads a decimal number; `default` if the key is missing.
    pub(crate) fn decimal(
        &mut self,
        key: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let (start, end) = (*range.start(), *range.end());
        let Some(text) = self.optional_text(key) else {
            return default;
        };
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.add_problem(
                    SettingsErrorKind::BadValue,
                    key,
                    Some(&text),
                    "the value is not a decimal number in its range",
                    format!("write a decimal number from {start} to {end}"),
                );
                default
            }
        }
    }

    /// Reads one of the words in `choices`. Without a default, the key must be present.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        let text = match default {
            Some(_) => self.optional_text(key),
            None => self.required_text(key, words.first().unwrap_or(&"")),
        };
        let Some(text) = text else {
            return default;
        };
        let found = choices.iter().find(|(word, _)| **word == *text).map(|(_, choice)| *choice);
        if found.is_none() {
            let remedy = format!("write {}", words.join(" or "));
            let message = "the value is not one of the choices";
            self.add_problem(SettingsErrorKind::BadValue, key, Some(&text), message, remedy);
        }
        found.or(default)
    }

    /// Reads an address without a default.
    pub(crate) fn required_address(&mut self, key: &'static str) -> SocketAddr {
        let text = self.required_text(key, "192.0.2.1:7000");
        text.and_then(|text| self.parse_address(key, &text)).unwrap_or(PLACEHOLDER_ADDRESS)
    }

    /// Reads a comma-separated list of addresses; a missing key is an empty list.
    pub(crate) fn address_list(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let Some(text) = self.optional_text(key) else {
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for part in text.split(',') {
            let Some(address) = self.parse_address(key, part.trim()) else {
                continue;
            };
            if addresses.contains(&address) {
                let message = "the address occurs twice in the list";
                self.add_problem(
                    SettingsErrorKind::Duplicate,
                    key,
                    Some(part.trim()),
                    message,
                    "keep one",
                );
                continue;
            }
            addresses.push(address);
        }
        addresses
    }

    fn parse_address(&mut self, key: &'static str, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>().ok();
        let usable = address.filter(|found| found.port() != 0 && !found.ip().is_unspecified());
        if usable.is_none() {
            let message = match address {
                None => "the value is not an address in the form IP:port",
                Some(found) if found.port() == 0 => "port 0 can't be reached by others",
                Some(_) => "an unspecified IP can't be reached by others",
            };
            let remedy = "write an IP number and a port, for example 192.0.2.1:7000 or \
                          [2001:db8::1]:7000; names are not resolved";
            self.add_problem(SettingsErrorKind::BadAddress, key, Some(text), message, remedy);
        }
        usable
    }

    /// Returns the problems of the section; keys that were not read are unknown keys.
    pub(crate) fn into_problems(mut self) -> Vec<SettingsProblem> {
        if self.is_missing {
            let problem = SettingsProblem::new(
                SettingsErrorKind::MissingSection,
                &self.file,
                "the section is missing",
                format!("add `[{}]` with the keys {}", self.name, self.known_keys.join(", ")),
            );
            self.problems.insert(0, problem.at_section(&self.name));
        }
        for (key, value) in std::mem::take(&mut self.entries) {
            if self.known_keys.iter().any(|known| **known == *key) {
                continue;
            }
            let stem = stem_of(&key);
            match self.known_keys.iter().find(|known| stem_of(known) == stem) {
                Some(&known) => {
                    let unit = unit_of(known).map_or("no unit", |(_, unit)| unit);
                    let remedy = format!("write `{known}` with a value in {unit}");
                    let message = "the key has a unit that is not the unit of the setting";
                    self.add_problem(
                        SettingsErrorKind::BadUnit,
                        &key,
                        Some(&value),
                        message,
                        remedy,
                    );
                }
                None => {
                    let keys = self.known_keys.join(", ");
                    let remedy = format!("remove it or correct its name; the keys are {keys}");
                    let message = "the key is not known in this section";
                    self.add_problem(
                        SettingsErrorKind::UnknownKey,
                        &key,
                        Some(&value),
                        message,
                        remedy,
                    );
                }
            }
        }
        self.problems
    }
}

/// Substitute for an address that could not be parsed; the problem is reported separately.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

pub(crate) const NAME_REMEDY: &str =
    "write 1 to 128 letters, digits or characters out of `-_./:@+`, without spaces";

/// Returns a message if `name` is not a valid name.
pub(crate) fn invalid_name_message(name: &str) -> Option<&'static str> {
    if name.is_empty() || name.chars().count() > 128 {
        return Some("the name is empty or longer than 128 characters");
    }
    let is_allowed = |c: char| c.is_alphanumeric() || "-_./:@+".contains(c);
    (!name.chars().all(is_allowed)).then_some("the name has a character that is not allowed")
}

fn unit_of(key: &str) -> Option<(&'static str, &'static str)> {
    UNITS.into_iter().find(|(suffix, _)| key.ends_with(suffix))
}

fn stem_of(key: &str) -> &str {
    unit_of(key).and_then(|(suffix, _)| key.strip_suffix(suffix)).unwrap_or(key)
}
