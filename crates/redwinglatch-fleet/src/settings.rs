//! Settings of a process, read from INI.

use std::{net::SocketAddr, path::PathBuf, str::FromStr};

use ini::Ini;
use thiserror::Error;

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Keeps the configuration and orders the loads of adapters.
    Core,
    /// Serves callers.
    Entry,
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Role, String> {
        match text {
            "core" => Ok(Role::Core),
            "entry" => Ok(Role::Entry),
            _ => Err(format!("unknown role {text:?}; expected core or entry")),
        }
    }
}

/// The bound on repeated requests that all instances share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Repeated requests allowed for each request.
    pub ratio: f64,
    /// Repeated requests allowed beyond that, over all instances.
    pub slack: u64,
    /// The window over which both are counted.
    pub window_ms: u64,
}

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The name of the machine, for logs.
    pub name: Box<str>,
    /// What the process does.
    pub role: Role,
    /// The data centre.
    pub data_centre: Box<str>,
    /// Where callers connect; entry only.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready; entry only.
    pub ready: Option<SocketAddr>,
    /// Where callers ask for addresses; entry only.
    pub directory: Option<SocketAddr>,
    /// Where operators connect; core only.
    pub control: Option<SocketAddr>,
    /// The port at which core processes accept connections of the fleet.
    pub link_port: u16,
    /// Where counters and latencies are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some core processes.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub bootstrap: bool,
    /// The data folder; core only.
    pub data_dir: Option<PathBuf>,
    /// The platform's list of backend servers.
    pub list_address: Option<SocketAddr>,
    /// How long a stop may take.
    pub grace_ms: u64,
    /// How long one holder of orders counts as in charge after its last order.
    pub holder_lease_ms: u64,
    /// Whether engines refuse orders with an old fencing token.
    pub engines_check_fencing: bool,
    /// The bound on repeated requests.
    pub retry_budget: RetryBudgetBounds,
}

/// What is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: the settings can't be read: {reason}")]
    Unreadable {
        /// The file.
        path: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// A key is missing.
    #[error("[{section}] {key} is missing; add it")]
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value can't be used.
    #[error("[{section}] {key} = {value:?} can't be used; expected {expected}")]
    Malformed {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: Box<str>,
        /// What is expected.
        expected: &'static str,
    },
}

impl ProcessSettings {
    /// Reads the settings of a process with `role` from a file.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing or malformed.
    pub fn from_file(path: &str, role: Role) -> Result<ProcessSettings, SettingsError> {
        let ini = Ini::load_from_file(path).map_err(|error| SettingsError::Unreadable {
            path: path.into(),
            reason: error.to_string().into(),
        })?;
        ProcessSettings::from_ini(&ini, role)
    }

    /// Reads the settings of a process with `role` from text.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing or malformed.
    pub fn from_text(text: &str, role: Role) -> Result<ProcessSettings, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|error| SettingsError::Unreadable {
            path: "settings".into(),
            reason: error.to_string().into(),
        })?;
        ProcessSettings::from_ini(&ini, role)
    }

    fn from_ini(ini: &Ini, role: Role) -> Result<ProcessSettings, SettingsError> {
        let read = Reader { ini };
        let core = role == Role::Core;
        let address = |key, needed| {
            if needed { read.required("listen", key, ADDRESS).map(Some) } else { Ok(None) }
        };
        Ok(ProcessSettings {
            name: read.name("name")?,
            role,
            data_centre: read.name("data_centre")?,
            front: address("front", !core)?,
            ready: address("ready", !core)?,
            directory: address("directory", !core)?,
            control: address("control", core && read.text("fleet", "data_dir").is_some())?,
            metrics: read.optional("listen", "metrics", ADDRESS)?,
            link_port: read.required("fleet", "link_port", "a port")?,
            seeds: read.list("fleet", "seeds", ADDRESS)?,
            bootstrap: read.or("fleet", "bootstrap", "true or false", false)?,
            data_dir: read.optional("fleet", "data_dir", "a path")?,
            list_address: read.optional("platform", "list_address", ADDRESS)?,
            grace_ms: seconds_to_ms(read.or("bounds", "grace_s", NUMBER, 8.0)?),
            holder_lease_ms: read.or("bounds", "holder_lease_ms", NUMBER, 3_000)?,
            engines_check_fencing: read.or("bounds", "check_fencing", "true or false", false)?,
            retry_budget: RetryBudgetBounds {
                ratio: read.or("bounds", "retry_ratio", NUMBER, 0.2)?,
                slack: read.or("bounds", "retry_slack", NUMBER, 64)?,
                window_ms: seconds_to_ms(read.or("bounds", "retry_window_s", NUMBER, 10.0)?),
            },
        })
    }
}

const ADDRESS: &str = "an address such as 192.0.2.1:7000";
const NUMBER: &str = "a number";

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1_000.0) as u64
}

struct Reader<'a> {
    ini: &'a Ini,
}

impl Reader<'_> {
    fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).map(str::trim).filter(|text| !text.is_empty())
    }

    fn name(&self, key: &'static str) -> Result<Box<str>, SettingsError> {
        let name = self.text("process", key).map(Box::from);
        name.ok_or(SettingsError::Missing { section: "process", key })
    }

    fn optional<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(text) = self.text(section, key) else { return Ok(None) };
        let value = text.parse().map_err(|_| malformed(section, key, text, expected))?;
        Ok(Some(value))
    }

    fn or<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        Ok(self.optional(section, key, expected)?.unwrap_or(default))
    }

    fn required<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.optional(section, key, expected)?.ok_or(SettingsError::Missing { section, key })
    }

    fn list<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let text = self.text(section, key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items
            .map(|item| item.parse().map_err(|_| malformed(section, key, item, expected)))
            .collect()
    }
}

fn malformed(
    section: &'static str,
    key: &'static str,
    value: &str,
    expected: &'static str,
) -> SettingsError {
    SettingsError::Malformed { section, key, value: value.into(), expected }
}
