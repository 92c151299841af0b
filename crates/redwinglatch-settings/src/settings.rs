//! The settings of one instance.

use std::fmt;
use std::path::Path;

use redwinglatch_core::InstanceId;

use crate::checks::check;
use crate::document::Document;
use crate::section::{NAME_REMEDY, Section, invalid_name_message};
use crate::{
    CallerSettings, CellSettings, ControlSettings, FencingMode, InstanceEntry, InstanceSettings,
    PlatformSettings, PoolKind, PoolSettings, ReplicaEntry, SecretSettings, SettingsError,
    SettingsErrorKind, SettingsProblem, StateSettings,
};

const KNOWN_SECTIONS: &str = "[instance], [secrets], [state], [replica.N], [instance.N], \
                              [control], [callers], [platform], [cell.NAME] and [pool.NAME]";

/// The settings of one instance: typed, within their ranges and free of contradictions.
///
/// `Display` writes INI text with every default written out; it parses back to an equal value.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// `[instance]`.
    pub instance: InstanceSettings,
    /// `[secrets]`.
    pub secrets: SecretSettings,
    /// `[state]`, if this instance has a log replica.
    pub state: Option<StateSettings>,
    /// Every `[replica.N]`, sorted by id.
    pub replicas: Vec<ReplicaEntry>,
    /// Every `[instance.N]`, this instance included, sorted by id.
    pub instances: Vec<InstanceEntry>,
    /// `[control]`.
    pub control: ControlSettings,
    /// `[callers]`.
    pub callers: CallerSettings,
    /// `[platform]`.
    pub platform: PlatformSettings,
    /// Every `[cell.NAME]`, sorted by name.
    pub cells: Vec<CellSettings>,
    /// Every `[pool.NAME]`, sorted by name.
    pub pools: Vec<PoolSettings>,
}

impl Settings {
    /// Reads and validates the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, or the reason why it can't be read.
    pub fn from_file(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
        let (name, text) = read_file(path.as_ref())?;
        Settings::from_str(&name, &text)
    }

    /// Parses and validates the settings in `text`; `name` is the file name in messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn from_str(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let mut document = Document::parse(name, text)?;
        let instance = read_required(&mut document, "instance", InstanceSettings::read);
        let secrets = read_required(&mut document, "secrets", SecretSettings::read);
        let state = document.take_optional_section("state").map(|mut section| {
            let state = StateSettings::read(&mut section);
            document.finish_section(section);
            state
        });
        let replicas = read_numbered(&mut document, "replica", ReplicaEntry::read);
        let instances = read_numbered(&mut document, "instance", InstanceEntry::read);
        let control = read_optional(&mut document, "control", ControlSettings::read);
        let callers = read_optional(&mut document, "callers", CallerSettings::read);
        let platform = read_required(&mut document, "platform", PlatformSettings::read);
        let mut cells = read_named(&mut document, "cell", CellSettings::read);
        let mut pools = read_named(&mut document, "pool", PoolSettings::read);
        cells.sort_by(|left, right| left.name.cmp(&right.name));
        pools.sort_by(|left, right| left.name.cmp(&right.name));

        let settings = Settings {
            instance,
            secrets,
            state,
            replicas,
            instances,
            control,
            callers,
            platform,
            cells,
            pools,
        };
        check(&settings, &mut document, name);
        document.finish(KNOWN_SECTIONS)?;
        Ok(settings)
    }

    /// Returns the `[instance.N]` section of an instance.
    #[must_use]
    pub fn instance_entry(&self, id: InstanceId) -> Option<&InstanceEntry> {
        self.instances.iter().find(|entry| entry.id == id)
    }
}

/// Reads a file as text; returns its name for messages, and the text.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(error) => {
            let problem = SettingsProblem::new(
                SettingsErrorKind::Unreadable,
                &name,
                format!("the file can't be read: {error}"),
                "check the path, the permissions of the file and that it is UTF-8 text",
            );
            Err(SettingsError::new(&name, vec![problem]))
        }
    }
}

fn read_required<T>(
    document: &mut Document<'_>,
    name: &str,
    read: impl FnOnce(&mut Section) -> T,
) -> T {
    let mut section = document.take_required_section(name);
    let value = read(&mut section);
    document.finish_section(section);
    value
}

fn read_optional<T>(
    document: &mut Document<'_>,
    name: &str,
    read: impl FnOnce(&mut Section) -> T,
) -> T {
    let mut section = document.take_section(name);
    let value = read(&mut section);
    document.finish_section(section);
    value
}

/// Reads every `[PREFIX.N]`, sorted by N.
fn read_numbered<T>(
    document: &mut Document<'_>,
    prefix: &str,
    read: impl Fn(u32, &mut Section) -> T,
) -> Vec<T> {
    let mut entries: Vec<(u32, T)> = Vec::new();
    for (suffix, mut section) in document.take_sections_with_prefix(prefix) {
        // Leading zeros are rejected, so that there can't be both `[instance.07]` and
        // `[instance.7]`.
        let number = suffix.parse::<u32>().ok().filter(|number| *number > 0);
        let Some(number) = number.filter(|number| *number.to_string() == *suffix) else {
            document.push_problem(section_name_problem(
                document.file(),
                section.name(),
                "the number of the section is not a whole number above 0",
                &format!("write `[{prefix}.1]`, `[{prefix}.2]` and so on, without leading zeros"),
            ));
            continue;
        };
        entries.push((number, read(number, &mut section)));
        document.finish_section(section);
    }
    entries.sort_by_key(|(number, _)| *number);
    entries.into_iter().map(|(_, entry)| entry).collect()
}

fn read_named<T>(
    document: &mut Document<'_>,
    prefix: &str,
    read: impl Fn(Box<str>, &mut Section) -> T,
) -> Vec<T> {
    let mut entries = Vec::new();
    for (name, mut section) in document.take_sections_with_prefix(prefix) {
        if let Some(message) = invalid_name_message(&name) {
            let file = document.file();
            document.push_problem(section_name_problem(file, section.name(), message, NAME_REMEDY));
        }
        entries.push(read(name, &mut section));
        document.finish_section(section);
    }
    entries
}

fn section_name_problem(file: &str, section: &str, message: &str, remedy: &str) -> SettingsProblem {
    SettingsProblem::new(SettingsErrorKind::UnknownSection, file, message, remedy)
        .at_section(section)
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instance = &self.instance;
        writeln!(f, "[instance]")?;
        writeln!(f, "id = {}", instance.id)?;
        writeln!(f, "data_centre = {}", instance.data_centre)?;
        writeln!(f, "region = {}", instance.region)?;
        writeln!(f, "callers_address = {}", instance.callers_address)?;
        writeln!(f, "instances_address = {}", instance.instances_address)?;
        writeln!(f, "operators_address = {}", instance.operators_address)?;
        writeln!(f, "max_connections = {}", instance.max_connections)?;
        writeln!(f, "\n[secrets]")?;
        writeln!(f, "operators_file = {}", self.secrets.operators_file.display())?;
        writeln!(f, "instances_file = {}", self.secrets.instances_file.display())?;
        writeln!(f, "callers_file = {}", self.secrets.callers_file.display())?;
        if let Some(state) = &self.state {
            writeln!(f, "\n[state]")?;
            writeln!(f, "data_dir = {}", state.data_dir.display())?;
            writeln!(f, "replica_id = {}", state.replica_id)?;
        }
        for replica in &self.replicas {
            writeln!(f, "\n[replica.{}]\ninstance = {}", replica.id, replica.instance)?;
        }
        for entry in &self.instances {
            writeln!(f, "\n[instance.{}]", entry.id)?;
            writeln!(f, "data_centre = {}", entry.data_centre)?;
            writeln!(f, "callers_address = {}", entry.callers_address)?;
            writeln!(f, "instances_address = {}", entry.instances_address)?;
            writeln!(f, "operators_address = {}", entry.operators_address)?;
        }
        let control = &self.control;
        writeln!(f, "\n[control]")?;
        writeln!(f, "renew_interval_ms = {}", control.renew_interval_ms)?;
        writeln!(f, "lease_ms = {}", control.lease_ms)?;
        writeln!(f, "clock_drift_permille = {}", control.clock_drift_permille)?;
        writeln!(f, "leader_lease_ms = {}", control.leader_lease_ms)?;
        writeln!(f, "election_timeout_ms = {}", control.election_timeout_ms)?;
        writeln!(f, "snapshot_entries = {}", control.snapshot_entries)?;
        writeln!(f, "snapshot_bytes = {}", control.snapshot_bytes)?;
        let callers = &self.callers;
        writeln!(f, "\n[callers]")?;
        writeln!(f, "keep_for_s = {}", callers.keep_for_s)?;
        writeln!(f, "max_body_bytes = {}", callers.max_body_bytes)?;
        writeln!(f, "max_header_bytes = {}", callers.max_header_bytes)?;
        writeln!(f, "keep_alive_ms = {}", callers.keep_alive_ms)?;
        writeln!(f, "write_stall_ms = {}", callers.write_stall_ms)?;
        writeln!(f, "\n[platform]")?;
        writeln!(f, "list_address = {}", self.platform.list_address)?;
        writeln!(f, "poll_ms = {}", self.platform.poll_ms)?;
        self.cells.iter().try_for_each(|cell| write_cell(f, cell))?;
        self.pools.iter().try_for_each(|pool| write_pool(f, pool))
    }
}

fn write_cell(f: &mut fmt::Formatter<'_>, cell: &CellSettings) -> fmt::Result {
    writeln!(f, "\n[cell.{}]", cell.name)?;
    writeln!(f, "parallel_loads = {}", cell.parallel_loads)?;
    writeln!(f, "load_ms = {}", cell.load_ms)?;
    writeln!(f, "load_starvation_ms = {}", cell.load_starvation_ms)?;
    writeln!(f, "stall_weight = {}", cell.stall_weight)?;
    writeln!(f, "batch_weight = {}", cell.batch_weight)
}

fn write_pool(f: &mut fmt::Formatter<'_>, pool: &PoolSettings) -> fmt::Result {
    writeln!(f, "\n[pool.{}]", pool.name)?;
    match &pool.kind {
        PoolKind::Engine(engine) => {
            let fencing = match engine.fencing {
                FencingMode::Enforced => "enforced",
                FencingMode::Ignored => "ignored",
            };
            writeln!(f, "kind = engine")?;
            writeln!(f, "cell = {}", engine.cell)?;
            writeln!(f, "model = {}", engine.model)?;
            writeln!(f, "fencing = {fencing}")?;
            writeln!(f, "order_timeout_ms = {}", engine.order_timeout_ms)?;
            writeln!(f, "order_settle_ms = {}", engine.order_settle_ms)?;
            writeln!(f, "step_ms = {}", engine.step_ms)?;
        }
        PoolKind::Service => writeln!(f, "kind = service")?,
    }
    writeln!(f, "stall_ms = {}", pool.stall_ms)?;
    writeln!(f, "report_ms = {}", pool.report_ms)?;
    if !pool.backends.is_empty() {
        let backends: Vec<_> = pool.backends.iter().map(ToString::to_string).collect();
        writeln!(f, "backends = {}", backends.join(", "))?;
    }
    Ok(())
}
