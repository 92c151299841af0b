//! Entries of the log and the snapshot that replaces a prefix of it.

use std::sync::Arc;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{Membership, wire};

/// The position of an entry in the log, counted from 1; 0 is the position before the first entry.
pub type Index = u64;

/// The number of an election; there is at most one leader in each term.
pub type Term = u64;

/// The largest data of one entry.
///
/// A batch always has room for one entry of this size within a 4 MiB frame.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's position.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// What the entry holds.
    pub kind: EntryKind,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// Nothing; a new leader appends it to commit the entries of earlier terms.
    Empty,
    /// An opaque command for the state machine.
    Data(#[serde(with = "wire::byte_string")] Bytes),
    /// The members that count from this entry on.
    Membership(Membership),
}

impl Entry {
    /// The entry's approximate size in memory and in a message.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.kind.size_bytes()
    }
}

impl EntryKind {
    /// The approximate size of an entry of this kind.
    pub(crate) fn size_bytes(&self) -> usize {
        /// Covers the varints of index, term, kind and length.
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
    /// The newest term that the replica has seen.
    pub term: Term,
    /// The candidate that got the replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine's state after the entry at `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot contains.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub membership: Membership,
    /// The state machine's state in its own encoding.
    pub data: Bytes,
}

/// What a replica finds on its disk when it starts.
#[derive(Debug, Clone, Default)]
pub struct DurableState {
    /// The last hard state.
    pub hard_state: HardState,
    /// The last snapshot, which the driver restores its state machine from.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
