//! Settings of the control log and the serving leases.

use crate::section::Section;

/// `[control]`: settings of the control log and the serving leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlSettings {
    /// Interval between renewals of an instance's serving lease.
    pub renew_interval_ms: u64,
    /// Duration of a serving lease.
    pub lease_ms: u64,
    /// Maximum drift between two clocks, in thousandths of the elapsed time.
    pub clock_drift_permille: u64,
    /// How long the leader may grant leases after an acknowledgement by a majority.
    pub leader_lease_ms: u64,
    /// Minimum time without a message from the leader after which a replica starts an election.
    pub election_timeout_ms: u64,
    /// A snapshot is taken after this many log entries.
    pub snapshot_entries: u64,
    /// A snapshot is taken after this many bytes of log.
    pub snapshot_bytes: u64,
}

impl ControlSettings {
    pub(crate) fn read(section: &mut Section) -> ControlSettings {
        ControlSettings {
            renew_interval_ms: section.number("renew_interval_ms", Some(1_000), 10..=60_000),
            lease_ms: section.number("lease_ms", Some(4_000), 20..=60_000),
            clock_drift_permille: section.number("clock_drift_permille", Some(10), 0..=10_000),
            leader_lease_ms: section.number("leader_lease_ms", Some(800), 10..=60_000),
            election_timeout_ms: section.number("election_timeout_ms", Some(1_000), 10..=60_000),
            snapshot_entries: section.number("snapshot_entries", Some(1_000), 1..=1_000_000),
            snapshot_bytes: section.number(
                "snapshot_bytes",
                Some(4_194_304),
                4_096..=1_073_741_824,
            ),
        }
    }

    /// Returns the duration of a lease as its holder counts it: shortened by the maximum drift.
    #[must_use]
    pub fn holder_lease_ms(&self) -> u64 {
        self.lease_ms - (self.lease_ms * self.clock_drift_permille.min(1_000)).div_ceil(1_000)
    }

    /// Returns the duration of a lease as the leader counts it: extended by the maximum drift.
    #[must_use]
    pub fn granter_lease_ms(&self) -> u64 {
        self.lease_ms + (self.lease_ms * self.clock_drift_permille).div_ceil(1_000)
    }
}
