//! Log entries, and the snapshot that replaces a prefix of the log.

use std::sync::Arc;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{Membership, wire};

/// The index of an entry in the log, starting at 1; 0 is the position before the first entry.
pub type Index = u64;

/// A Raft term, which starts with an election and has at most one leader.
pub type Term = u64;

/// Maximum size of the data of one entry.
///
/// A batch always has room for one entry of this size within a 4 MiB frame.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's index.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's kind and content.
    pub kind: EntryKind,
}

/// The kind and content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// No content; a new leader appends such an entry to commit the entries of earlier terms.
    Empty,
    /// An opaque command for the state machine.
    Data(#[serde(with = "wire::byte_string")] Bytes),
    /// The membership that is in effect from this entry on.
    Membership(Membership),
}

impl Entry {
    /// Returns the entry's approximate size in memory and in a message.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.kind.size_bytes()
    }
}

impl EntryKind {
    /// Returns the approximate size of an entry of this kind.
    pub(crate) fn size_bytes(&self) -> usize {
        /// Upper bound for the varints of index, term, kind and length.
        const OVERHEAD_BYTES: usize = 32;
        let data_bytes = match self {
            EntryKind::Empty => 0,
            EntryKind::Data(data) => data.len(),
            EntryKind::Membership(membership) => membership.size_bytes(),
        };
        OVERHEAD_BYTES + data_bytes
    }
}

/// The part of a replica's state, besides the log, that must survive a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that the replica has seen.
    pub term: Term,
    /// The candidate that the replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A snapshot of the state machine after the entry at `index` was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot contains.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub membership: Membership,
    /// The state machine's state in its own encoding.
    pub data: Bytes,
}

/// The state that a replica reads from its disk when it starts.
#[derive(Debug, Clone, Default)]
pub struct DurableState {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot, from which the driver restores its state machine.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
