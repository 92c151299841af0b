//! Messages to the task of a log replica.

use redwinglatch_control::{ControlCommand, Renewal};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::ContractQuery;
use redwinglatch_log::{Index, LogMessage, ReplicaRole, Storage, StorageError, Term, WriteId};

/// Proposes a command; the returned channel receives the outcome.
pub(crate) struct Propose(pub(crate) ControlCommand);

/// Renews a serving lease.
pub(crate) struct Renew(pub(crate) Renewal);

/// Reads contracts at the leader.
pub(crate) struct ReadContracts(pub(crate) ContractQuery);

/// Reads at the leader whether an idempotency key has a record.
#[derive(Clone)]
pub(crate) struct FindIdempotencyKey {
    pub(crate) customer: Box<str>,
    pub(crate) key: Box<str>,
}

/// Passes a message from another replica to the log replica.
pub(crate) struct StepReplica {
    pub(crate) from: ReplicaId,
    pub(crate) to: ReplicaId,
    pub(crate) message: LogMessage,
}

/// Transfers leadership to another replica before a planned stop.
pub(crate) struct TransferLeadership;

/// Reads [`ControlStatus`].
pub(crate) struct ReadControlStatus;

/// The status of the log replica, as shown to operators.
pub(crate) struct ControlStatus {
    pub(crate) replica: ReplicaId,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<InstanceId>,
    pub(crate) term: Term,
    pub(crate) commit_index: Index,
    pub(crate) last_index: Index,
    pub(crate) voters: Vec<ReplicaId>,
    pub(crate) learners: Vec<ReplicaId>,
}

/// Periodic wake-up for elections, heartbeats, leases and the leader's own proposals.
pub(super) struct Tick;

/// The outcome of a write to the log's storage.
pub(super) struct LogWritten {
    pub(super) storage: Storage,
    pub(super) write: WriteId,
    pub(super) result: Result<(), StorageError>,
}
