//! The replicated state of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{
    ids::ModelName,
    suspects::{self, ServerEnd, Suspect},
};

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StateCommand {
    /// Replaces the configuration if `version` is higher than the current one.
    PutConfiguration { version: u64, document: Vec<u8> },
    /// Registers a version of an adapter or base model; the highest one is the newest.
    PutVersion { model: ModelName, version: u64 },
    /// Sets the address at which a core process accepts links.
    SetCoreAddress { replica: ReplicaId, link: SocketAddr },
    /// Quarantines a prompt part or the digest of a request.
    Quarantine { key: u64 },
    /// Ends a quarantine.
    EndQuarantine { key: u64 },
    /// Records the end of a backend server, for the evidence of later coordinators.
    ServerEnd(ServerEnd),
    /// Records a complete answer to a request with this prompt part or digest.
    Exonerate { key: u64 },
    /// Records that streams may begin at servers of a service with this software version.
    AddSoftwareVersion { service: Box<str>, version: Box<str> },
    /// Records that all streams that began at such servers have ended.
    RemoveSoftwareVersion { service: Box<str>, version: Box<str> },
}

/// Maximum number of quarantined prompt parts and digests.
const MAX_QUARANTINED: usize = 256;
/// Maximum number of recorded software versions of all services.
const MAX_SOFTWARE_VERSIONS: usize = 1_024;
/// Maximum number of recorded ends of backend servers.
const MAX_SERVER_ENDS: usize = 64;

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
    /// The quarantined prompt parts and digests. They follow the other fields in a snapshot, so that older
    /// snapshots can be read.
    #[serde(skip)]
    pub(crate) quarantined: BTreeSet<u64>,
    /// The last ends of backend servers that no quarantine explains, the oldest first. They follow the
    /// quarantined keys in a snapshot.
    #[serde(skip)]
    pub(crate) server_ends: VecDeque<ServerEnd>,
    /// The services with the software versions under which streams in progress may have begun. They follow the
    /// ends in a snapshot.
    #[serde(skip)]
    pub(crate) software_versions: BTreeSet<(Box<str>, Box<str>)>,
    /// Time between the last of the recorded ends and a later one that was removed. It follows the software
    /// versions in a snapshot.
    #[serde(skip)]
    pub(crate) since_last_end_ms: u64,
}

/// The part of the state that a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StateChange {
    Configuration,
    Version,
    Core,
    Quarantine,
    SoftwareVersions,
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
            StateCommand::Quarantine { key } => {
                self.change_suspects(|suspects| suspects::explain(suspects, key));
                if self.quarantined.len() >= MAX_QUARANTINED {
                    log::warn!("core: too many requests are quarantined; {key:x} is not");
                    return StateChange::Nothing;
                }
                self.quarantined.insert(key);
                StateChange::Quarantine
            }
            StateCommand::EndQuarantine { key } => {
                self.quarantined.remove(&key);
                StateChange::Quarantine
            }
            StateCommand::ServerEnd(mut end) => {
                let since_last_end_ms = std::mem::take(&mut self.since_last_end_ms);
                end.since_previous_ms = end.since_previous_ms.saturating_add(since_last_end_ms);
                if self.server_ends.len() >= MAX_SERVER_ENDS {
                    self.server_ends.pop_front();
                }
                self.server_ends.push_back(end);
                StateChange::Nothing
            }
            StateCommand::Exonerate { key } => {
                self.change_suspects(|suspects| suspects::exonerate(suspects, key));
                StateChange::Nothing
            }
            StateCommand::AddSoftwareVersion { service, version } => {
                if self.software_versions.len() >= MAX_SOFTWARE_VERSIONS {
                    log::warn!("core: too many software versions; {version} isn't recorded");
                    return StateChange::Nothing;
                }
                self.software_versions.insert((service, version));
                StateChange::SoftwareVersions
            }
            StateCommand::RemoveSoftwareVersion { service, version } => {
                self.software_versions.remove(&(service, version));
                StateChange::SoftwareVersions
            }
        }
    }

    /// Returns whether a recorded end has a request with this prompt part or digest.
    pub(crate) fn has_suspect(&self, key: u64) -> bool {
        let mut suspects = self.server_ends.iter().flat_map(|end| &end.suspects);
        suspects.any(|suspect| suspect.has(key))
    }

    /// Changes the suspects of all ends, and removes the ends without suspects.
    fn change_suspects(&mut self, change: impl Fn(&mut Vec<Suspect>)) {
        let mut since_removed_ms = 0;
        self.server_ends.retain_mut(|end| {
            change(&mut end.suspects);
            end.since_previous_ms = end.since_previous_ms.saturating_add(since_removed_ms);
            since_removed_ms = if end.suspects.is_empty() { end.since_previous_ms } else { 0 };
            !end.suspects.is_empty()
        });
        self.since_last_end_ms = self.since_last_end_ms.saturating_add(since_removed_ms);
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).expect("the state encodes into memory");
        let bytes =
            postcard::to_extend(&self.quarantined, bytes).expect("the state encodes into memory");
        let bytes =
            postcard::to_extend(&self.server_ends, bytes).expect("the state encodes into memory");
        let bytes = postcard::to_extend(&self.software_versions, bytes)
            .expect("the state encodes into memory");
        postcard::to_extend(&self.since_last_end_ms, bytes).expect("the state encodes into memory")
    }

    pub(crate) fn restore(bytes: &[u8]) -> Result<FleetState, postcard::Error> {
        let (mut state, mut rest): (FleetState, &[u8]) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            (state.quarantined, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (state.server_ends, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (state.software_versions, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            state.since_last_end_ms = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }

    /// Returns those of the known addresses that aren't recorded. One that is recorded for another replica is left out:
    /// recorded later, the former process at it would pass for the newer one.
    pub(crate) fn unrecorded(
        &self,
        known: impl Iterator<Item = (ReplicaId, SocketAddr)>,
    ) -> Vec<(ReplicaId, SocketAddr)> {
        let is_taken = |link: &SocketAddr| self.cores.values().any(|(taken, _)| taken == link);
        known.filter(|(id, link)| !self.cores.contains_key(&id.0) && !is_taken(link)).collect()
    }

    /// Returns whether another member has taken the address of `old` since, because its process was started anew with
    /// another id.
    pub(crate) fn is_superseded(&self, old: ReplicaId, members: &[ReplicaId]) -> bool {
        let Some((old_link, old_index)) = self.cores.get(&old.0) else { return false };
        members.iter().any(|new| {
            let newer = self.cores.get(&new.0);
            newer.is_some_and(|(link, index)| link == old_link && index > old_index)
        })
    }
}

#[cfg(test)]
mod tests;
