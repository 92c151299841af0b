//! Estimates of how often something is asked for.

/// The unit of time in an estimate, so that its 32 bits last for years.
const UNIT_MS: u64 = 64;

/// A count that halves each half-life; it takes 8 bytes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Popularity {
    count: f32,
    at_units: u32,
}

impl Popularity {
    /// The decayed count.
    pub(crate) fn value(self, now_ms: u64, half_life_ms: u32) -> f32 {
        if self.count == 0.0 {
            return 0.0;
        }
        let age_units = (now_ms / UNIT_MS).saturating_sub(u64::from(self.at_units));
        self.count * (-((age_units * UNIT_MS) as f32) / half_life_ms as f32).exp2()
    }

    /// Counts one more.
    pub(crate) fn add(&mut self, now_ms: u64, half_life_ms: u32) {
        self.count = self.value(now_ms, half_life_ms) + 1.0;
        self.at_units = u32::try_from(now_ms / UNIT_MS).unwrap_or(u32::MAX);
    }
}
