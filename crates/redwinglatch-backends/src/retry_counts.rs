//! Counters of retries.

use std::sync::atomic::{AtomicU64, Ordering};

use redwinglatch_core::RetryReason;

const REASON_COUNT: usize = RetryReason::ALL.len();

/// The number of retries for each reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryCounts([u64; REASON_COUNT]);

impl RetryCounts {
    /// Returns the count of one reason.
    #[must_use]
    pub fn get(&self, reason: RetryReason) -> u64 {
        self.0[reason.index()]
    }

    /// Iterates over the reasons that occurred, with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (RetryReason, u64)> + '_ {
        RetryReason::ALL.iter().copied().zip(self.0).filter(|(_, count)| *count > 0)
    }

    /// Returns whether there was no retry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| *count == 0)
    }
}

/// The live counters behind [`RetryCounts`].
#[derive(Debug)]
pub(crate) struct RetryCounters([AtomicU64; REASON_COUNT]);

impl RetryCounters {
    pub(crate) fn new() -> RetryCounters {
        RetryCounters(std::array::from_fn(|_| AtomicU64::new(0)))
    }

    pub(crate) fn increment(&self, reason: RetryReason) {
        self.0[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn take(&self) -> RetryCounts {
        RetryCounts(std::array::from_fn(|index| self.0[index].swap(0, Ordering::Relaxed)))
    }
}
