//! Table of the adapters that a coordinator tracks.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use redwinglatch_core::AdapterVersion;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    keys::{AdapterKey, EngineKey, ModelKey, WaitingKey},
    popularity::Popularity,
};

/// Idle adapters to compare when one has to be removed.
const MAX_REMOVAL_CANDIDATES: usize = 64;
/// Expected requests below which an idle adapter is cold and removed without further comparison.
const COLD_MAX_REQUESTS: f32 = 0.25;

/// An adapter version. Idle ones have no `active` part, which saves memory.
#[derive(Debug)]
pub(crate) struct Adapter {
    pub(crate) name: AdapterVersion,
    pub(crate) popularity: Popularity,
    pub(crate) active: Option<Box<ActiveAdapter>>,
    /// The next adapter whose name has the same hash (collision list).
    same_hash: Option<AdapterKey>,
    pub(crate) model: ModelKey,
}

/// State of an adapter that is in a slot, is waited for, or recently failed to load.
#[derive(Debug, Default)]
pub(crate) struct ActiveAdapter {
    /// Engines on which the adapter is loaded.
    pub(crate) copies: SmallVec<[EngineKey; 4]>,
    /// Waiting requests, by priority and then by deadline.
    pub(crate) waiting: Vec<WaitingKey>,
    /// Number of slots, pins and queued loads that refer to the adapter.
    pub(crate) references: u32,
    /// Consecutive failed loads.
    pub(crate) failures: u8,
    /// Whether the last failed load reported that the weight store doesn't have the adapter.
    pub(crate) is_unknown: bool,
    /// Requests are refused until this time because loads failed.
    pub(crate) refused_until_ms: u64,
    /// Engines on which a load failed, with the time until which they get no further load order.
    pub(crate) backoffs: SmallVec<[(EngineKey, u64); 2]>,
}

/// Adapter names interned to keys; their number is bounded.
#[derive(Debug)]
pub(crate) struct AdapterTable {
    adapters: SlotMap<AdapterKey, Adapter>,
    /// The first adapter with each hash. Names are stored only once, in `adapters`.
    by_hash: HashMap<u64, AdapterKey>,
    /// The order in which idle adapters are considered for removal.
    removal_queue: VecDeque<AdapterKey>,
    hash_seed: u64,
    limit: usize,
    half_life_ms: u32,
    /// Weight of recency in the popularity, adjusted by each request.
    recency: f32,
}

impl AdapterTable {
    pub(crate) fn new(hash_seed: u64, limit: usize, half_life_ms: u32) -> AdapterTable {
        AdapterTable {
            adapters: SlotMap::with_key(),
            by_hash: HashMap::new(),
            removal_queue: VecDeque::new(),
            hash_seed,
            limit: limit.max(1),
            half_life_ms,
            recency: 0.0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.adapters.len()
    }

    /// Returns the estimated memory use of the tables and names.
    pub(crate) fn bytes(&self) -> usize {
        // Each arena entry has a version beside the value, padded to the value's alignment.
        let entry = size_of::<Adapter>() + size_of::<u64>();
        // The hash table has a control byte per bucket and a load factor of at most 7/8.
        let buckets = (self.by_hash.capacity() * 8 / 7).next_power_of_two();
        let bucket = size_of::<(u64, AdapterKey)>() + 1;
        // The allocator adds a header of 8 bytes and rounds up to a multiple of 16 bytes.
        let name = |it: &Adapter| (it.name.adapter.len() + 8).next_multiple_of(16).max(32);
        self.adapters.capacity() * entry
            + buckets * bucket
            + self.removal_queue.capacity() * size_of::<AdapterKey>()
            + self.adapters.values().map(name).sum::<usize>()
    }

    pub(crate) fn get(&self, key: AdapterKey) -> Option<&Adapter> {
        self.adapters.get(key)
    }

    /// Returns the active part, if the adapter has one.
    pub(crate) fn active(&self, key: AdapterKey) -> Option<&ActiveAdapter> {
        self.adapters.get(key)?.active.as_deref()
    }

    /// Returns the active part, created if needed. Panics if the key is not in the table.
    pub(crate) fn activate(&mut self, key: AdapterKey) -> &mut ActiveAdapter {
        self.adapters[key].active.get_or_insert_default()
    }

    /// Returns the active part, if the adapter has one.
    pub(crate) fn active_mut(&mut self, key: AdapterKey) -> Option<&mut ActiveAdapter> {
        self.adapters.get_mut(key)?.active.as_deref_mut()
    }

    pub(crate) fn name(&self, key: AdapterKey) -> AdapterVersion {
        self.adapters[key].name.clone()
    }

    /// Counts a request for the adapter.
    pub(crate) fn count_request(&mut self, key: AdapterKey, now_ms: u64) {
        let half_life_ms = self.half_life_ms;
        self.adapters[key].popularity.record(now_ms, half_life_ms);
    }

    /// Adjusts the weight of recency by a request, before the request is counted.
    pub(crate) fn adjust_recency(
        &mut self,
        key: AdapterKey,
        now_ms: u64,
        lru_age_ms: u64,
        loaded: bool,
    ) {
        let popularity = self.adapters[key].popularity;
        let recency_change =
            popularity.recency_change(now_ms, self.half_life_ms, lru_age_ms, loaded);
        self.recency = (self.recency + recency_change).clamp(0.0, 1.0);
    }

    /// Returns the number of requests expected for the adapter within the half-life.
    pub(crate) fn popularity(&self, key: AdapterKey, now_ms: u64) -> f32 {
        let (half_life_ms, recency) = (self.half_life_ms, self.recency);
        self.adapters.get(key).map_or(0.0, |it| it.popularity.value(now_ms, half_life_ms, recency))
    }

    /// Adds a reference, which keeps the adapter in the table.
    pub(crate) fn add_reference(&mut self, key: AdapterKey) {
        self.activate(key).references += 1;
    }

    /// Removes a reference.
    pub(crate) fn remove_reference(&mut self, key: AdapterKey, now_ms: u64) {
        if let Some(active) = self.active_mut(key) {
            active.references = active.references.saturating_sub(1);
        }
        self.deactivate_if_idle(key, now_ms);
    }

    /// Removes the active part of an adapter that no longer needs it.
    pub(crate) fn deactivate_if_idle(&mut self, key: AdapterKey, now_ms: u64) {
        let Some(adapter) = self.adapters.get_mut(key) else { return };
        if let Some(active) = &adapter.active
            && active.references == 0
            && active.copies.is_empty()
            && active.waiting.is_empty()
            && active.refused_until_ms <= now_ms
            && active.backoffs.iter().all(|(_, until_ms)| *until_ms <= now_ms)
        {
            adapter.active = None;
        }
    }

    /// Returns the key of a name and adds the name if it is new; `None` if the table is full of
    /// adapters in use.
    pub(crate) fn intern(
        &mut self,
        model: ModelKey,
        name: &AdapterVersion,
        now_ms: u64,
    ) -> Option<AdapterKey> {
        let hash = self.hash(model, name);
        let first = self.by_hash.get(&hash).copied();
        let mut next = first;
        while let Some(key) = next {
            let adapter = &self.adapters[key];
            if adapter.model == model && adapter.name == *name {
                return Some(key);
            }
            next = adapter.same_hash;
        }
        if self.adapters.len() >= self.limit && !self.remove_coldest(now_ms) {
            return None;
        }
        // The removal may have changed the first adapter with this hash.
        let first = self.by_hash.get(&hash).copied();
        let key = self.adapters.insert(Adapter {
            name: name.clone(),
            popularity: Popularity::default(),
            active: None,
            same_hash: first,
            model,
        });
        self.by_hash.insert(hash, key);
        self.removal_queue.push_back(key);
        Some(key)
    }

    fn hash(&self, model: ModelKey, name: &AdapterVersion) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.hash_seed, model.0, &*name.adapter, name.version).hash(&mut hasher);
        hasher.finish()
    }

    /// Removes the least popular of several idle adapters; the search ends at the first cold one.
    /// Returns false if no adapter is idle.
    fn remove_coldest(&mut self, now_ms: u64) -> bool {
        let mut coldest: Option<(f32, AdapterKey)> = None;
        let attempts = self.removal_queue.len();
        for attempt in 0..attempts {
            if attempt >= MAX_REMOVAL_CANDIDATES && coldest.is_some() {
                break;
            }
            let Some(key) = self.removal_queue.pop_front() else { break };
            self.removal_queue.push_back(key);
            self.deactivate_if_idle(key, now_ms);
            if self.adapters[key].active.is_some() {
                continue;
            }
            let value = self.popularity(key, now_ms);
            if coldest.is_none_or(|(least, _)| value < least) {
                coldest = Some((value, key));
            }
            if value < COLD_MAX_REQUESTS {
                break;
            }
        }
        let Some((_, key)) = coldest else { return false };
        self.remove_adapter(key);
        true
    }

    fn remove_adapter(&mut self, key: AdapterKey) {
        let Some(adapter) = self.adapters.remove(key) else { return };
        // The adapter is nearly always at the end, where the search put it.
        if let Some(at) = self.removal_queue.iter().rposition(|it| *it == key) {
            self.removal_queue.remove(at);
        }
        let hash = self.hash(adapter.model, &adapter.name);
        if self.by_hash.get(&hash) == Some(&key) {
            match adapter.same_hash {
                Some(next) => self.by_hash.insert(hash, next),
                None => self.by_hash.remove(&hash),
            };
            return;
        }
        let mut previous = self.by_hash.get(&hash).copied();
        while let Some(at) = previous {
            let next = self.adapters[at].same_hash;
            if next == Some(key) {
                self.adapters[at].same_hash = adapter.same_hash;
                return;
            }
            previous = next;
        }
    }
}
