//! Exponential backoff between attempts.

use fastrand::Rng;

/// Exponential backoff. Half of each delay is random, so that callers do not retry simultaneously.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Delay before the second attempt.
    pub initial_ms: u64,
    /// Upper bound of a delay.
    pub max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { initial_ms: 20, max_ms: 1_000 }
    }
}

impl Backoff {
    /// Returns the delay after `failed_attempts`, counted from 1.
    pub fn delay_ms(&self, failed_attempts: u32, rng: &mut Rng) -> u64 {
        let doublings = failed_attempts.saturating_sub(1).min(32);
        let full_ms = self.initial_ms.saturating_mul(1 << doublings).min(self.max_ms);
        full_ms / 2 + rng.u64(0..=full_ms - full_ms / 2)
    }
}
