//! Settings of a replica.

use redwinglatch_core::ReplicaId;
use thiserror::Error;

use crate::{MAX_ENTRY_BYTES, MAX_MESSAGE_BYTES, Membership, message::MAX_BATCH_ENTRIES};

/// Settings of a replica; [`ReplicaConfig::new`] fills in the defaults.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    /// The replica's id. A replica that lost its disk gets a new one.
    pub id: ReplicaId,
    /// The membership of a log that has no entry yet.
    ///
    /// It must be the same on all initial replicas and empty on a replica that joins later. The
    /// first leader writes it to the log; from then on the membership is taken from the log only.
    pub initial_membership: Membership,
    /// The interval at which a leader sends a message to each replica.
    pub heartbeat_interval_ms: u64,
    /// The minimum time without contact to a leader before a replica starts an election. The actual
    /// timeout is random, between this value and twice this value.
    pub election_timeout_ms: u64,
    /// How long an acknowledged message extends the leader's lease, counted from its send time.
    pub leader_lease_ms: u64,
    /// The maximum relative error of any replica's clock, in thousandths.
    pub clock_drift_permille: u64,
    /// The maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// The maximum size of the entries in one message, unless a single entry is larger.
    pub max_batch_bytes: usize,
    /// The maximum number of messages with entries in flight to one replica.
    pub max_in_flight_messages: usize,
    /// The maximum size of proposed entries that are not committed yet.
    pub max_uncommitted_bytes: usize,
    /// The size of the chunks in which a snapshot is sent.
    pub snapshot_chunk_bytes: usize,
    /// The maximum size of a snapshot that is accepted from a leader.
    pub max_snapshot_bytes: u64,
    /// A snapshot is due after this many applied entries.
    pub snapshot_interval_entries: u64,
    /// A snapshot is due after this many bytes of applied entries.
    pub snapshot_interval_bytes: u64,
    /// The number of entries before the snapshot that stay in memory, so that replicas that lag a
    /// little don't need the snapshot.
    pub retained_entries: u64,
}

/// The reason why settings are rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The lease could outlast the time in which voters reject other candidates.
    #[error(
        "leader_lease_ms {leader_lease_ms} must be below election_timeout_ms \
         {election_timeout_ms} with {clock_drift_permille} permille of clock drift on both sides"
    )]
    LeaseTooLong {
        /// The configured lease.
        leader_lease_ms: u64,
        /// The configured election timeout.
        election_timeout_ms: u64,
        /// The configured clock drift.
        clock_drift_permille: u64,
    },
    /// A value is outside its range.
    #[error("{name} must be between {min} and {max}")]
    OutOfRange {
        /// The name of the setting.
        name: &'static str,
        /// The smallest valid value.
        min: u64,
        /// The largest valid value.
        max: u64,
    },
}

impl ReplicaConfig {
    /// Returns settings for replica `id` with the default times and sizes.
    #[must_use]
    pub fn new(id: ReplicaId, initial_membership: Membership) -> ReplicaConfig {
        ReplicaConfig {
            id,
            initial_membership,
            heartbeat_interval_ms: 100,
            election_timeout_ms: 800,
            leader_lease_ms: 600,
            clock_drift_permille: 10,
            max_batch_entries: 1024,
            max_batch_bytes: 512 << 10,
            max_in_flight_messages: 8,
            max_uncommitted_bytes: 16 << 20,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 512 << 20,
            snapshot_interval_entries: 1000,
            snapshot_interval_bytes: 4 << 20,
            retained_entries: 1000,
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is out of range or would make the lease unsafe.
    pub fn check(&self) -> Result<(), ConfigError> {
        let day_ms = 24 * 60 * 60 * 1000;
        let ranges = [
            ("election_timeout_ms", self.election_timeout_ms, 10, day_ms),
            ("clock_drift_permille", self.clock_drift_permille, 0, 500),
            ("heartbeat_interval_ms", self.heartbeat_interval_ms, 1, self.election_timeout_ms / 2),
            ("max_batch_entries", self.max_batch_entries as u64, 1, MAX_BATCH_ENTRIES as u64),
            (
                "max_batch_bytes",
                self.max_batch_bytes as u64,
                1,
                (MAX_MESSAGE_BYTES - MAX_ENTRY_BYTES) as u64 / 2,
            ),
            ("max_in_flight_messages", self.max_in_flight_messages as u64, 1, 1024),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes as u64, 1, MAX_ENTRY_BYTES as u64),
        ];
        for (name, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(ConfigError::OutOfRange { name, min, max });
            }
        }
        // The leader's clock may be slow and the voter's fast: in real time the lease lasts up to
        // lease / (1 - drift), and the voter rejects candidates for at least
        // timeout / (1 + drift). Both clocks count whole milliseconds, so each interval may be off
        // by one.
        let drift = self.clock_drift_permille;
        let longest_lease = self.leader_lease_ms.saturating_add(1).saturating_mul(1000 + drift);
        if longest_lease >= (self.election_timeout_ms - 1) * (1000 - drift) {
            return Err(ConfigError::LeaseTooLong {
                leader_lease_ms: self.leader_lease_ms,
                election_timeout_ms: self.election_timeout_ms,
                clock_drift_permille: drift,
            });
        }
        Ok(())
    }
}
