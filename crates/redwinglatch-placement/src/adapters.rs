//! The adapters that a coordinator knows.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use redwinglatch_core::AdapterVersion;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::{
    keys::{AdapterKey, EngineKey, ModelKey, WaitKey},
    popularity::Popularity,
};

/// How many adapters are looked at to forget one.
const FORGET_ATTEMPTS: usize = 64;
/// Expected requests below which an idle adapter counts as cold.
const COLD: f32 = 0.25;

/// An adapter and version; idle ones have no `active` part, which keeps them small.
#[derive(Debug)]
pub(crate) struct Adapter {
    pub(crate) name: AdapterVersion,
    pub(crate) popularity: Popularity,
    pub(crate) active: Option<Box<Active>>,
    /// The next adapter whose name has the same hash.
    same_hash: Option<AdapterKey>,
    pub(crate) model: ModelKey,
}

/// The part of an adapter that is in a slot, waited for or failing.
#[derive(Debug, Default)]
pub(crate) struct Active {
    /// Engines on which the adapter is ready.
    pub(crate) copies: SmallVec<[EngineKey; 4]>,
    /// Requests that wait, by priority and then by deadline.
    pub(crate) waiting: Vec<WaitKey>,
    /// Slots, pins and queued loads that name the adapter.
    pub(crate) references: u32,
    /// Loads that failed in a row.
    pub(crate) failures: u8,
    /// Whether the adapter does not exist in the weight store, as far as known.
    pub(crate) unknown: bool,
    /// Until when requests are refused because loads failed.
    pub(crate) refused_until_ms: u64,
    /// Until when an engine is not asked again after its load failed.
    pub(crate) backoffs: SmallVec<[(EngineKey, u64); 2]>,
}

/// Names of adapters, interned to keys; the number of them is bounded.
#[derive(Debug)]
pub(crate) struct AdapterTable {
    adapters: SlotMap<AdapterKey, Adapter>,
    /// The first adapter with a hash; names are stored only once, in `adapters`.
    by_hash: HashMap<u64, AdapterKey>,
    /// The order in which idle adapters are considered for forgetting.
    oldest: VecDeque<AdapterKey>,
    hash_seed: u64,
    limit: usize,
    half_life_ms: u32,
    /// The weight of recency in the popularity, learnt from requests.
    recency: f32,
}

impl AdapterTable {
    pub(crate) fn new(hash_seed: u64, limit: usize, half_life_ms: u32) -> AdapterTable {
        AdapterTable {
            adapters: SlotMap::with_key(),
            by_hash: HashMap::new(),
            oldest: VecDeque::new(),
            hash_seed,
            limit: limit.max(1),
            half_life_ms,
            recency: 0.0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.adapters.len()
    }

    /// The memory of the tables and names.
    pub(crate) fn bytes(&self) -> usize {
        // An arena's entry has a version beside the value, and is aligned like it.
        let entry = size_of::<Adapter>() + size_of::<u64>();
        // A hash table has a control byte for each bucket, and fills at most 7 of 8 buckets.
        let buckets = (self.by_hash.capacity() * 8 / 7).next_power_of_two();
        let bucket = size_of::<(u64, AdapterKey)>() + 1;
        // An allocator rounds up to 16 bytes, with 8 bytes of its own.
        let name = |it: &Adapter| (it.name.adapter.len() + 8).next_multiple_of(16).max(32);
        self.adapters.capacity() * entry
            + buckets * bucket
            + self.oldest.capacity() * size_of::<AdapterKey>()
            + self.adapters.values().map(name).sum::<usize>()
    }

    pub(crate) fn get(&self, key: AdapterKey) -> Option<&Adapter> {
        self.adapters.get(key)
    }

    /// The active part, if the adapter has one.
    pub(crate) fn active(&self, key: AdapterKey) -> Option<&Active> {
        self.adapters.get(key)?.active.as_deref()
    }

    /// The active part, created if needed. The key must be live.
    pub(crate) fn activate(&mut self, key: AdapterKey) -> &mut Active {
        self.adapters[key].active.get_or_insert_default()
    }

    /// The active part, if the adapter has one.
    pub(crate) fn active_mut(&mut self, key: AdapterKey) -> Option<&mut Active> {
        self.adapters.get_mut(key)?.active.as_deref_mut()
    }

    pub(crate) fn name(&self, key: AdapterKey) -> AdapterVersion {
        self.adapters[key].name.clone()
    }

    /// Counts a request for the adapter.
    pub(crate) fn count(&mut self, key: AdapterKey, now_ms: u64) {
        let half_life_ms = self.half_life_ms;
        self.adapters[key].popularity.add(now_ms, half_life_ms);
    }

    /// Learns from a request before it is counted.
    pub(crate) fn learn(&mut self, key: AdapterKey, now_ms: u64, recent_ms: u64, loaded: bool) {
        let popularity = self.adapters[key].popularity;
        let lesson = popularity.lesson(now_ms, self.half_life_ms, recent_ms, loaded);
        self.recency = (self.recency + lesson).clamp(0.0, 1.0);
    }

    /// The adapter's expected requests within the half-life.
    pub(crate) fn popularity(&self, key: AdapterKey, now_ms: u64) -> f32 {
        let (half_life_ms, recency) = (self.half_life_ms, self.recency);
        self.adapters.get(key).map_or(0.0, |it| it.popularity.value(now_ms, half_life_ms, recency))
    }

    /// Adds a reference, which keeps the adapter from being forgotten.
    pub(crate) fn hold(&mut self, key: AdapterKey) {
        self.activate(key).references += 1;
    }

    /// Drops a reference.
    pub(crate) fn drop_hold(&mut self, key: AdapterKey, now_ms: u64) {
        if let Some(active) = self.active_mut(key) {
            active.references = active.references.saturating_sub(1);
        }
        self.deactivate_if_idle(key, now_ms);
    }

    /// Drops the active part of an adapter that no longer needs it.
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

    /// The key of a name, which is added if it is new; `None` if the table is full of adapters
    /// in use.
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
        if self.adapters.len() >= self.limit && !self.forget_one(now_ms) {
            return None;
        }
        // Forgetting may have removed the first adapter with this hash.
        let first = self.by_hash.get(&hash).copied();
        let key = self.adapters.insert(Adapter {
            name: name.clone(),
            popularity: Popularity::default(),
            active: None,
            same_hash: first,
            model,
        });
        self.by_hash.insert(hash, key);
        self.oldest.push_back(key);
        Some(key)
    }

    fn hash(&self, model: ModelKey, name: &AdapterVersion) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.hash_seed, model.0, &*name.adapter, name.version).hash(&mut hasher);
        hasher.finish()
    }

    /// Forgets the coldest idle adapter among some; a cold one ends the search.
    fn forget_one(&mut self, now_ms: u64) -> bool {
        let mut coldest: Option<(f32, AdapterKey)> = None;
        let attempts = self.oldest.len();
        for attempt in 0..attempts {
            if attempt >= FORGET_ATTEMPTS && coldest.is_some() {
                break;
            }
            let Some(key) = self.oldest.pop_front() else { break };
            self.oldest.push_back(key);
            self.deactivate_if_idle(key, now_ms);
            if self.adapters[key].active.is_some() {
                continue;
            }
            let value = self.popularity(key, now_ms);
            if coldest.is_none_or(|(least, _)| value < least) {
                coldest = Some((value, key));
            }
            if value < COLD {
                break;
            }
        }
        let Some((_, key)) = coldest else { return false };
        self.forget(key);
        true
    }

    fn forget(&mut self, key: AdapterKey) {
        let Some(adapter) = self.adapters.remove(key) else { return };
        // The adapter is nearly always at the end, where the search left it.
        if let Some(at) = self.oldest.iter().rposition(|it| *it == key) {
            self.oldest.remove(at);
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
