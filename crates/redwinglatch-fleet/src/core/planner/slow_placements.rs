//! Adapters whose requests are placed on slow engines.

use std::collections::HashMap;

use crate::ids::{ModelName, is_adapter};

/// Placements on slow engines after which the adapter gets a copy on a faster one. One load from the store
/// costs less than two late streams.
const PLACEMENTS_PER_COPY: u32 = 3;
/// Time within which these placements count.
const WINDOW_MS: u64 = 3_000;
/// Adapters that are counted at the same time.
const MAX_ADAPTERS: usize = 1_024;

#[derive(Debug)]
struct Count {
    placements: u32,
    since_ms: u64,
}

/// Counts placements on slow engines by adapter.
///
/// Answers adapters that were loaded on slow engines before they were in demand: their requests would go there for
/// as long as they find room.
#[derive(Debug, Default)]
pub(super) struct SlowPlacements {
    counts: HashMap<ModelName, Count>,
}

impl SlowPlacements {
    /// Records that a request was placed on a slow engine with streams in progress.
    pub(super) fn record(&mut self, now_ms: u64, model: &ModelName) {
        if !is_adapter(model) {
            return;
        }
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts.retain(|_, count| now_ms < count.since_ms + WINDOW_MS);
        }
        if self.counts.len() >= MAX_ADAPTERS {
            return;
        }
        let new = || Count { placements: 0, since_ms: now_ms };
        let count = self.counts.entry(model.clone()).or_insert_with(new);
        if count.since_ms + WINDOW_MS <= now_ms {
            *count = new();
        }
        count.placements += 1;
    }

    /// Returns the adapters that should get a copy on a faster engine, and counts them anew.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<ModelName> {
        let is_due = |count: &Count| {
            count.placements >= PLACEMENTS_PER_COPY && now_ms < count.since_ms + WINDOW_MS
        };
        let due = self.counts.iter().filter(|(_, count)| is_due(count));
        let due: Vec<ModelName> = due.map(|(model, _)| model.clone()).collect();
        for model in &due {
            self.counts.remove(model);
        }
        due
    }
}

#[cfg(test)]
mod tests;
