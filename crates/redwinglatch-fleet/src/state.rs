//! The replicated state of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

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
    /// Quarantines a prompt part.
    Quarantine { part: u64 },
    /// Ends the quarantine of a prompt part.
    EndQuarantine { part: u64 },
}

/// Maximum number of quarantined prompt parts.
const MAX_QUARANTINED_PARTS: usize = 256;

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
    /// The quarantined prompt parts. They follow the other fields in a snapshot, so that older snapshots
    /// can be read.
    #[serde(skip)]
    pub(crate) quarantined: BTreeSet<u64>,
}

/// The part of the state that a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StateChange {
    Configuration,
    Version,
    Core,
    Quarantine,
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
            StateCommand::Quarantine { part } => {
                if self.quarantined.len() >= MAX_QUARANTINED_PARTS {
                    log::warn!("core: too many prompt parts are quarantined; {part:x} is not");
                    return StateChange::Nothing;
                }
                self.quarantined.insert(part);
                StateChange::Quarantine
            }
            StateCommand::EndQuarantine { part } => {
                self.quarantined.remove(&part);
                StateChange::Quarantine
            }
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).expect("the state encodes into memory");
        postcard::to_extend(&self.quarantined, bytes).expect("the state encodes into memory")
    }

    pub(crate) fn restore(bytes: &[u8]) -> Result<FleetState, postcard::Error> {
        let (mut state, rest): (FleetState, &[u8]) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            state.quarantined = postcard::from_bytes(rest)?;
        }
        Ok(state)
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
