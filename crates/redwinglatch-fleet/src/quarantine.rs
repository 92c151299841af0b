//! Prompt parts and whole requests that are refused, because backend servers ended under such requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Time for which a key is quarantined. Each trial after it may end a server.
pub(crate) const QUARANTINE_MS: u64 = 600_000;

/// A quarantined prompt part or digest of a request, as processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantinedKey {
    pub(crate) key: u64,
    pub(crate) remaining_ms: u64,
}

/// The quarantined keys, which are prompt parts or digests of requests, and the ends of their quarantines.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Quarantine {
    until_ms: BTreeMap<u64, u64>,
}

impl Quarantine {
    /// Quarantines a key, unless it already is for longer.
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        QuarantinedKey { key, remaining_ms }: QuarantinedKey,
    ) {
        let until_ms = self.until_ms.entry(key).or_default();
        *until_ms = now_ms.saturating_add(remaining_ms).max(*until_ms);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.until_ms.is_empty()
    }

    /// Returns the quarantined keys.
    pub(crate) fn keys(&self) -> impl Iterator<Item = u64> {
        self.until_ms.keys().copied()
    }

    pub(crate) fn contains(&self, key: u64) -> bool {
        self.until_ms.contains_key(&key)
    }

    /// Removes all keys but those for which `is_kept` returns true.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.until_ms.retain(|key, _| is_kept(*key));
    }

    /// Returns the time until requests with these keys are no longer refused, or `None` if they aren't.
    pub(crate) fn remaining_ms(
        &self,
        now_ms: u64,
        keys: impl IntoIterator<Item = u64>,
    ) -> Option<u64> {
        let until_ms = keys.into_iter().filter_map(|key| self.until_ms.get(&key)).max()?;
        until_ms.checked_sub(now_ms).filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Returns the keys whose quarantine has ended.
    pub(crate) fn ended(&self, now_ms: u64) -> Vec<u64> {
        let ended = self.until_ms.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        ended.map(|(key, _)| *key).collect()
    }

    /// Returns all keys with their remaining times.
    pub(crate) fn remaining(&self, now_ms: u64) -> Vec<QuarantinedKey> {
        let keys = self.until_ms.iter();
        keys.map(|(key, until_ms)| QuarantinedKey {
            key: *key,
            remaining_ms: until_ms.saturating_sub(now_ms),
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
