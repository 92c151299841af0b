//! The replicated state of the fleet.

use std::{collections::BTreeMap, net::SocketAddr};

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::ids::ModelName;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Replaces the configuration if `version` is higher than the one in force.
    PutConfiguration { version: u64, document: Vec<u8> },
    /// Names a version of an adapter; the highest one is the newest.
    PutVersion { model: ModelName, version: u64 },
    /// Says where a core process accepts connections.
    LocateCore { replica: ReplicaId, link: SocketAddr },
}

/// What the log decides.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetState {
    /// The version of the configuration, 0 before the first.
    pub(crate) version: u64,
    /// The configuration as the operator sent it.
    pub(crate) document: Vec<u8>,
    /// The newest version of each adapter that has one.
    pub(crate) versions: BTreeMap<ModelName, u64>,
    /// Where each core process accepts connections, with the log index that said so.
    pub(crate) cores: BTreeMap<u32, (SocketAddr, u64)>,
}

/// What a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    Configuration,
    Version,
    Core,
    Nothing,
}

impl FleetState {
    pub(crate) fn apply(&mut self, index: u64, command: Command) -> Applied {
        match command {
            Command::PutConfiguration { version, document } if version > self.version => {
                self.version = version;
                self.document = document;
                Applied::Configuration
            }
            Command::PutConfiguration { .. } => Applied::Nothing,
            Command::PutVersion { model, version } => {
                let newest = self.versions.entry(model).or_default();
                if version <= *newest {
                    return Applied::Nothing;
                }
                *newest = version;
                Applied::Version
            }
            Command::LocateCore { replica, link } => {
                self.cores.insert(replica.0, (link, index));
                Applied::Core
            }
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("the state encodes into memory")
    }

    pub(crate) fn restore(bytes: &[u8]) -> Result<FleetState, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// A replica whose process was started anew with another id at the same address.
    pub(crate) fn superseded(&self, members: &[ReplicaId]) -> Option<ReplicaId> {
        members.iter().copied().find(|old| {
            let Some((old_link, old_index)) = self.cores.get(&old.0) else { return false };
            members.iter().any(|new| {
                let newer = self.cores.get(&new.0);
                newer.is_some_and(|(link, index)| link == old_link && index > old_index)
            })
        })
    }
}

#[cfg(test)]
mod tests;
