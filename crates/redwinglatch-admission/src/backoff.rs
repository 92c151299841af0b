//! Delays between attempts.

use fastrand::Rng;

/// Delays that double with each attempt, of which half is random so that callers spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The delay before the second attempt.
    pub first_ms: u64,
    /// The longest delay.
    pub longest_ms: u64,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { first_ms: 20, longest_ms: 1_000 }
    }
}

impl Backoff {
    /// The delay after `failed` failed attempts, counted from 1.
    pub fn delay_ms(&self, failed: u32, rng: &mut Rng) -> u64 {
        let doublings = failed.saturating_sub(1).min(32);
        let whole = self.first_ms.saturating_mul(1 << doublings).min(self.longest_ms);
        whole / 2 + rng.u64(0..=whole - whole / 2)
    }
}
