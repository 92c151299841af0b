//! Index of the prompt prefixes that an engine has cached.

use std::collections::HashSet;

use crate::{PrefixCacheEvent, PrefixCacheEventKind, PrefixCacheEvents};

/// Result of applying events to a [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IndexUpdate {
    /// The index reflects all events that were read.
    UpToDate,
    /// Events are missing: all events that the engine retains have to be read again.
    FullReadRequired,
}

/// Hashes of the prefixes cached by an engine, maintained from its cache events.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    hashes: HashSet<u64>,
    /// The sequence number of the last applied event; `None` until all events have been read.
    last_applied: Option<u64>,
    limit: usize,
}

impl PrefixIndex {
    pub(crate) fn new(limit: usize) -> PrefixIndex {
        PrefixIndex { hashes: HashSet::new(), last_applied: None, limit }
    }

    /// Clears the index, for example after an engine restart or when events are missing.
    pub(crate) fn invalidate(&mut self) {
        self.hashes.clear();
        self.last_applied = None;
    }

    /// Returns the number of leading prefixes that are cached; `prefix_hashes` starts with the
    /// shortest.
    pub(crate) fn count_cached(&self, prefix_hashes: &[u64]) -> usize {
        if self.hashes.is_empty() {
            return 0;
        }
        prefix_hashes.iter().take_while(|it| self.hashes.contains(*it)).count()
    }

    /// Applies events; a gap invalidates the index.
    pub(crate) fn apply(&mut self, read: &PrefixCacheEvents) -> IndexUpdate {
        if read.after == 0 {
            // A full read is the new baseline, even if the engine has discarded its oldest events.
            self.invalidate();
            self.last_applied =
                Some(read.events.first().map_or(read.next, |it| it.sequence.saturating_sub(1)));
        }
        let Some(mut last_applied) = self.last_applied else {
            return IndexUpdate::FullReadRequired;
        };
        for event in &read.events {
            if event.sequence <= last_applied {
                continue;
            }
            if event.sequence != last_applied + 1 {
                self.invalidate();
                return IndexUpdate::FullReadRequired;
            }
            self.apply_event(*event);
            last_applied = event.sequence;
        }
        if read.after != 0 && read.events.is_empty() && read.next > last_applied {
            self.invalidate();
            return IndexUpdate::FullReadRequired;
        }
        self.last_applied = Some(last_applied);
        IndexUpdate::UpToDate
    }

    fn apply_event(&mut self, event: PrefixCacheEvent) {
        match event.kind {
            PrefixCacheEventKind::PrefixStored if self.hashes.len() < self.limit => {
                self.hashes.insert(event.prefix_hash);
            }
            // A full index ignores new prefixes until evictions make room.
            PrefixCacheEventKind::PrefixStored => {}
            PrefixCacheEventKind::PrefixEvicted => {
                self.hashes.remove(&event.prefix_hash);
            }
        }
    }
}
