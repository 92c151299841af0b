//! Estimates of how often something is asked for.

/// The unit of time in an estimate, so that its 32 bits last for years.
const UNIT_MS: u64 = 64;
/// How much faster the recent count decays than the long one.
const RECENT_FACTOR: f32 = 4.0;
/// Requests added to the recent count, so that a chance pause costs a rare adapter little.
const RECENT_PRIOR: f32 = 0.1;
/// The value of an adapter that was just asked for, if only recency counts.
const LAST_VALUE: f32 = 4.0;
/// The time in which that value halves.
const LAST_HALF_LIFE_MS: f32 = 20_000.0;
/// Long count from which a miss would have been avoided by keeping frequent adapters.
const FREQUENT: f32 = 1.0;
/// How much one request moves the weight of recency.
const LESSON: f32 = 0.1;

/// Two decayed counts; they take 12 bytes.
///
/// The long count tells steady adapters from rare ones. The recent one limits it, so that an
/// adapter which is no longer asked for soon gives way after a shift of popularity.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Popularity {
    long: f32,
    recent: f32,
    at_units: u32,
}

impl Popularity {
    /// The expected requests in about the half-life of the long count. The weight of `recency`
    /// goes to the time since the last request, the rest to the counts.
    pub(crate) fn value(self, now_ms: u64, half_life_ms: u32, recency: f32) -> f32 {
        if self.long == 0.0 {
            return 0.0;
        }
        let (long, recent) = self.decayed(now_ms, half_life_ms);
        let counted = long.min(RECENT_FACTOR * (recent + RECENT_PRIOR));
        if recency == 0.0 {
            return counted;
        }
        let idle_ms = now_ms.saturating_sub(u64::from(self.at_units) * UNIT_MS);
        let last = LAST_VALUE * (-(idle_ms as f32) / LAST_HALF_LIFE_MS).exp2();
        (1.0 - recency) * counted + recency * last
    }

    /// What a request says, before it is counted: a positive value if the adapter is not loaded
    /// but keeping the most recent adapters would have kept it, a negative one if it is loaded
    /// only since frequent adapters are kept, or is not although it is frequent. `recent_ms` is
    /// the age of the least recent adapter if the most recent ones were kept.
    pub(crate) fn lesson(
        self,
        now_ms: u64,
        half_life_ms: u32,
        recent_ms: u64,
        loaded: bool,
    ) -> f32 {
        let idle_ms = now_ms.saturating_sub(u64::from(self.at_units) * UNIT_MS);
        if self.long == 0.0 {
            0.0
        } else if idle_ms < recent_ms {
            if loaded { 0.0 } else { LESSON }
        } else if loaded || self.long_count(now_ms, half_life_ms) >= FREQUENT {
            -LESSON
        } else {
            0.0
        }
    }

    /// The long count.
    pub(crate) fn long_count(self, now_ms: u64, half_life_ms: u32) -> f32 {
        self.decayed(now_ms, half_life_ms).0
    }

    /// Counts one more.
    pub(crate) fn add(&mut self, now_ms: u64, half_life_ms: u32) {
        let (long, recent) = self.decayed(now_ms, half_life_ms);
        self.long = long + 1.0;
        self.recent = recent + 1.0;
        self.at_units = u32::try_from(now_ms / UNIT_MS).unwrap_or(u32::MAX);
    }

    fn decayed(self, now_ms: u64, half_life_ms: u32) -> (f32, f32) {
        let age_units = (now_ms / UNIT_MS).saturating_sub(u64::from(self.at_units));
        let decay = (-((age_units * UNIT_MS) as f32) / half_life_ms as f32).exp2();
        let recent_decay = decay.powi(RECENT_FACTOR as i32);
        (self.long * decay, self.recent * recent_decay)
    }
}
