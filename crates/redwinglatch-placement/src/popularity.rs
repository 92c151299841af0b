//! Estimates of how often something is asked for.

/// The unit of time in an estimate, so that its 32 bits last for years.
const UNIT_MS: u64 = 64;
/// How much faster the recent count decays than the long one.
const RECENT_FACTOR: f32 = 4.0;
/// Requests added to the recent count, so that a chance pause costs a rare adapter little.
const RECENT_PRIOR: f32 = 0.1;

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
    /// The expected requests in about the half-life of the long count.
    pub(crate) fn value(self, now_ms: u64, half_life_ms: u32) -> f32 {
        if self.long == 0.0 {
            return 0.0;
        }
        let (long, recent) = self.decayed(now_ms, half_life_ms);
        long.min(RECENT_FACTOR * (recent + RECENT_PRIOR))
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
