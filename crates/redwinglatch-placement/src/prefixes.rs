//! Which prompt prefixes an engine has cached.

use std::collections::HashSet;

use crate::{CacheEvent, CacheEventKind, CacheEvents};

/// What to read from the engine next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextRead {
    /// The index is up to date as of the events.
    Nothing,
    /// Events are missing: read all that the engine keeps.
    All,
}

/// The prefix index of an engine, built from its cache events.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    hashes: HashSet<u64>,
    /// The last sequence number that was applied; `None` until the events were read in full.
    applied: Option<u64>,
    limit: usize,
}

impl PrefixIndex {
    pub(crate) fn new(limit: usize) -> PrefixIndex {
        PrefixIndex { hashes: HashSet::new(), applied: None, limit }
    }

    /// Forgets everything, since the engine restarted or events are missing.
    pub(crate) fn invalidate(&mut self) {
        self.hashes.clear();
        self.applied = None;
    }

    /// How many leading prefixes are cached; `prefix_hashes` starts with the shortest.
    pub(crate) fn cached(&self, prefix_hashes: &[u64]) -> usize {
        if self.hashes.is_empty() {
            return 0;
        }
        prefix_hashes.iter().take_while(|it| self.hashes.contains(*it)).count()
    }

    /// Applies events; a gap invalidates the index.
    pub(crate) fn apply(&mut self, read: &CacheEvents) -> NextRead {
        if read.after == 0 {
            // A full read is the new baseline, even if the engine dropped its oldest events.
            self.invalidate();
            self.applied =
                Some(read.events.first().map_or(read.next, |it| it.sequence.saturating_sub(1)));
        }
        let Some(mut applied) = self.applied else { return NextRead::All };
        for event in &read.events {
            if event.sequence <= applied {
                continue;
            }
            if event.sequence != applied + 1 {
                self.invalidate();
                return NextRead::All;
            }
            self.apply_one(*event);
            applied = event.sequence;
        }
        if read.after != 0 && read.events.is_empty() && read.next > applied {
            self.invalidate();
            return NextRead::All;
        }
        self.applied = Some(applied);
        NextRead::Nothing
    }

    fn apply_one(&mut self, event: CacheEvent) {
        match event.kind {
            CacheEventKind::PrefixStored if self.hashes.len() < self.limit => {
                self.hashes.insert(event.prefix_hash);
            }
            // A full index keeps what it has; evictions make room.
            CacheEventKind::PrefixStored => {}
            CacheEventKind::PrefixEvicted => {
                self.hashes.remove(&event.prefix_hash);
            }
        }
    }
}
