//! The prompt prefixes that a fake engine caches, and its events about them.

use std::collections::{HashSet, VecDeque};

use serde::Serialize;
use tokio::time::{Duration, Instant};

/// Events kept for readers; older ones are dropped, which readers see as a gap.
const EVENTS_KEPT: usize = 10_000;

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
    order: VecDeque<u64>,
    held: HashSet<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    drop_next: u32,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            order: VecDeque::new(),
            held: HashSet::new(),
            events: VecDeque::new(),
            sequence: 0,
            drop_next: 0,
        }
    }

    /// Stores prefixes and evicts the oldest ones above the capacity.
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if self.held.insert(*hash) {
                self.order.push_back(*hash);
                self.push_event("prefix_stored", *hash);
            }
            while self.order.len() > self.capacity {
                if let Some(oldest) = self.order.pop_front() {
                    self.held.remove(&oldest);
                    self.push_event("prefix_evicted", oldest);
                }
            }
        }
    }

    /// Loses the next `count` events; their sequence numbers are used up.
    pub(crate) fn drop_next(&mut self, count: u32) {
        self.drop_next += count;
    }

    /// Returns the visible events after `after`, and the number to ask for next time.
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
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        let event = CacheEvent { sequence: self.sequence, kind, prefix_hash, at: Instant::now() };
        self.events.push_back(event);
    }
}
