//! Settings of a process, read from an INI file.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
};

use ini::Ini;
use redwinglatch_admission::CapBounds;
use thiserror::Error;

/// The role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Stores the configuration and orders engines to load adapters.
    Core,
    /// Serves callers.
    Entry,
}

impl FromStr for ProcessRole {
    type Err = String;

    fn from_str(text: &str) -> Result<ProcessRole, String> {
        match text {
            "core" => Ok(ProcessRole::Core),
            "entry" => Ok(ProcessRole::Entry),
            _ => Err(format!("unknown role {text:?}; expected core or entry")),
        }
    }
}

/// The limit on retries that all entry processes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Number of retries allowed per request.
    pub ratio: f64,
    /// Number of retries allowed beyond that, over all entry processes together. The platform
    /// scales it with the size of a deployment, so it may have a fraction.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window_ms: u64,
}

/// The losses of core processes, with their disks, that the log has to tolerate at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of core processes.
    pub processes: usize,
    /// Number of data centres, with all of their core processes.
    pub data_centres: usize,
    /// Number of regions, with all of their core processes.
    pub regions: usize,
}

impl Default for LossTolerance {
    fn default() -> LossTolerance {
        LossTolerance { processes: 1, data_centres: 0, regions: 0 }
    }
}

impl LossTolerance {
    /// The smallest number of voters that tolerates the loss of one.
    pub(crate) const MIN_VOTERS: usize = 3;

    /// Returns the number of voters below which the log may not fall: with fewer, an acknowledged entry could be on no
    /// more disks than may be lost. It is unlimited if a data centre or a region may be lost, because the number of core
    /// processes that this takes isn't known.
    #[must_use]
    pub fn min_voters(self) -> usize {
        if self.data_centres > 0 || self.regions > 0 {
            return usize::MAX;
        }
        self.processes.saturating_mul(2).saturating_add(1).max(LossTolerance::MIN_VOTERS)
    }
}

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The name of the process in logs.
    pub name: Box<str>,
    /// The role of the process.
    pub role: ProcessRole,
    /// The data centre in which the process runs.
    pub data_centre: Box<str>,
    /// Address at which callers are served; entry processes only.
    pub front: Option<SocketAddr>,
    /// Address of the readiness check; entry processes only.
    pub ready: Option<SocketAddr>,
    /// Address at which callers resolve addresses of entry processes; entry processes only.
    pub directory: Option<SocketAddr>,
    /// Address of the API for operators; core processes only.
    pub control: Option<SocketAddr>,
    /// Port at which core processes accept links from other processes of the fleet.
    pub link_port: u16,
    /// Port at which entry processes accept requests from each other, the same on all of them. Without one,
    /// requests aren't passed on.
    pub relay_port: Option<u16>,
    /// Address at which metrics are served, if any.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some core processes, for the first connection.
    pub seeds: Vec<SocketAddr>,
    /// The file of these settings, if they came from one. Its seeds are read again while the process runs.
    pub file: Option<PathBuf>,
    /// Whether the whole fleet starts for the first time, so that the log has no members yet.
    pub bootstrap: bool,
    /// The losses that the log has to tolerate; core processes only.
    pub loss_tolerance: LossTolerance,
    /// The data folder; core processes only. A core process without one stays idle.
    pub data_dir: Option<PathBuf>,
    /// Address of the platform's list of backend servers.
    pub list_address: Option<SocketAddr>,
    /// Time that the process may take to end after SIGTERM.
    pub grace_ms: u64,
    /// Time after the last order of one coordinator before another coordinator may send orders.
    pub holder_lease_ms: u64,
    /// Whether engines reject orders with an outdated fencing token.
    pub engines_check_fencing: bool,
    /// Whether placement prefers engines that hold parts of a request's prompt.
    pub reuses_prompts: bool,
    /// The limit on retries.
    pub retry_budget: RetryBudgetBounds,
    /// Bounds on usage beyond the caps of customers; `None` disables caps.
    pub caps: Option<CapBounds>,
    /// The resources of the process.
    pub limits: ProcessLimits,
}

/// The resources that a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in MB.
    pub memory_mb: usize,
    /// File descriptors.
    pub max_fds: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_mb: 160, max_fds: 4_100 }
    }
}

/// An error in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read or is not valid INI.
    #[error("cannot read the settings: {reason}")]
    Unreadable {
        /// The cause.
        reason: Box<str>,
    },
    /// A required key is missing.
    #[error("[{section}] {key} is missing; add it")]
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value cannot be parsed.
    #[error("[{section}] {key} = {value:?} is invalid; expected {expected}")]
    Malformed {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: Box<str>,
        /// A description of valid values.
        expected: &'static str,
    },
}

impl ProcessSettings {
    /// Reads the settings of a process with `role` from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or at the first key that is missing or malformed.
    pub fn from_file(path: &str, role: ProcessRole) -> Result<ProcessSettings, SettingsError> {
        let path = Path::new(path);
        let mut settings = ProcessSettings::from_ini(&read_ini(path)?, role)?;
        settings.file = Some(path.to_owned());
        Ok(settings)
    }

    /// Parses the settings of a process with `role`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI, or at the first key that is missing or malformed.
    pub fn from_text(text: &str, role: ProcessRole) -> Result<ProcessSettings, SettingsError> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| SettingsError::Unreadable { reason: error.to_string().into() })?;
        ProcessSettings::from_ini(&ini, role)
    }

    fn from_ini(ini: &Ini, role: ProcessRole) -> Result<ProcessSettings, SettingsError> {
        let ini = IniReader { ini };
        let is_core = role == ProcessRole::Core;
        let address = |key, is_required| {
            if is_required { ini.required("listen", key, ADDRESS).map(Some) } else { Ok(None) }
        };
        Ok(ProcessSettings {
            name: ini.name("name")?,
            role,
            data_centre: ini.name("data_centre")?,
            front: address("front", !is_core)?,
            ready: address("ready", !is_core)?,
            directory: address("directory", !is_core)?,
            control: address("control", is_core && ini.text("fleet", "data_dir").is_some())?,
            metrics: ini.optional("listen", "metrics", ADDRESS)?,
            link_port: ini.required("fleet", "link_port", "a port")?,
            relay_port: ini.optional("fleet", "relay_port", "a port")?,
            seeds: ini.seeds()?,
            file: None,
            bootstrap: ini.or_default("fleet", "bootstrap", "true or false", false)?,
            loss_tolerance: ini.loss_tolerance()?,
            data_dir: ini.optional("fleet", "data_dir", "a path")?,
            list_address: ini.optional("platform", "list_address", ADDRESS)?,
            grace_ms: seconds_to_ms(ini.bound("grace_s", 8.0)?),
            holder_lease_ms: ini.bound("holder_lease_ms", 3_000.0)?.ceil() as u64,
            engines_check_fencing: ini.or_default(
                "bounds",
                "check_fencing",
                "true or false",
                false,
            )?,
            reuses_prompts: ini.or_default("placement", "prompt_reuse", "true or false", false)?,
            retry_budget: RetryBudgetBounds {
                ratio: ini.bound("retry_ratio", 0.2)?,
                slack: ini.bound("retry_slack", 64.0)?,
                window_ms: seconds_to_ms(ini.bound("retry_window_s", 10.0)?),
            },
            caps: ini.caps()?,
            limits: ProcessLimits {
                memory_mb: ini.limit("memory_mb", ProcessLimits::default().memory_mb)?,
                max_fds: ini.limit("max_fds", ProcessLimits::default().max_fds)?,
            },
        })
    }
}

/// Reads the seeds from a settings file, whose other settings may be missing or malformed.
///
/// A file without seeds is an error, because a file that is being written is empty for a moment.
pub(crate) fn read_seeds(path: &Path) -> Result<Vec<SocketAddr>, SettingsError> {
    let seeds = IniReader { ini: &read_ini(path)? }.seeds()?;
    if seeds.is_empty() {
        return Err(SettingsError::Missing { section: "fleet", key: "seeds" });
    }
    Ok(seeds)
}

fn read_ini(path: &Path) -> Result<Ini, SettingsError> {
    Ini::load_from_file(path)
        .map_err(|error| SettingsError::Unreadable { reason: error.to_string().into() })
}

const ADDRESS: &str = "an address such as 192.0.2.1:7000";
const LOSSES: &str = "a whole number such as 1";
const NUMBER: &str = "a number from 0 to 1000000000";
const LIMIT: &str = "a number from 64 to 1000000000";
/// The smallest limit of a resource with which a process can work.
const MIN_LIMIT: f64 = 64.0;
/// The largest value of a bound.
const MAX_BOUND: f64 = 1e9;

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

/// Reads typed values from an INI document; an empty value counts as missing.
struct IniReader<'a> {
    ini: &'a Ini,
}

impl IniReader<'_> {
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

    fn or_default<T: FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        Ok(self.optional(section, key, expected)?.unwrap_or(default))
    }

    fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        self.list("fleet", "seeds", ADDRESS)
    }

    /// Returns a bound, which may have a fraction.
    fn bound(&self, key: &'static str, default: f64) -> Result<f64, SettingsError> {
        let value = self.or_default("bounds", key, NUMBER, default)?;
        if (0.0..=MAX_BOUND).contains(&value) {
            return Ok(value);
        }
        let text = self.text("bounds", key).unwrap_or_default();
        Err(malformed("bounds", key, text, NUMBER))
    }

    /// Returns the bounds of caps; there are none without a window.
    fn caps(&self) -> Result<Option<CapBounds>, SettingsError> {
        let bounds = CapBounds {
            window_ms: seconds_to_ms(self.bound("quota_window_s", 0.0)?),
            overage_milli: (self.bound("quota_overage", 0.0)? * 1_000.0) as u64,
            slack: self.bound("quota_slack", 0.0)? as u64,
        };
        Ok((bounds.window_ms > 0).then_some(bounds))
    }

    /// Returns the losses that the log has to tolerate; without a value, that of one process.
    fn loss_tolerance(&self) -> Result<LossTolerance, SettingsError> {
        let losses = |key, default| self.or_default("fleet", key, LOSSES, default);
        let default = LossTolerance::default();
        Ok(LossTolerance {
            processes: losses("tolerated_losses", default.processes)?,
            data_centres: losses("tolerated_data_centre_losses", default.data_centres)?,
            regions: losses("tolerated_region_losses", default.regions)?,
        })
    }

    /// Returns a limit of a resource, rounded down.
    fn limit(&self, key: &'static str, default: usize) -> Result<usize, SettingsError> {
        let value = self.or_default("limits", key, LIMIT, default as f64)?;
        if (MIN_LIMIT..=MAX_BOUND).contains(&value) {
            return Ok(value as usize);
        }
        let text = self.text("limits", key).unwrap_or_default();
        Err(malformed("limits", key, text, LIMIT))
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
