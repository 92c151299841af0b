//! The versioned list of live instances.

use std::collections::{BTreeMap, VecDeque};

use crate::{InstanceListUpdate, InstanceRecord, LeaseHolder};

/// Maximum number of removals kept for deltas. An instance whose version is older receives the full
/// list.
const MAX_REMOVALS: usize = 1_024;

#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    version: u64,
    /// Live instances with the list version of their last change.
    instances: BTreeMap<LeaseHolder, (u64, InstanceRecord)>,
    /// Removals with their list version, oldest first.
    removed: VecDeque<(u64, LeaseHolder)>,
    /// Oldest version from which a delta is possible.
    oldest_delta_version: u64,
}

impl InstanceList {
    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.values().map(|(_, record)| record)
    }

    pub(crate) fn upsert(&mut self, record: InstanceRecord) {
        let holder = LeaseHolder { instance: record.instance, incarnation: record.incarnation };
        if self.instances.get(&holder).is_some_and(|(_, current)| *current == record) {
            return;
        }
        self.version += 1;
        self.instances.insert(holder, (self.version, record));
    }

    pub(crate) fn set_draining(&mut self, holder: LeaseHolder, draining: bool) {
        let Some((version, record)) = self.instances.get_mut(&holder) else { return };
        if record.draining != draining {
            record.draining = draining;
            self.version += 1;
            *version = self.version;
        }
    }

    pub(crate) fn remove(&mut self, holder: LeaseHolder) {
        if self.instances.remove(&holder).is_none() {
            return;
        }
        self.version += 1;
        self.removed.push_back((self.version, holder));
        while self.removed.len() > MAX_REMOVALS {
            self.oldest_delta_version =
                self.removed.pop_front().map_or(self.oldest_delta_version, |(version, _)| version);
        }
    }

    /// Returns the changes after `since_version`, or `None` if there are none.
    pub(crate) fn update_since(&self, since_version: u64) -> Option<InstanceListUpdate> {
        if since_version == self.version {
            return None;
        }
        let is_full = since_version == 0
            || since_version < self.oldest_delta_version
            || since_version > self.version;
        let after_version = if is_full { 0 } else { since_version };
        let changed = self.instances.values().filter(|(version, _)| *version > after_version);
        let removed =
            self.removed.iter().filter(|(version, _)| !is_full && *version > after_version);
        Some(InstanceListUpdate {
            version: self.version,
            is_full,
            changed: changed.map(|(_, record)| record.clone()).collect(),
            removed: removed.map(|(_, holder)| (holder.instance, holder.incarnation)).collect(),
        })
    }
}
