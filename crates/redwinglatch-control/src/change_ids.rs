//! Results of contract changes by change id.

use std::collections::{BTreeMap, VecDeque};

use redwinglatch_core::Revision;
use serde::{Deserialize, Serialize};

use crate::StateLimits;

/// First result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ChangeResult {
    Accepted(Revision),
    Conflict(Revision),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedChange {
    digest: u64,
    at_wall_s: u64,
    result: ChangeResult,
}

/// Recently used change ids, in the order of their first use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeIds {
    by_id: BTreeMap<Box<str>, RecordedChange>,
    oldest_first: VecDeque<Box<str>>,
}

impl ChangeIds {
    /// Returns the content digest and the first result of `change_id`.
    pub(crate) fn get(&self, change_id: &str) -> Option<(u64, ChangeResult)> {
        self.by_id.get(change_id).map(|change| (change.digest, change.result))
    }

    pub(crate) fn insert(
        &mut self,
        change_id: &str,
        digest: u64,
        at_wall_s: u64,
        result: ChangeResult,
        limits: &StateLimits,
    ) {
        self.by_id.insert(change_id.into(), RecordedChange { digest, at_wall_s, result });
        self.oldest_first.push_back(change_id.into());
        while self.oldest_first.len() > limits.change_ids {
            self.remove_oldest();
        }
    }

    pub(crate) fn expire(&mut self, now_wall_s: u64, limits: &StateLimits) {
        while let Some(change) = self.oldest_first.front().and_then(|oldest| self.by_id.get(oldest))
        {
            if change.at_wall_s.saturating_add(limits.change_id_keep_s) > now_wall_s {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.oldest_first.pop_front() {
            self.by_id.remove(&oldest);
        }
    }
}
