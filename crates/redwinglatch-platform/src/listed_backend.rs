//! Entries of the platform's backend list.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;

/// The state of a listed backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedBackendState {
    /// The server takes requests.
    Live,
    /// The server is leaving its pool and takes no new requests.
    Leaving,
}

/// A backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedBackend {
    /// The pool that the server belongs to.
    pub pool: Box<str>,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The server's data centre.
    pub data_centre: Box<str>,
    /// The server's state.
    pub state: ListedBackendState,
}

#[derive(Debug, Deserialize)]
pub(crate) struct BackendListDocument {
    instances: Vec<serde_json::Value>,
}

impl BackendListDocument {
    /// Returns the valid entries in order of pool and address, and the number of malformed ones.
    ///
    /// An entry with an unknown form or state must not hide the other entries. If a pool lists an
    /// address more than once, the server is leaving if one of these entries is leaving.
    pub(crate) fn into_backends(self) -> (Vec<ListedBackend>, usize) {
        let total_entries = self.instances.len();
        let mut valid_entries = 0;
        let mut backends: BTreeMap<(Box<str>, SocketAddr), ListedBackend> = BTreeMap::new();
        for backend in self.instances.into_iter().flat_map(serde_json::from_value::<ListedBackend>)
        {
            valid_entries += 1;
            let entry = backends
                .entry((backend.pool.clone(), backend.address))
                .or_insert_with(|| backend.clone());
            entry.state = entry.state.max(backend.state);
        }
        (backends.into_values().collect(), total_entries - valid_entries)
    }
}
