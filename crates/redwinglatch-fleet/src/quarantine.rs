//! Prompt parts whose requests are refused, because engines ended under such requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Time for which a part is quarantined. Each trial after it may end an engine.
pub(crate) const QUARANTINE_MS: u64 = 600_000;

/// A quarantined part, as processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantinedPart {
    pub(crate) part: u64,
    pub(crate) remaining_ms: u64,
}

/// The quarantined parts and the ends of their quarantines.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Quarantine {
    until_ms: BTreeMap<u64, u64>,
}

impl Quarantine {
    /// Quarantines a part, unless it already is for longer.
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        QuarantinedPart { part, remaining_ms }: QuarantinedPart,
    ) {
        let until_ms = self.until_ms.entry(part).or_default();
        *until_ms = (now_ms + remaining_ms).max(*until_ms);
    }

    pub(crate) fn contains(&self, part: u64) -> bool {
        self.until_ms.contains_key(&part)
    }

    /// Removes all parts but those for which `is_kept` returns true.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.until_ms.retain(|part, _| is_kept(*part));
    }

    /// Returns the time until requests with these parts, given with their token counts, are no longer
    /// refused, or `None` if they aren't.
    pub(crate) fn remaining_ms(&self, now_ms: u64, parts: &[(u64, u32)]) -> Option<u64> {
        let until_ms = parts.iter().filter_map(|(part, _)| self.until_ms.get(part)).max()?;
        until_ms.checked_sub(now_ms).filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Returns the parts whose quarantine has ended.
    pub(crate) fn ended(&self, now_ms: u64) -> Vec<u64> {
        let ended = self.until_ms.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        ended.map(|(part, _)| *part).collect()
    }

    /// Returns all parts with their remaining times.
    pub(crate) fn parts(&self, now_ms: u64) -> Vec<QuarantinedPart> {
        let parts = self.until_ms.iter();
        parts
            .map(|(part, until_ms)| QuarantinedPart {
                part: *part,
                remaining_ms: until_ms.saturating_sub(now_ms),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
