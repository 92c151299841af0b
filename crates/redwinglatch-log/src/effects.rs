//! What a replica asks its driver to do.

use std::sync::Arc;

use redwinglatch_core::ReplicaId;
use thiserror::Error;

use crate::{Entry, HardState, Index, LogMessage, Snapshot};

/// Numbers the writes of one replica process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WriteId(pub u64);

/// Numbers the read confirmations of one replica process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// What the driver does next, in the order of the fields.
///
/// [`Storage::save`](crate::Storage::save) performs the first four.
#[derive(Debug, Default)]
#[must_use]
pub struct Effects {
    /// Names the write; pass it to [`Replica::persisted`](crate::Replica::persisted) after the
    /// sync. `None` if nothing is to be written.
    pub write: Option<WriteId>,
    /// The hard state to write.
    pub hard_state: Option<HardState>,
    /// The snapshot to write.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The first index to remove from the log.
    pub truncate: Option<Index>,
    /// The entries to append after that.
    pub append: Vec<Entry>,
    /// The messages to send; none of them depends on a write that is not synced yet.
    pub messages: Vec<Outgoing>,
    /// A snapshot from the leader that replaces the state machine's state.
    pub restore: Option<Arc<Snapshot>>,
    /// The entries to apply after that.
    pub committed: Vec<Entry>,
    /// Finished read confirmations.
    pub reads: Vec<ReadOutcome>,
}

impl Effects {
    /// Whether there is nothing to do.
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
pub struct Outgoing {
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: LogMessage,
}

/// The end of a read confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The confirmation.
    pub id: ReadId,
    /// The state machine may answer once it has applied this index; `None` if the replica lost
    /// its leadership.
    pub index: Option<Index>,
}

/// The replica doesn't lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the replica doesn't lead; ask {}", .leader.map_or_else(|| "again later".to_owned(), |leader| format!("replica {leader}")))]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
}

/// Why a proposal was refused; it was not appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ProposeError {
    /// The replica doesn't lead.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The data exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    #[error("the entry has {size_bytes} bytes of at most {}", crate::MAX_ENTRY_BYTES)]
    TooLarge {
        /// The size.
        size_bytes: usize,
    },
    /// Too many bytes wait to be committed.
    #[error("too many entries wait to be committed; propose again later")]
    Busy,
}

/// Why a leadership transfer was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum TransferError {
    /// The replica doesn't lead.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// No voter besides the leader is in contact, or the named replica is none.
    #[error("no other voter is in contact to take over; restore contact first")]
    NoTarget,
    /// A transfer is under way.
    #[error("a transfer to replica {0} is under way")]
    InProgress(ReplicaId),
}
