//! A fake engine's prefix cache and the events about its changes.

use std::collections::{HashSet, VecDeque};

use serde::Serialize;
use tokio::time::{Duration, Instant};

/// Events retained for readers. Older ones are dropped, which readers see as a gap in the
/// sequence numbers.
const MAX_EVENTS: usize = 10_000;

#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    prefix_hash: u64,
    #[serde(skip)]
    at: Instant,
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    eviction_order: VecDeque<u64>,
    stored: HashSet<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    drop_next: u32,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            eviction_order: VecDeque::new(),
            stored: HashSet::new(),
            events: VecDeque::new(),
            sequence: 0,
            drop_next: 0,
        }
    }

    /// Stores prefixes and evicts the oldest ones above the capacity.
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if self.stored.insert(*hash) {
                self.eviction_order.push_back(*hash);
                self.push_event("prefix_stored", *hash);
            }
            while self.eviction_order.len() > self.capacity {
                if let Some(oldest) = self.eviction_order.pop_front() {
                    self.stored.remove(&oldest);
                    self.push_event("prefix_evicted", oldest);
                }
            }
        }
    }

    /// Drops the next `count` events; their sequence numbers are skipped.
    pub(crate) fn drop_next(&mut self, count: u32) {
        self.drop_next += count;
    }

    /// Returns the events after sequence number `after` that are at least as old as the lag, and
    /// the sequence number to pass as `after` next time.
    pub(crate) fn events_after(&self, after: u64, lag_ms: u64) -> (u64, Vec<CacheEvent>) {
        let lag = Duration::from_millis(lag_ms);
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|event| event.sequence > after && event.at.elapsed() >= lag)
            .cloned()
            .collect();
        (events.last().map_or(after, |event| event.sequence), events)
    }

    fn push_event(&mut self, kind: &'static str, prefix_hash: u64) {
        self.sequence += 1;
        if self.drop_next > 0 {
            self.drop_next -= 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { sequence: self.sequence, kind, prefix_hash, at: Instant::now() };
        self.events.push_back(event);
    }
}
