//! Checks for contradictions between values that are valid on their own.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::document::Document;
use crate::{PoolKind, Settings, SettingsErrorKind, SettingsProblem};

/// Maximum time until an accepted change is in force on every instance.
const MAX_IN_FORCE_MS: u64 = 10_000;

/// Adds a problem for each contradiction. A check is skipped if a section that it reads already
/// has a problem, because the values of the section are then placeholders.
pub(crate) fn check(settings: &Settings, document: &mut Document<'_>, file: &str) {
    let mut checks = Checks { settings, document, file };
    checks.check_control();
    checks.check_own_instance();
    checks.check_addresses();
    checks.check_replicas();
    checks.check_pools();
}

struct Checks<'a, 'b> {
    settings: &'a Settings,
    document: &'a mut Document<'b>,
    file: &'a str,
}

impl Checks<'_, '_> {
    fn add_contradiction(
        &mut self,
        section: &str,
        key: &str,
        value: impl ToString,
        message: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        let problem =
            SettingsProblem::new(SettingsErrorKind::Contradiction, self.file, message, remedy)
                .at_section(section)
                .at_key(key)
                .with_value(value.to_string());
        self.document.push_problem(problem);
    }

    fn check_control(&mut self) {
        let control = self.settings.control;
        if !self.document.is_section_valid("control") {
            return;
        }
        if control.clock_drift_permille >= 1_000 {
            self.add_contradiction(
                "control",
                "clock_drift_permille",
                control.clock_drift_permille,
                "the drift is above the lease, so a lease would end before it starts",
                "write less than 1000 thousandths; 10 suits machines whose clocks are kept by NTP",
            );
            return;
        }
        if control.holder_lease_ms() <= control.renew_interval_ms {
            self.add_contradiction(
                "control",
                "renew_interval_ms",
                control.renew_interval_ms,
                format!(
                    "a lease of {} ms less the drift lasts {} ms and ends before it is renewed",
                    control.lease_ms,
                    control.holder_lease_ms()
                ),
                "write a renewal interval of at most a third of lease_ms, so that one lost \
                 renewal does no harm",
            );
        }
        let leader_lease_ms = control.leader_lease_ms
            + (control.leader_lease_ms * control.clock_drift_permille).div_ceil(1_000);
        if control.election_timeout_ms <= leader_lease_ms {
            self.add_contradiction(
                "control",
                "election_timeout_ms",
                control.election_timeout_ms,
                format!(
                    "the election timeout is not above the leader lease of {} ms, which is \
                     {leader_lease_ms} ms with the drift, so two leaders could grant leases",
                    control.leader_lease_ms
                ),
                "raise election_timeout_ms or lower leader_lease_ms",
            );
        }
        // The leader may fail right after the commit: an election takes up to two timeouts,
        // and the new leader waits until a full lease has passed.
        let in_force_ms = control.granter_lease_ms() + 2 * control.election_timeout_ms;
        if in_force_ms >= MAX_IN_FORCE_MS {
            self.add_contradiction(
                "control",
                "lease_ms",
                control.lease_ms,
                format!(
                    "lease, drift and an election together take {in_force_ms} ms, but an accepted \
                     change has to be in force within {MAX_IN_FORCE_MS} ms"
                ),
                "lower lease_ms or election_timeout_ms",
            );
        }
    }

    fn check_own_instance(&mut self) {
        let own = &self.settings.instance;
        if !self.document.is_section_valid("instance") {
            return;
        }
        let section = format!("instance.{}", own.id);
        if !self.document.is_section_valid(&section) {
            return;
        }
        let Some(entry) = self.settings.instance_entry(own.id) else {
            self.add_contradiction(
                "instance",
                "id",
                own.id,
                format!("the list of instances lacks `[{section}]`, this instance"),
                "list every instance of the deployment, this one included",
            );
            return;
        };
        let pairs = [
            ("data_centre", own.data_centre.to_string(), entry.data_centre.to_string()),
            ("callers_address", own.callers_address.to_string(), entry.callers_address.to_string()),
            (
                "instances_address",
                own.instances_address.to_string(),
                entry.instances_address.to_string(),
            ),
            (
                "operators_address",
                own.operators_address.to_string(),
                entry.operators_address.to_string(),
            ),
        ];
        for (key, own_value, listed_value) in pairs {
            if own_value != listed_value {
                self.add_contradiction(
                    &section,
                    key,
                    listed_value,
                    format!("`[instance]` has {key} = {own_value} for the same instance"),
                    "write the same value in both sections",
                );
            }
        }
    }

    fn check_addresses(&mut self) {
        let mut seen: HashMap<SocketAddr, String> = HashMap::new();
        for entry in &self.settings.instances {
            let section = format!("instance.{}", entry.id);
            if !self.document.is_section_valid(&section) {
                continue;
            }
            let addresses = [
                ("callers_address", entry.callers_address),
                ("instances_address", entry.instances_address),
                ("operators_address", entry.operators_address),
            ];
            for (key, address) in addresses {
                let Some(first) = seen.get(&address) else {
                    seen.insert(address, format!("`[{section}] {key}`"));
                    continue;
                };
                let message = format!("{first} has the same address");
                let remedy = "give every listener of every instance an address of its own";
                self.add_contradiction(&section, key, address, message, remedy);
            }
        }
    }

    fn check_replicas(&mut self) {
        let own_id = self.settings.instance.id;
        if self.settings.replicas.is_empty() {
            self.document.push_problem(
                SettingsProblem::new(
                    SettingsErrorKind::MissingSection,
                    self.file,
                    "no instance holds a replica of the control log",
                    "add `[replica.1]` with `instance = N` for each instance with a disk; five \
                     replicas survive the loss of two",
                )
                .at_section("replica.N"),
            );
        }
        for (index, replica) in self.settings.replicas.iter().enumerate() {
            let section = format!("replica.{}", replica.id);
            if !self.document.is_section_valid(&section) {
                continue;
            }
            if self.settings.instance_entry(replica.instance).is_none()
                && self.document.is_section_valid(&format!("instance.{}", replica.instance))
            {
                self.add_contradiction(
                    &section,
                    "instance",
                    replica.instance,
                    format!("no `[instance.{}]` exists", replica.instance),
                    "name an instance of the list, or add the instance to it",
                );
            }
            let earlier = &self.settings.replicas[..index];
            if let Some(other) = earlier.iter().find(|other| other.instance == replica.instance) {
                self.add_contradiction(
                    &section,
                    "instance",
                    replica.instance,
                    format!("`[replica.{}]` is on the same instance", other.id),
                    "place each replica on an instance of its own; one machine's loss would \
                     count twice",
                );
            }
            if replica.instance == own_id && self.settings.state.is_none() {
                self.add_contradiction(
                    &section,
                    "instance",
                    replica.instance,
                    "the replica is on this instance, but `[state]` is missing",
                    format!("add `[state]` with data_dir and `replica_id = {}`", replica.id),
                );
            }
        }
        self.check_own_replica();
    }

    fn check_own_replica(&mut self) {
        let Some(state) = &self.settings.state else {
            return;
        };
        if !self.document.is_section_valid("state") || !self.document.is_section_valid("instance") {
            return;
        }
        let own_id = self.settings.instance.id;
        let replica = self.settings.replicas.iter().find(|replica| replica.id == state.replica_id);
        if replica.is_none_or(|replica| replica.instance != own_id) {
            let message = match replica {
                None => format!("no `[replica.{}]` exists", state.replica_id),
                Some(replica) => format!(
                    "`[replica.{}]` is on instance {}, this is instance {own_id}",
                    replica.id, replica.instance
                ),
            };
            self.add_contradiction(
                "state",
                "replica_id",
                state.replica_id,
                message,
                format!(
                    "write `[replica.{}]` with `instance = {own_id}`, or remove `[state]` if this \
                     instance holds no replica",
                    state.replica_id
                ),
            );
        }
    }

    fn check_pools(&mut self) {
        let lease_ms = self.settings.control.holder_lease_ms();
        for pool in &self.settings.pools {
            let section = format!("pool.{}", pool.name);
            let PoolKind::Engine(engine) = &pool.kind else {
                continue;
            };
            if !self.document.is_section_valid(&section) {
                continue;
            }
            if !self.settings.cells.iter().any(|cell| cell.name == engine.cell) {
                self.add_contradiction(
                    &section,
                    "cell",
                    &engine.cell,
                    format!("no `[cell.{}]` exists", engine.cell),
                    "name a cell of the file, or add the cell",
                );
            }
            if engine.order_settle_ms < engine.order_timeout_ms {
                self.add_contradiction(
                    &section,
                    "order_settle_ms",
                    engine.order_settle_ms,
                    format!(
                        "an order may take order_timeout_ms = {}, longer than a new coordinator \
                         waits for it",
                        engine.order_timeout_ms
                    ),
                    "write at least order_timeout_ms; twice as long leaves time for a slow network",
                );
            }
            if self.document.is_section_valid("control") && engine.order_timeout_ms >= lease_ms {
                self.add_contradiction(
                    &section,
                    "order_timeout_ms",
                    engine.order_timeout_ms,
                    format!(
                        "a coordinator sends an order only while its lease lasts that much \
                         longer, but a lease lasts {lease_ms} ms"
                    ),
                    "write less than `[control] lease_ms` less the drift",
                );
            }
        }
        let pools = &self.settings.pools;
        let are_pools_valid =
            pools.iter().all(|pool| self.document.is_section_valid(&format!("pool.{}", pool.name)));
        for cell in &self.settings.cells {
            let is_used =
                pools.iter().filter_map(|pool| pool.engine()).any(|pool| pool.cell == cell.name);
            if is_used || !are_pools_valid {
                continue;
            }
            let message = "no pool of engines belongs to the cell";
            let remedy =
                format!("write `cell = {}` in a `[pool.NAME]`, or remove the cell", cell.name);
            let problem =
                SettingsProblem::new(SettingsErrorKind::Contradiction, self.file, message, remedy)
                    .at_section(&format!("cell.{}", cell.name));
            self.document.push_problem(problem);
        }
    }
}
