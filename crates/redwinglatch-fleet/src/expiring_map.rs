//! A bounded map whose entries are forgotten after some time.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

/// Values that are kept for a limited time. When there are too many, the oldest is forgotten.
#[derive(Debug)]
pub(crate) struct ExpiringMap<Key, Value> {
    max_entries: usize,
    /// The values with the times at which they were set.
    values: HashMap<Key, (u64, Value)>,
    /// The times at which keys were set, the oldest first. A key that was set again occurs several times.
    order: VecDeque<(u64, Key)>,
}

impl<Key: Copy + Eq + Hash, Value: Copy> ExpiringMap<Key, Value> {
    /// Creates a map of at most `max_entries` values.
    pub(crate) fn new(max_entries: usize) -> ExpiringMap<Key, Value> {
        ExpiringMap { max_entries, values: HashMap::new(), order: VecDeque::new() }
    }

    /// Sets a value, and forgets those that were set before `oldest_ms`.
    pub(crate) fn set(&mut self, now_ms: u64, oldest_ms: u64, key: Key, value: Value) {
        self.values.insert(key, (now_ms, value));
        self.order.push_back((now_ms, key));
        self.forget_before(oldest_ms);
        while self.values.len() > self.max_entries || self.order.len() > 2 * self.max_entries {
            self.forget_oldest();
        }
    }

    /// Forgets the values that were set before `oldest_ms`.
    pub(crate) fn forget_before(&mut self, oldest_ms: u64) {
        while self.order.front().is_some_and(|(set_ms, _)| *set_ms < oldest_ms) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((set_ms, key)) = self.order.pop_front() else { return };
        if self.values.get(&key).is_some_and(|(newest_ms, _)| *newest_ms <= set_ms) {
            self.values.remove(&key);
        }
    }

    pub(crate) fn get(&self, key: Key) -> Option<Value> {
        self.values.get(&key).map(|(_, value)| *value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Key, Value)> {
        self.values.iter().map(|(key, (_, value))| (*key, *value))
    }
}

#[cfg(test)]
mod tests;
