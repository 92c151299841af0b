//! The prompt parts that the coordinator believes an engine to hold.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use crate::{
    ids::{mix_bits, name_hash},
    message::PlaceRequest,
};

/// Parts that are remembered for each engine. On an engine with memory for 70,894 tokens it is reached only
/// if the parts have fewer than 70 tokens each.
const MAX_PARTS: usize = 1_024;
/// Age at which an unused part counts half. Evictions that follow from placed requests are known, so this
/// stands for requests that other processes placed. It is a prior and not measured: the time to the first
/// event doesn't show whether a part was held (see `docs/design/prompt-reuse.md`).
const HALF_LIFE_MS: f64 = 120_000.0;
/// Probability that a part is held by an engine which hasn't finished reading it. A request that joins
/// the batch in the same step reads the part itself.
const UNREAD_PROBABILITY: f64 = 0.5;

/// Identifies a prompt part of a model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PartKey(u64);

impl PartKey {
    fn new(model_hash: u64, part: u64) -> PartKey {
        PartKey(mix_bits(model_hash ^ mix_bits(part)))
    }
}

/// The shared parts of one request's prompt, in order, with their token counts.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedParts {
    model_hash: u64,
    parts: SmallVec<[(PartKey, u32); 6]>,
}

impl SharedParts {
    pub(super) fn of(request: &PlaceRequest) -> SharedParts {
        let model_hash = name_hash(&request.model);
        let parts = request.shared_parts().iter();
        SharedParts {
            model_hash,
            parts: parts.map(|(part, tokens)| (PartKey::new(model_hash, *part), *tokens)).collect(),
        }
    }

    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }
}

#[derive(Debug)]
struct HeldPart {
    model_hash: u64,
    tokens: u32,
    /// Other requests may share it.
    is_shared: bool,
    /// Running requests that use it.
    users: u32,
    /// Time until which the engine may still be reading it.
    read_by_ms: u64,
    last_used_ms: u64,
    /// Its place in the order of eviction, if it has no users.
    idle_order: Option<u64>,
}

/// The prompt of a running request.
#[derive(Debug)]
struct RunningPrompt {
    shared: SharedParts,
    /// The last part of the prompt, which no other request shares.
    own: (PartKey, u32),
    /// Tokens of that part and the maximum number of output tokens.
    own_tokens: u64,
}

/// Memory of an engine, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct MemoryUse {
    /// Tokens that running requests may occupy; a part that several of them share counts once.
    pub(super) in_use: u64,
    /// Tokens of parts that no running request uses, which yield when memory is needed.
    pub(super) idle: u64,
    /// Tokens among those that later requests may share.
    pub(super) idle_shared: u64,
}

/// The prompt parts that an engine should hold, by the requests that were placed on it: those of running
/// requests, and the most recently used others that fit in the rest of the memory.
#[derive(Debug, Default)]
pub(super) struct HeldParts {
    parts: HashMap<PartKey, HeldPart>,
    /// The parts without users, the least recently used first.
    idle: BTreeMap<u64, PartKey>,
    next_idle_order: u64,
    running: HashMap<(u64, u64), RunningPrompt>,
    memory: MemoryUse,
}

impl HeldParts {
    pub(super) fn memory(&self) -> MemoryUse {
        self.memory
    }

    /// Returns the expected number of prompt tokens that the engine needn't read: those of the leading parts,
    /// each weighted by the probability that it and all parts before it are held.
    pub(super) fn expected_tokens(&self, now_ms: u64, shared: &SharedParts) -> f64 {
        let mut probability: f64 = 1.0;
        let mut expected = 0.0;
        for (key, tokens) in &shared.parts {
            let Some(part) = self.parts.get(key) else { break };
            // The events that lose a part lose the parts after it too, so the probabilities aren't multiplied.
            probability = probability.min(part.probability(now_ms));
            expected += probability * f64::from(part.tokens.min(*tokens));
        }
        expected
    }

    /// Adds the prompt of a request that the engine will have read at `read_by_ms`.
    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        id: (u64, u64),
        request: &PlaceRequest,
        read_by_ms: u64,
        cache_tokens: u64,
    ) {
        let shared = SharedParts::of(request);
        for (key, tokens) in &shared.parts {
            let part = self.parts.entry(*key).or_insert_with(|| HeldPart {
                model_hash: shared.model_hash,
                tokens: *tokens,
                is_shared: true,
                users: 0,
                read_by_ms,
                last_used_ms: now_ms,
                idle_order: None,
            });
            if let Some(order) = part.idle_order.take() {
                self.idle.remove(&order);
                self.memory.remove_idle(part);
            }
            if part.users == 0 {
                self.memory.in_use += u64::from(part.tokens);
            }
            // The last part of an earlier prompt of a session may be among the shared ones of a later prompt.
            part.is_shared = true;
            part.users += 1;
            part.last_used_ms = now_ms;
        }
        let own_prompt = u64::from(request.prompt_tokens).saturating_sub(shared.tokens());
        let own_tokens = own_prompt + u64::from(request.output_tokens);
        // The key of a prompt without parts is made from the request.
        let own_part = request.prompt_parts.last().map_or(id.0 ^ mix_bits(id.1), |(part, _)| *part);
        let own_key = PartKey::new(shared.model_hash, own_part);
        let own = (own_key, u32::try_from(own_prompt).unwrap_or(u32::MAX));
        self.memory.in_use += own_tokens;
        self.running.insert(id, RunningPrompt { shared, own, own_tokens });
        self.evict(cache_tokens);
    }

    /// Records that the engine has read the prompt of a request.
    pub(super) fn read(&mut self, id: (u64, u64)) {
        let Some(prompt) = self.running.get(&id) else { return };
        for (key, _) in &prompt.shared.parts {
            if let Some(part) = self.parts.get_mut(key) {
                part.read_by_ms = 0;
            }
        }
    }

    /// Ends a request. Its parts become the most recently used ones, unless it ended before they were read.
    pub(super) fn end(&mut self, now_ms: u64, id: (u64, u64), cache_tokens: u64) {
        let Some(prompt) = self.running.remove(&id) else { return };
        self.memory.in_use = self.memory.in_use.saturating_sub(prompt.own_tokens);
        let mut is_read = true;
        // Without a part those after it are useless, so the last one yields first.
        let (own_key, own_tokens) = prompt.own;
        let own_order = self.take_order(1 + prompt.shared.parts.len() as u64);
        for (position, (key, _)) in prompt.shared.parts.iter().rev().enumerate() {
            let Some(part) = self.parts.get_mut(key) else { continue };
            part.users = part.users.saturating_sub(1);
            part.last_used_ms = now_ms;
            if part.users > 0 {
                continue;
            }
            self.memory.in_use = self.memory.in_use.saturating_sub(u64::from(part.tokens));
            if now_ms < part.read_by_ms {
                is_read = false;
                self.parts.remove(key);
                continue;
            }
            let order = own_order + 1 + position as u64;
            part.idle_order = Some(order);
            self.idle.insert(order, *key);
            self.memory.add_idle(part);
        }
        if is_read && own_tokens > 0 && !self.parts.contains_key(&own_key) {
            let own = HeldPart {
                model_hash: prompt.shared.model_hash,
                tokens: own_tokens,
                is_shared: false,
                users: 0,
                read_by_ms: 0,
                last_used_ms: now_ms,
                idle_order: Some(own_order),
            };
            self.memory.add_idle(&own);
            self.idle.insert(own_order, own_key);
            self.parts.insert(own_key, own);
        }
        self.evict(cache_tokens);
    }

    /// Removes the parts of a model or adapter that the engine has unloaded.
    pub(super) fn remove_model(&mut self, model: &str) {
        let model_hash = name_hash(model);
        // Parts of the same name that are read later don't belong to the requests that still run.
        let running = self.running.values_mut();
        for prompt in running.filter(|prompt| prompt.shared.model_hash == model_hash) {
            prompt.shared.parts.clear();
            prompt.own.1 = 0;
        }
        let (idle, memory) = (&mut self.idle, &mut self.memory);
        self.parts.retain(|_, part| {
            let is_kept = part.model_hash != model_hash;
            match part.idle_order {
                _ if is_kept => {}
                None => memory.in_use = memory.in_use.saturating_sub(u64::from(part.tokens)),
                Some(order) => {
                    idle.remove(&order);
                    memory.remove_idle(part);
                }
            }
            is_kept
        });
    }

    fn take_order(&mut self, count: u64) -> u64 {
        let first = self.next_idle_order;
        self.next_idle_order += count;
        first
    }

    /// Removes the least recently used parts while the memory is exceeded.
    fn evict(&mut self, cache_tokens: u64) {
        while self.memory.in_use + self.memory.idle > cache_tokens || self.parts.len() > MAX_PARTS {
            let Some((_, key)) = self.idle.pop_first() else { return };
            if let Some(part) = self.parts.remove(&key) {
                self.memory.remove_idle(&part);
            }
        }
    }
}

impl HeldPart {
    /// Returns the probability that the engine holds the part.
    fn probability(&self, now_ms: u64) -> f64 {
        if now_ms < self.read_by_ms {
            UNREAD_PROBABILITY
        } else if self.users > 0 {
            1.0
        } else {
            let age_ms = now_ms.saturating_sub(self.last_used_ms);
            (-(age_ms as f64) / HALF_LIFE_MS).exp2()
        }
    }
}

impl MemoryUse {
    fn add_idle(&mut self, part: &HeldPart) {
        self.idle += u64::from(part.tokens);
        self.idle_shared += if part.is_shared { u64::from(part.tokens) } else { 0 };
    }

    fn remove_idle(&mut self, part: &HeldPart) {
        self.idle -= u64::from(part.tokens);
        self.idle_shared -= if part.is_shared { u64::from(part.tokens) } else { 0 };
    }
}

#[cfg(test)]
mod tests;
