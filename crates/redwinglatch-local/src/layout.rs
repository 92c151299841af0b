//! Addresses, directories and settings of a local deployment.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::{CALLERS_SECRET, Fakes, FakesOptions, INSTANCES_SECRET, OPERATORS_SECRET};

/// The addresses of one instance.
#[derive(Debug, Clone, Copy)]
pub struct InstanceAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub instances: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// Intervals and durations that tests shorten.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Renewal interval of the serving lease.
    pub renew_interval_ms: u64,
    /// Duration of the serving lease.
    pub lease_ms: u64,
    /// How long callers may cache the list of entry instances.
    pub keep_for_s: u64,
    /// How long a new coordinator waits for orders of its predecessor to complete.
    pub order_settle_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { renew_interval_ms: 1_000, lease_ms: 4_000, keep_for_s: 30, order_settle_ms: 2_000 }
    }
}

/// Addresses, directories and settings of a local deployment.
#[derive(Debug, Clone)]
pub struct Layout {
    dir: PathBuf,
    instances: Vec<InstanceAddresses>,
    /// Replica id, position of the instance, and whether the replica joins an existing log.
    replicas: Vec<(usize, usize, bool)>,
    timing: Timing,
    fakes: FakesOptions,
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

impl Layout {
    /// Creates the layout of instances at `addresses`, and writes the secret files to `dir`. The
    /// first `replicas` instances have a data directory below `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the directory or the secret files can't be written.
    pub fn create(
        dir: impl Into<PathBuf>,
        addresses: Vec<InstanceAddresses>,
        replicas: usize,
        timing: Timing,
        options: FakesOptions,
        fakes: &Fakes,
    ) -> io::Result<Layout> {
        let dir = dir.into();
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("callers.secret"), CALLERS_SECRET)?;
        std::fs::write(dir.join("operators.secret"), OPERATORS_SECRET)?;
        std::fs::write(dir.join("instances.secret"), INSTANCES_SECRET)?;
        Ok(Layout {
            dir,
            instances: addresses,
            replicas: (0..replicas).map(|position| (position + 1, position, false)).collect(),
            timing,
            fakes: options,
            platform: fakes.platform.address(),
            engines: fakes.engine_addresses(),
            services: fakes.service_addresses(),
        })
    }

    /// The directory with the secrets and the replicas' data.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The addresses of the instance at `position`, counted from 0.
    #[must_use]
    pub fn addresses(&self, position: usize) -> InstanceAddresses {
        self.instances[position]
    }

    /// The number of instances.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// The data directory of the replica `id`.
    #[must_use]
    pub fn data_dir(&self, id: usize) -> PathBuf {
        self.dir.join(format!("data-{id}"))
    }

    /// Assigns a new id to the replica of the instance at `position`, whose disk was lost, and
    /// returns the id.
    pub fn replace_replica(&mut self, position: usize) -> usize {
        let new_id = self.replicas.iter().map(|(id, ..)| id + 1).max().unwrap_or(1);
        for (id, instance_position, joins) in &mut self.replicas {
            if *instance_position == position {
                (*id, *joins) = (new_id, true);
            }
        }
        new_id
    }

    /// Returns the settings of the instance at `position`, whose id is `position + 1`.
    #[must_use]
    pub fn settings_text(&self, position: usize) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write_settings(&mut text, position);
        text
    }

    fn write_settings(&self, text: &mut String, position: usize) -> std::fmt::Result {
        let own = self.instances[position];
        writeln!(text, "[instance]")?;
        writeln!(text, "id = {}", position + 1)?;
        writeln!(text, "data_centre = {}", Fakes::data_centre(position))?;
        writeln!(text, "region = great-lakes")?;
        write_addresses(text, &own)?;
        writeln!(text, "max_connections = 1000")?;
        writeln!(text, "\n[secrets]")?;
        for name in ["operators", "instances", "callers"] {
            let file = self.dir.join(format!("{name}.secret"));
            writeln!(text, "{name}_file = {}", file.display())?;
        }
        if let Some((id, ..)) =
            self.replicas.iter().find(|(_, instance_position, _)| *instance_position == position)
        {
            writeln!(text, "\n[state]")?;
            writeln!(text, "data_dir = {}", self.data_dir(*id).display())?;
            writeln!(text, "replica_id = {id}")?;
        }
        for (id, instance_position, joins) in &self.replicas {
            writeln!(
                text,
                "\n[replica.{id}]\ninstance = {}\njoins = {joins}",
                instance_position + 1
            )?;
        }
        for (other, addresses) in self.instances.iter().enumerate() {
            writeln!(text, "\n[instance.{}]", other + 1)?;
            writeln!(text, "data_centre = {}", Fakes::data_centre(other))?;
            write_addresses(text, addresses)?;
        }
        let timing = &self.timing;
        writeln!(text, "\n[control]")?;
        writeln!(text, "renew_interval_ms = {}", timing.renew_interval_ms)?;
        writeln!(text, "lease_ms = {}", timing.lease_ms)?;
        writeln!(text, "\n[callers]\nkeep_for_s = {}", timing.keep_for_s)?;
        writeln!(text, "\n[platform]\nlist_address = {}\npoll_ms = 200", self.platform)?;
        self.write_pools(text)
    }

    fn write_pools(&self, text: &mut String) -> std::fmt::Result {
        let fakes = &self.fakes;
        writeln!(text, "\n[cell.main]")?;
        writeln!(text, "parallel_loads = {}", fakes.parallel_loads)?;
        let load_ms = 1_000.0 * fakes.parallel_loads as f64 / fakes.loads_per_s;
        writeln!(text, "load_ms = {}", load_ms.ceil() as u64)?;
        writeln!(text, "\n[pool.{}]", Fakes::ENGINE_POOL)?;
        writeln!(text, "kind = engine\ncell = main\nmodel = {}", Fakes::MODEL)?;
        let fencing = if fakes.is_fencing_enforced { "enforced" } else { "ignored" };
        writeln!(text, "fencing = {fencing}")?;
        writeln!(text, "order_settle_ms = {}", self.timing.order_settle_ms)?;
        writeln!(text, "step_ms = {}\nreport_ms = 200", fakes.step_ms.max(1))?;
        writeln!(text, "backends = {}", join_addresses(&self.engines))?;
        writeln!(text, "\n[pool.{}]\nkind = service", Fakes::SERVICE)?;
        writeln!(text, "backends = {}", join_addresses(&self.services))
    }
}

fn write_addresses(text: &mut String, addresses: &InstanceAddresses) -> std::fmt::Result {
    writeln!(text, "callers_address = {}", addresses.callers)?;
    writeln!(text, "instances_address = {}", addresses.instances)?;
    writeln!(text, "operators_address = {}", addresses.operators)
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
}
