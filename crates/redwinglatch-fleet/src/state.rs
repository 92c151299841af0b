//! The replicated state of the fleet.

use std::{collections::BTreeMap, net::SocketAddr};

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::ids::ModelName;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StateCommand {
    /// Replaces the configuration if `version` is higher than the current one.
    PutConfiguration { version: u64, document: Vec<u8> },
    /// Registers a version of an adapter or base model; the highest one is the newest.
    PutVersion { model: ModelName, version: u64 },
    /// Sets the address at which a core process accepts links.
    SetCoreAddress { replica: ReplicaId, link: SocketAddr },
}

/// The state that the commands of the log produce.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetState {
    /// The version of the configuration; 0 before the first one.
    pub(crate) version: u64,
    /// The configuration as the operator sent it.
    pub(crate) document: Vec<u8>,
    /// The newest version of each adapter and base model that has one.
    pub(crate) versions: BTreeMap<ModelName, u64>,
    /// The link address of each core process, with the log index of the command that set it.
    pub(crate) cores: BTreeMap<u32, (SocketAddr, u64)>,
}

/// The part of the state that a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StateChange {
    Configuration,
    Version,
    Core,
    Nothing,
}

impl FleetState {
    pub(crate) fn apply(&mut self, index: u64, command: StateCommand) -> StateChange {
        match command {
            StateCommand::PutConfiguration { version, document } if version > self.version => {
                self.version = version;
                self.document = document;
                StateChange::Configuration
            }
            StateCommand::PutConfiguration { .. } => StateChange::Nothing,
            StateCommand::PutVersion { model, version } => {
                let name = model.clone();
                let newest = self.versions.entry(model).or_default();
                if version <= *newest {
                    return StateChange::Nothing;
                }
                *newest = version;
                log::info!("core: version {version} of {name} is the newest");
                StateChange::Version
            }
            StateCommand::SetCoreAddress { replica, link } => {
                self.cores.insert(replica.0, (link, index));
                StateChange::Core
            }
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("the state encodes into memory")
    }

    pub(crate) fn restore(bytes: &[u8]) -> Result<FleetState, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns a member whose address another member has taken since, because its process was
    /// started anew with another id.
    pub(crate) fn superseded_member(&self, members: &[ReplicaId]) -> Option<ReplicaId> {
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
