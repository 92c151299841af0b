//! The actions that a replica requests from its driver.

use std::sync::Arc;

use redwinglatch_core::ReplicaId;
use thiserror::Error;

use crate::{Entry, HardState, Index, LogMessage, Snapshot};

/// Identifies a write to the storage; ids increase within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WriteId(pub u64);

/// Identifies a read confirmation; ids increase within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// The actions that the driver performs next, in the order of the fields.
///
/// [`Storage::save`](crate::Storage::save) performs the writes: `hard_state`, `snapshot`,
/// `truncate_from` and `append`.
#[derive(Debug, Default)]
#[must_use]
pub struct Effects {
    /// The id of the write; pass it to [`Replica::persisted`](crate::Replica::persisted) after the
    /// sync. `None` if there is nothing to write.
    pub write: Option<WriteId>,
    /// The hard state to write.
    pub hard_state: Option<HardState>,
    /// The snapshot to write.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The index from which on entries are removed from the log.
    pub truncate_from: Option<Index>,
    /// The entries to append after the removal.
    pub append: Vec<Entry>,
    /// The messages to send; none of them depends on a write that is not synced yet.
    pub messages: Vec<OutgoingMessage>,
    /// A snapshot from the leader that replaces the state machine's state.
    pub restore: Option<Arc<Snapshot>>,
    /// The committed entries to apply after `restore`.
    pub committed: Vec<Entry>,
    /// Finished read confirmations.
    pub reads: Vec<ReadOutcome>,
}

impl Effects {
    /// Returns whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.write.is_none()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }
}

/// A message to another replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiving replica.
    pub to: ReplicaId,
    /// The message.
    pub message: LogMessage,
}

/// The result of a read confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The read confirmation that has finished.
    pub id: ReadId,
    /// The index that the state machine must have applied before it serves the read; `None` if the
    /// replica lost its leadership.
    pub index: Option<Index>,
}

/// The error of a request to a replica that is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the replica is not the leader; {}", .leader.map_or_else(|| "retry later".to_owned(), |leader| format!("send the request to replica {leader}")))]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
}

/// The reason why a proposal was rejected; it was not appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ProposeError {
    /// The replica is not the leader.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The data exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    #[error("the entry has {size_bytes} bytes; the limit is {}", crate::MAX_ENTRY_BYTES)]
    TooLarge {
        /// The size of the data.
        size_bytes: usize,
    },
    /// The uncommitted entries exceed
    /// [`ReplicaConfig::max_uncommitted_bytes`](crate::ReplicaConfig::max_uncommitted_bytes).
    #[error("too many entries are not committed yet; retry later")]
    TooManyUncommitted,
}

/// The reason why a leadership transfer was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum TransferError {
    /// The replica is not the leader.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// No other voter is in contact with the leader, or the requested target is not among them.
    #[error("no other voter that could become the leader is reachable; restore contact first")]
    NoTarget,
    /// Another transfer is in progress.
    #[error("a leadership transfer to replica {0} is already in progress")]
    InProgress(ReplicaId),
}
