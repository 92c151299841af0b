//! The entry processes that are ready, as the core processes report them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use crate::message::{EntryEndpoint, EntryEndpointChanges};

/// The union of the entry processes that each core process reports as ready.
#[derive(Debug, Default)]
pub(crate) struct ReadyEntries {
    /// The addresses of the reported entry processes with their data centres, by core process.
    reported: HashMap<SocketAddr, BTreeMap<SocketAddr, Box<str>>>,
    /// Their addresses in ascending order, without duplicates.
    addresses: Vec<SocketAddr>,
}

impl ReadyEntries {
    /// Replaces the report of a core process.
    pub(crate) fn set(&mut self, core: SocketAddr, endpoints: Vec<EntryEndpoint>) {
        let fronts = endpoints.into_iter().map(|endpoint| (endpoint.front, endpoint.data_centre));
        self.reported.insert(core, fronts.collect());
        self.update_addresses();
    }

    /// Applies changes to the report of a core process.
    pub(crate) fn change(&mut self, core: SocketAddr, changes: EntryEndpointChanges) {
        let fronts = self.reported.entry(core).or_default();
        for front in &changes.removed {
            fronts.remove(front);
        }
        let added = changes.added.into_iter();
        fronts.extend(added.map(|endpoint| (endpoint.front, endpoint.data_centre)));
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

    /// Returns the entry processes with their data centres.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = (SocketAddr, &str)> {
        self.addresses.iter().map(|front| {
            let data_centre = self.reported.values().find_map(|fronts| fronts.get(front));
            (*front, data_centre.map_or("", |data_centre| data_centre))
        })
    }

    pub(crate) fn contains(&self, front: SocketAddr) -> bool {
        self.addresses.binary_search(&front).is_ok()
    }

    fn update_addresses(&mut self) {
        self.addresses = self.reported.values().flat_map(|fronts| fronts.keys()).copied().collect();
        self.addresses.sort_unstable();
        self.addresses.dedup();
    }
}
