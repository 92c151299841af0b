//! Contract files: the contract of one customer as an INI file.

use std::fmt;
use std::path::Path;

use redwinglatch_core::{AdapterRule, Contract};

use crate::document::Document;
use crate::section::{NAME_REMEDY, Section, invalid_name_message};
use crate::settings::read_file;
use crate::{SettingsError, SettingsErrorKind};

const ADAPTER_REMEDY: &str = "write `NAME 1-3` for a range of versions, `NAME 2` for one version or `NAME 1-` for all from \
     1; NAME may end with `*`; separate rules with commas";

/// A contract file: one section `[contract]` with all limits of one customer. Operators keep these
/// files in version control.
///
/// `Display` writes INI text that parses back to an equal contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractFile {
    /// The contract.
    pub contract: Contract,
}

impl ContractFile {
    /// Reads and validates the contract in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, or the reason why it can't be read.
    pub fn from_file(path: impl AsRef<Path>) -> Result<ContractFile, SettingsError> {
        let (name, text) = read_file(path.as_ref())?;
        ContractFile::from_str(&name, &text)
    }

    /// Parses and validates the contract in `text`; `name` is the file name in messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn from_str(name: &str, text: &str) -> Result<ContractFile, SettingsError> {
        let mut document = Document::parse(name, text)?;
        let mut section = document.take_required_section("contract");
        let contract = read_contract(&mut section);
        document.finish_section(section);
        document.finish("[contract]")?;
        Ok(ContractFile { contract })
    }
}

fn read_contract(section: &mut Section) -> Contract {
    let contract = Contract {
        customer: section.required_name("customer", "lakeshore-north"),
        adapters: read_adapters(section),
        services: read_services(section),
        request_rate_per_s: section.number("request_rate_per_s", None, 1..=1_000_000),
        concurrent_requests: section.number("concurrent_requests", None, 1..=1_000_000),
        token_rate_per_s: section.number("token_rate_per_s", None, 1..=100_000_000),
        load_share_permille: section.number("load_share_permille", None, 0..=1_000),
        default_priority: section.number("default_priority", Some(4), 0..=9),
        max_priority: section.number("max_priority", Some(4), 0..=9),
        default_deadline_ms: section.number("default_deadline_ms", Some(30_000), 1..=3_600_000),
        max_deadline_ms: section.number("max_deadline_ms", Some(120_000), 1..=3_600_000),
    };
    if contract.default_priority > contract.max_priority {
        section.add_problem(
            SettingsErrorKind::Contradiction,
            "default_priority",
            Some(&contract.default_priority.to_string()),
            format!("the default is above max_priority = {}", contract.max_priority),
            "lower default_priority or raise max_priority",
        );
    }
    if contract.default_deadline_ms > contract.max_deadline_ms {
        section.add_problem(
            SettingsErrorKind::Contradiction,
            "default_deadline_ms",
            Some(&contract.default_deadline_ms.to_string()),
            format!("the default is above max_deadline_ms = {}", contract.max_deadline_ms),
            "lower default_deadline_ms or raise max_deadline_ms",
        );
    }
    contract
}

fn read_adapters(section: &mut Section) -> Vec<AdapterRule> {
    let Some(text) = section.optional_text("adapters") else {
        return Vec::new();
    };
    let mut rules = Vec::new();
    for item in text.split(',').map(str::trim) {
        match parse_rule(item) {
            Ok(rule) => rules.push(rule),
            Err(message) => {
                section.add_problem(
                    SettingsErrorKind::BadValue,
                    "adapters",
                    Some(item),
                    message,
                    ADAPTER_REMEDY,
                );
            }
        }
    }
    rules
}

fn parse_rule(text: &str) -> Result<AdapterRule, &'static str> {
    let Some((pattern, versions)) = text.split_once(char::is_whitespace) else {
        return Err("the rule has no versions");
    };
    let name = pattern.strip_suffix('*').unwrap_or(pattern);
    if !name.is_empty()
        && let Some(message) = invalid_name_message(name)
    {
        return Err(message);
    }
    let parse_version = |text: &str| text.trim().parse::<u32>().ok().filter(|version| *version > 0);
    let (min, max) = match versions.trim().split_once('-') {
        None => (parse_version(versions), parse_version(versions)),
        Some((min, "")) => (parse_version(min), Some(u32::MAX)),
        Some((min, max)) => (parse_version(min), parse_version(max)),
    };
    match (min, max) {
        (Some(min_version), Some(max_version)) if min_version <= max_version => {
            Ok(AdapterRule { adapter: pattern.into(), min_version, max_version })
        }
        (Some(_), Some(_)) => Err("the lowest version is above the highest"),
        _ => Err("the versions are not whole numbers above 0"),
    }
}

fn read_services(section: &mut Section) -> Vec<Box<str>> {
    let Some(text) = section.optional_text("services") else {
        return Vec::new();
    };
    let mut services = Vec::new();
    for item in text.split(',').map(str::trim) {
        match invalid_name_message(item) {
            None => services.push(item.into()),
            Some(message) => {
                section.add_problem(
                    SettingsErrorKind::BadValue,
                    "services",
                    Some(item),
                    message,
                    NAME_REMEDY,
                );
            }
        }
    }
    services
}

impl fmt::Display for ContractFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let contract = &self.contract;
        writeln!(f, "[contract]")?;
        writeln!(f, "customer = {}", contract.customer)?;
        if !contract.adapters.is_empty() {
            let rules: Vec<_> = contract.adapters.iter().map(render_rule).collect();
            writeln!(f, "adapters = {}", rules.join(", "))?;
        }
        if !contract.services.is_empty() {
            writeln!(f, "services = {}", contract.services.join(", "))?;
        }
        writeln!(f, "request_rate_per_s = {}", contract.request_rate_per_s)?;
        writeln!(f, "concurrent_requests = {}", contract.concurrent_requests)?;
        writeln!(f, "token_rate_per_s = {}", contract.token_rate_per_s)?;
        writeln!(f, "load_share_permille = {}", contract.load_share_permille)?;
        writeln!(f, "default_priority = {}", contract.default_priority)?;
        writeln!(f, "max_priority = {}", contract.max_priority)?;
        writeln!(f, "default_deadline_ms = {}", contract.default_deadline_ms)?;
        writeln!(f, "max_deadline_ms = {}", contract.max_deadline_ms)
    }
}

fn render_rule(rule: &AdapterRule) -> String {
    match (rule.min_version, rule.max_version) {
        (min, max) if min == max => format!("{} {min}", rule.adapter),
        (min, u32::MAX) => format!("{} {min}-", rule.adapter),
        (min, max) => format!("{} {min}-{max}", rule.adapter),
    }
}
