//! Settings of this instance, and the instances and log replicas of the deployment.

use std::net::SocketAddr;
use std::path::PathBuf;

use redwinglatch_core::{InstanceId, ReplicaId};

use crate::section::Section;

/// `[instance]`: the identity and the addresses of this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The id of this instance; stable across restarts.
    pub id: InstanceId,
    /// The data centre that the instance is in.
    pub data_centre: Box<str>,
    /// The region that the data centre is in.
    pub region: Box<str>,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address for other instances, over TCP and UDP.
    pub instances_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
}

impl InstanceSettings {
    pub(crate) fn read(section: &mut Section) -> InstanceSettings {
        InstanceSettings {
            id: InstanceId(section.number("id", None, 1..=u64::from(u32::MAX))),
            data_centre: section.required_name("data_centre", "hall-a"),
            region: section.required_name("region", "great-lakes"),
            callers_address: section.required_address("callers_address"),
            instances_address: section.required_address("instances_address"),
            operators_address: section.required_address("operators_address"),
            // Each of them may need a second connection, to a backend server, and the usual limit
            // of a process is 1,024 file descriptors.
            max_connections: section.number("max_connections", Some(400), 1..=1_000_000),
        }
    }
}

/// `[secrets]`: the files with the secrets; they are read again when they change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecretSettings {
    /// The secrets of operators.
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
    section.required_text(key, &example).map(|path| PathBuf::from(&*path)).unwrap_or_default()
}

/// `[state]`: the storage of the control log; only on instances with a log replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateSettings {
    /// The directory of the log and the snapshot.
    pub data_dir: PathBuf,
    /// The id of the replica in that directory; a replica that lost its disk gets a new id.
    pub replica_id: ReplicaId,
}

impl StateSettings {
    pub(crate) fn read(section: &mut Section) -> StateSettings {
        let data_dir = section.required_text("data_dir", "/var/lib/redwinglatch");
        StateSettings {
            data_dir: data_dir.map(|path| PathBuf::from(&*path)).unwrap_or_default(),
            replica_id: ReplicaId(section.number("replica_id", None, 1..=u64::from(u32::MAX))),
        }
    }
}

/// `[replica.N]`: a log replica and its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The replica.
    pub id: ReplicaId,
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// Whether it joins an existing log, as the replacement of a lost replica.
    pub joins: bool,
}

impl ReplicaEntry {
    pub(crate) fn read(id: u32, section: &mut Section) -> ReplicaEntry {
        let instance = InstanceId(section.number("instance", None, 1..=u64::from(u32::MAX)));
        let joins = section.choice("joins", Some(false), &[("true", true), ("false", false)]);
        ReplicaEntry { id: ReplicaId(id), instance, joins: joins.unwrap_or(false) }
    }
}

/// `[instance.N]`: the addresses of an instance of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address for other instances, over TCP and UDP.
    pub instances_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
}

impl InstanceEntry {
    pub(crate) fn read(id: u32, section: &mut Section) -> InstanceEntry {
        InstanceEntry {
            id: InstanceId(id),
            data_centre: section.required_name("data_centre", "hall-a"),
            callers_address: section.required_address("callers_address"),
            instances_address: section.required_address("instances_address"),
            operators_address: section.required_address("operators_address"),
        }
    }
}
