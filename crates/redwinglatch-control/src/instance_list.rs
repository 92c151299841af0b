//! The versioned list of live instances.

use std::collections::{BTreeMap, VecDeque};

use crate::{InstanceListUpdate, InstanceRecord, LeaseHolder};

/// Removals that are remembered for deltas; an instance that lags further gets the full list.
const REMOVED_KEPT: usize = 1_024;

#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    version: u64,
    entries: BTreeMap<LeaseHolder, (u64, InstanceRecord)>,
    removed: VecDeque<(u64, LeaseHolder)>,
    floor: u64,
}

impl InstanceList {
    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|(_, record)| record)
    }

    pub(crate) fn put(&mut self, record: InstanceRecord) {
        let holder = LeaseHolder { instance: record.instance, incarnation: record.incarnation };
        if self.entries.get(&holder).is_some_and(|(_, known)| *known == record) {
            return;
        }
        self.version += 1;
        self.entries.insert(holder, (self.version, record));
    }

    pub(crate) fn set_draining(&mut self, holder: LeaseHolder, draining: bool) {
        let Some((version, record)) = self.entries.get_mut(&holder) else { return };
        if record.draining != draining {
            record.draining = draining;
            self.version += 1;
            *version = self.version;
        }
    }

    pub(crate) fn remove(&mut self, holder: LeaseHolder) {
        if self.entries.remove(&holder).is_none() {
            return;
        }
        self.version += 1;
        self.removed.push_back((self.version, holder));
        while self.removed.len() > REMOVED_KEPT {
            self.floor = self.removed.pop_front().map_or(self.floor, |(version, _)| version);
        }
    }

    /// The changes after version `since`; `None` when there are none.
    pub(crate) fn update_since(&self, since: u64) -> Option<InstanceListUpdate> {
        if since == self.version {
            return None;
        }
        let full = since == 0 || since < self.floor || since > self.version;
        let after = if full { 0 } else { since };
        let changed = self.entries.values().filter(|(version, _)| *version > after);
        let removed = self.removed.iter().filter(|(version, _)| !full && *version > after);
        Some(InstanceListUpdate {
            version: self.version,
            full,
            changed: changed.map(|(_, record)| record.clone()).collect(),
            removed: removed.map(|(_, holder)| (holder.instance, holder.incarnation)).collect(),
        })
    }
}
