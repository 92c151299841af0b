//! Outcomes of requests by the parts of their prompts, for the coordinator.

use std::collections::BTreeSet;

/// Maximum number of parts whose answers are reported together; further ones are reported with the next
/// requests that have them.
const MAX_COMPLETED_PARTS: usize = 1_024;
/// Events of an answer up to which the request may have ended its engine. Engines send some events
/// before the process notices.
const MAX_EVENTS_OF_SUSPECT: u64 = 3;

/// Prompt parts with complete answers that the coordinator has not been told yet.
#[derive(Debug, Default)]
pub(super) struct CompletedParts {
    parts: BTreeSet<u64>,
}

impl CompletedParts {
    /// Records a complete answer to a request with these parts, given with their token counts.
    pub(super) fn record(&mut self, parts: &[(u64, u32)]) {
        for (part, _) in parts {
            if self.parts.len() < MAX_COMPLETED_PARTS {
                self.parts.insert(*part);
            }
        }
    }

    /// Returns the recorded parts, and forgets them.
    pub(super) fn take(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.parts).into_iter().collect()
    }
}

/// Returns whether a request that broke off after this many events may have ended its engine.
pub(super) fn is_suspect(events: u64) -> bool {
    events <= MAX_EVENTS_OF_SUSPECT
}
