//! Request rate estimates with exponential decay.

/// Unit of the stored timestamps, chosen so that 32 bits last for years.
const TIME_UNIT_MS: u64 = 64;
/// How many times faster the short-term count decays than the long-term one.
const SHORT_TERM_DECAY_FACTOR: f32 = 4.0;
/// Requests added to the short-term count, so that a random pause lowers the value of a rarely
/// used adapter only a little.
const SHORT_TERM_PRIOR: f32 = 0.1;
/// Value of an adapter that was just requested, if only recency counts.
const RECENCY_VALUE: f32 = 4.0;
/// Half-life of that value.
const RECENCY_HALF_LIFE_MS: f32 = 20_000.0;
/// Long-term count from which an adapter is frequent: keeping the frequent adapters would have
/// avoided a miss on it.
const FREQUENT_MIN_COUNT: f32 = 1.0;
/// Change of the weight of recency by one request.
const RECENCY_STEP: f32 = 0.1;

/// Two request counts with exponential decay, in 12 bytes.
///
/// The long-term count distinguishes steadily used adapters from rarely used ones. The short-term
/// count limits it, so that an adapter which is no longer requested is soon evicted after a
/// popularity shift.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Popularity {
    long_term: f32,
    short_term: f32,
    updated_units: u32,
}

impl Popularity {
    /// Returns the number of requests expected in about the half-life of the long-term count. The
    /// time since the last request has the weight `recency`, the counts have the rest.
    pub(crate) fn value(self, now_ms: u64, half_life_ms: u32, recency: f32) -> f32 {
        if self.long_term == 0.0 {
            return 0.0;
        }
        let (long_term, short_term) = self.decayed(now_ms, half_life_ms);
        let counted = long_term.min(SHORT_TERM_DECAY_FACTOR * (short_term + SHORT_TERM_PRIOR));
        if recency == 0.0 {
            return counted;
        }
        let idle_ms = now_ms.saturating_sub(u64::from(self.updated_units) * TIME_UNIT_MS);
        let recency_value = RECENCY_VALUE * (-(idle_ms as f32) / RECENCY_HALF_LIFE_MS).exp2();
        (1.0 - recency) * counted + recency * recency_value
    }

    /// Returns by how much a request that is not counted yet should change the weight of recency.
    ///
    /// The result is positive if the adapter is not loaded, but an LRU policy would have kept it.
    /// It is negative if the adapter is loaded only because frequent adapters are kept, or is
    /// frequent but not loaded. `lru_age_ms` is the age of the least recently used adapter that an
    /// LRU policy would have kept.
    pub(crate) fn recency_change(
        self,
        now_ms: u64,
        half_life_ms: u32,
        lru_age_ms: u64,
        loaded: bool,
    ) -> f32 {
        let idle_ms = now_ms.saturating_sub(u64::from(self.updated_units) * TIME_UNIT_MS);
        if self.long_term == 0.0 {
            0.0
        } else if idle_ms < lru_age_ms {
            if loaded { 0.0 } else { RECENCY_STEP }
        } else if loaded || self.long_term_count(now_ms, half_life_ms) >= FREQUENT_MIN_COUNT {
            -RECENCY_STEP
        } else {
            0.0
        }
    }

    /// Returns the decayed long-term count.
    pub(crate) fn long_term_count(self, now_ms: u64, half_life_ms: u32) -> f32 {
        self.decayed(now_ms, half_life_ms).0
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now_ms: u64, half_life_ms: u32) {
        let (long_term, short_term) = self.decayed(now_ms, half_life_ms);
        self.long_term = long_term + 1.0;
        self.short_term = short_term + 1.0;
        self.updated_units = u32::try_from(now_ms / TIME_UNIT_MS).unwrap_or(u32::MAX);
    }

    fn decayed(self, now_ms: u64, half_life_ms: u32) -> (f32, f32) {
        let age_units = (now_ms / TIME_UNIT_MS).saturating_sub(u64::from(self.updated_units));
        let decay = (-((age_units * TIME_UNIT_MS) as f32) / half_life_ms as f32).exp2();
        let short_term_decay = decay.powi(SHORT_TERM_DECAY_FACTOR as i32);
        (self.long_term * decay, self.short_term * short_term_decay)
    }
}
