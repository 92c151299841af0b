//! Requests under which backend servers may have ended.

use serde::{Deserialize, Serialize};

use crate::ids::BackendKey;

/// What a request that broke off has in common with others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    /// The prompt parts that other requests may share.
    pub(crate) parts: Vec<u64>,
    /// The digests of the whole request, the wider one first; older processes don't report them.
    pub(crate) digests: Vec<u64>,
}

impl Suspect {
    /// Returns whether the request has a prompt part or digest.
    pub(crate) fn has(&self, key: u64) -> bool {
        self.parts.contains(&key) || self.digests.contains(&key)
    }
}

/// A request that broke off before or soon after its first event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FailedRequest {
    pub(crate) server: BackendKey,
    pub(crate) suspect: Suspect,
    /// The server has refused connections since the failure.
    pub(crate) has_ended: bool,
}

/// The end of a backend server, with the requests that broke off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerEnd {
    pub(crate) server: BackendKey,
    /// Time since the end that was recorded before this one.
    pub(crate) since_previous_ms: u64,
    pub(crate) suspects: Vec<Suspect>,
}

/// Removes what a fatal key explains from the requests that broke off at the end of a server.
///
/// A fatal request explains the end as far as prompt parts are concerned, but others that were in progress
/// may be fatal too. A fatal part explains all.
pub(crate) fn explain(suspects: &mut Vec<Suspect>, key: u64) {
    if suspects.iter().any(|suspect| suspect.digests.contains(&key)) {
        suspects.retain(|suspect| !suspect.digests.contains(&key));
        for suspect in suspects.iter_mut() {
            suspect.parts.clear();
        }
    } else if suspects.iter().any(|suspect| suspect.parts.contains(&key)) {
        suspects.clear();
    }
}

/// Removes a key under which a request had a complete answer since the end of the server.
pub(crate) fn exonerate(suspects: &mut Vec<Suspect>, key: u64) {
    for suspect in suspects.iter_mut() {
        suspect.parts.retain(|part| *part != key);
        suspect.digests.retain(|digest| *digest != key);
    }
    suspects.retain(|suspect| !(suspect.parts.is_empty() && suspect.digests.is_empty()));
}

#[cfg(test)]
mod tests;
