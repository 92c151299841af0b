//! The messages that the task of a log replica takes.

use redwinglatch_control::{ControlCommand, Renewal};
use redwinglatch_core::prelude::*;
use redwinglatch_instances::ContractQuery;
use redwinglatch_log::{Index, LogMessage, ReplicaRole, Storage, StorageError, Term, WriteId};

/// Commits a command; the channel gets the outcome.
pub(crate) struct Propose(pub(crate) ControlCommand);

/// Renews a serving lease.
pub(crate) struct Renew(pub(crate) Renewal);

/// Reads contracts at the leader.
pub(crate) struct ReadContracts(pub(crate) ContractQuery);

/// Asks the leader whether there is a record of an idempotency key.
#[derive(Clone)]
pub(crate) struct FindKey {
    pub(crate) customer: Box<str>,
    pub(crate) key: Box<str>,
}

/// A message of another replica.
pub(crate) struct Step {
    pub(crate) from: ReplicaId,
    pub(crate) to: ReplicaId,
    pub(crate) message: LogMessage,
}

/// Hands leadership to another replica before a planned stop.
pub(crate) struct TransferLeadership;

/// Reads what the operators' status shows.
pub(crate) struct ReadControlStatus;

/// The state of the log replica.
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

pub(super) struct Tick;

pub(super) struct Written {
    pub(super) storage: Storage,
    pub(super) write: WriteId,
    pub(super) result: Result<(), StorageError>,
}
