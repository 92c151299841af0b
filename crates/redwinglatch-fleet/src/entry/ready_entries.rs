//! The entry processes that are ready, as the core processes report them.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::message::{EntryEndpoint, EntryEndpointChanges};

/// The union of the entry processes that each core process reports as ready.
#[derive(Debug, Default)]
pub(crate) struct ReadyEntries {
    /// The addresses of the reported entry processes, by core process.
    reported: HashMap<SocketAddr, BTreeSet<SocketAddr>>,
    /// Their addresses in ascending order, without duplicates.
    addresses: Vec<SocketAddr>,
}

impl ReadyEntries {
    /// Replaces the report of a core process.
    pub(crate) fn set(&mut self, core: SocketAddr, endpoints: Vec<EntryEndpoint>) {
        let fronts = endpoints.into_iter().map(|endpoint| endpoint.front);
        self.reported.insert(core, fronts.collect());
        self.update_addresses();
    }

    /// Applies changes to the report of a core process.
    pub(crate) fn change(&mut self, core: SocketAddr, changes: EntryEndpointChanges) {
        let fronts = self.reported.entry(core).or_default();
        for front in &changes.removed {
            fronts.remove(front);
        }
        fronts.extend(changes.added.into_iter().map(|endpoint| endpoint.front));
        self.update_addresses();
    }

    /// Forgets the report of a core process.
    pub(crate) fn remove(&mut self, core: SocketAddr) {
        self.reported.remove(&core);
        self.update_addresses();
    }

    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn update_addresses(&mut self) {
        self.addresses = self.reported.values().flatten().copied().collect();
        self.addresses.sort_unstable();
        self.addresses.dedup();
    }
}
