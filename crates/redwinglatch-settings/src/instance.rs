//! Who the instance is, and which others exist.

use std::net::SocketAddr;
use std::path::PathBuf;

use redwinglatch_core::{InstanceId, ReplicaId};

use crate::section::Section;

/// `[instance]`: the identity and the addresses of this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The id of this instance; stable over restarts.
    pub id: InstanceId,
    /// The data centre that the instance is in.
    pub data_centre: Box<str>,
    /// The region that the data centre is in.
    pub region: Box<str>,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where other instances connect, over TCP and UDP.
    pub instances_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// How many connections of callers are open at once at most.
    pub max_connections: usize,
}

impl InstanceSettings {
    pub(crate) fn read(section: &mut Section) -> InstanceSettings {
        InstanceSettings {
            id: InstanceId(section.number("id", None, 1..=u64::from(u32::MAX))),
            data_centre: section.name_of("data_centre", "hall-a"),
            region: section.name_of("region", "great-lakes"),
            callers_address: section.address("callers_address"),
            instances_address: section.address("instances_address"),
            operators_address: section.address("operators_address"),
            // A connection may need a second one to a backend server, and 1,024 descriptors
            // is a usual limit of a process.
            max_connections: section.number("max_connections", Some(400), 1..=1_000_000),
        }
    }
}

/// `[secrets]`: files that each hold one secret; they are read again when they change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecretSettings {
    /// The secret of operators.
    pub operators_file: PathBuf,
    /// The secret shared by the instances.
    pub instances_file: PathBuf,
    /// The secrets of callers.
    pub callers_file: PathBuf,
}

impl SecretSettings {
    pub(crate) fn read(section: &mut Section) -> SecretSettings {
        SecretSettings {
            operators_file: read_path(section, "operators_file"),
            instances_file: read_path(section, "instances_file"),
            callers_file: read_path(section, "callers_file"),
        }
    }
}

fn read_path(section: &mut Section, key: &'static str) -> PathBuf {
    let example = format!("/etc/redwinglatch/{}", key.trim_end_matches("_file"));
    section.text(key, &example).map(|path| PathBuf::from(&*path)).unwrap_or_default()
}

/// `[state]`: present on the instances that hold a replica of the control log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateSettings {
    /// The folder of the log and the snapshot.
    pub data_dir: PathBuf,
    /// The id of the replica in that folder; a replica that lost its disk gets a new one.
    pub replica_id: ReplicaId,
}

impl StateSettings {
    pub(crate) fn read(section: &mut Section) -> StateSettings {
        let data_dir = section.text("data_dir", "/var/lib/redwinglatch");
        StateSettings {
            data_dir: data_dir.map(|path| PathBuf::from(&*path)).unwrap_or_default(),
            replica_id: ReplicaId(section.number("replica_id", None, 1..=u64::from(u32::MAX))),
        }
    }
}

/// `[replica.N]`: the instance that holds a log replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The replica.
    pub id: ReplicaId,
    /// The instance that holds it.
    pub instance: InstanceId,
    /// Whether it joins a log that exists, in the place of one that was lost.
    pub joins: bool,
}

impl ReplicaEntry {
    pub(crate) fn read(id: u32, section: &mut Section) -> ReplicaEntry {
        let instance = InstanceId(section.number("instance", None, 1..=u64::from(u32::MAX)));
        let joins = section.choice("joins", Some(false), &[("true", true), ("false", false)]);
        ReplicaEntry { id: ReplicaId(id), instance, joins: joins.unwrap_or(false) }
    }
}

/// `[instance.N]`: where an instance of the deployment is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where other instances connect, over TCP and UDP.
    pub instances_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
}

impl InstanceEntry {
    pub(crate) fn read(id: u32, section: &mut Section) -> InstanceEntry {
        InstanceEntry {
            id: InstanceId(id),
            data_centre: section.name_of("data_centre", "hall-a"),
            callers_address: section.address("callers_address"),
            instances_address: section.address("instances_address"),
            operators_address: section.address("operators_address"),
        }
    }
}
