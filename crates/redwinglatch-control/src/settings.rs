//! Settings of leases and limits of the state.

/// Durations of serving leases; every instance must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Validity of a serving lease.
    pub lease_ms: u64,
    /// Interval between an instance's renewals.
    pub renew_interval_ms: u64,
    /// Maximum rate by which a clock may run fast or slow, in thousandths.
    pub clock_drift_permille: u64,
    /// Maximum network delay of an order. A new coordinator is granted its cell only this long
    /// after the former one has certainly stopped.
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
    /// Returns the time for which a holder considers a lease of `lease_ms` valid, on its own clock.
    #[must_use]
    pub fn holder_lease_ms(&self, lease_ms: u64) -> u64 {
        lease_ms - lease_ms.saturating_mul(self.clock_drift_permille).div_ceil(1_000).min(lease_ms)
    }

    /// Returns the time for which the leader considers a lease possibly valid, on its own clock.
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
    /// Maximum number of contracts.
    pub contracts: usize,
    /// Maximum number of revisions kept for each customer.
    pub history_entries: usize,
    /// Maximum size of the revisions kept for each customer; the latest revision is always kept.
    pub history_bytes: usize,
    /// Maximum number of removed customers kept for deltas and for `contract history`.
    pub removed_customers: usize,
    /// Size above which a configuration update continues in another part. A frame holds at most 4
    /// MiB, and a reply has other fields too.
    pub update_bytes: usize,
    /// Maximum number of change ids.
    pub change_ids: usize,
    /// Retention of change ids.
    pub change_id_keep_s: u64,
    /// Maximum number of idempotency records.
    pub once_records: usize,
    /// Maximum estimated memory of the idempotency records.
    pub once_bytes: usize,
    /// Retention of idempotency records.
    pub once_keep_s: u64,
    /// Maximum size of a stored response body.
    pub body_bytes: usize,
    /// Maximum length of an idempotency key or a change id.
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
