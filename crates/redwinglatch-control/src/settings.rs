//! Settings of leases and limits of the state.

/// Durations of serving leases; every instance must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a serving lease is valid.
    pub lease_ms: u64,
    /// How often an instance renews.
    pub renew_interval_ms: u64,
    /// By how much a clock may run fast or slow, in thousandths.
    pub clock_drift_permille: u64,
    /// How long an order may be delayed in the network. A new coordinator is granted its cell
    /// this long after the former one has surely stopped.
    pub order_settle_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            lease_ms: 4_000,
            renew_interval_ms: 1_000,
            clock_drift_permille: 10,
            order_settle_ms: 2_000,
        }
    }
}

impl LeaseSettings {
    /// How long a holder counts a lease of `lease_ms` as valid, on its own clock.
    #[must_use]
    pub fn holder_lease_ms(&self, lease_ms: u64) -> u64 {
        lease_ms - lease_ms.saturating_mul(self.clock_drift_permille).div_ceil(1_000).min(lease_ms)
    }

    /// How long the leader counts a lease as possibly valid, on its own clock.
    ///
    /// One millisecond is added because both clocks are read in whole milliseconds.
    #[must_use]
    pub fn leader_lease_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms.saturating_mul(self.clock_drift_permille).div_ceil(1_000) + 1
    }
}

/// Limits of the control state; every replica must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateLimits {
    /// The number of contracts.
    pub contracts: usize,
    /// Past revisions kept for each customer.
    pub history_entries: usize,
    /// Bytes of past revisions kept for each customer.
    pub history_bytes: usize,
    /// Removed customers that are remembered for deltas and for `contract history`.
    pub removed_customers: usize,
    /// The bytes of one part of a configuration update; a frame holds 4 MiB, and a reply has other
    /// parts too.
    pub update_bytes: usize,
    /// The number of change ids.
    pub change_ids: usize,
    /// How long change ids are kept.
    pub change_id_keep_s: u64,
    /// The number of idempotency records.
    pub once_records: usize,
    /// The bytes of idempotency records.
    pub once_bytes: usize,
    /// How long idempotency records are kept.
    pub once_keep_s: u64,
    /// The bytes of a stored answer.
    pub body_bytes: usize,
    /// The bytes of an idempotency key or a change id.
    pub key_bytes: usize,
}

impl Default for StateLimits {
    fn default() -> StateLimits {
        StateLimits {
            contracts: 100_000,
            history_entries: 32,
            history_bytes: 32 * 1024,
            removed_customers: 1_000,
            update_bytes: 1024 * 1024,
            change_ids: 100_000,
            change_id_keep_s: 7 * 24 * 3_600,
            once_records: 1_000_000,
            once_bytes: 256 * 1024 * 1024,
            once_keep_s: 24 * 3_600,
            body_bytes: 64 * 1024,
            key_bytes: 256,
        }
    }
}
