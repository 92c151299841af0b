//! Messages between replicas.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Entry, Index, Membership, Term, wire};

/// Maximum size of an encoded message; leaves room for an envelope in a 4 MiB frame.
pub const MAX_MESSAGE_BYTES: usize = (4 << 20) - 1024;

/// Maximum number of entries in one message; also limits what a decoder allocates.
pub(crate) const MAX_BATCH_ENTRIES: usize = 4096;

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogMessage {
    /// The sender's term; for [`MessageKind::PreVote`], the term in which it would be a candidate.
    /// A [`MessageKind::PreVoteReply`] that grants the vote repeats that term.
    pub term: Term,
    /// The message's kind and content.
    pub kind: MessageKind,
}

/// The kind and content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks whether the receiver would vote for the sender, without changing any term.
    PreVote {
        /// The index of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// The reply to [`MessageKind::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The index of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether the leader released its lease to transfer leadership to the sender.
        is_transfer: bool,
    },
    /// The reply to [`MessageKind::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries entries; without entries it is a heartbeat.
    Append {
        /// The index of the entry that precedes `entries`.
        prev_index: Index,
        /// The term of the entry at `prev_index`.
        prev_term: Term,
        /// The entries.
        #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_BATCH_ENTRIES>")]
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: Index,
        /// When the leader sent the message.
        stamp: LeaderStamp,
    },
    /// The reply to [`MessageKind::Append`] and to the last [`MessageKind::SnapshotChunk`].
    AppendReply {
        /// The stamp of the message that this is the reply to.
        stamp: LeaderStamp,
        /// Whether the receiver's log matches the leader's.
        result: AppendResult,
    },
    /// Carries a chunk of a snapshot.
    SnapshotChunk {
        /// The index of the last entry that the snapshot contains.
        index: Index,
        /// The term of that entry.
        snapshot_term: Term,
        /// The membership as of that entry.
        membership: Membership,
        /// The size of the whole snapshot's data.
        total_bytes: u64,
        /// The offset of the chunk in the snapshot's data.
        offset: u64,
        /// The chunk's data.
        #[serde(with = "wire::byte_string")]
        data: Bytes,
        /// When the leader sent the message.
        stamp: LeaderStamp,
    },
    /// The reply to each [`MessageKind::SnapshotChunk`] but the last.
    SnapshotReply {
        /// The stamp of the message that this is the reply to.
        stamp: LeaderStamp,
        /// The index of the last entry that the snapshot contains.
        index: Index,
        /// The offset at which the receiver expects the next chunk.
        next_offset: u64,
    },
    /// Tells the receiver to start an election at once.
    TimeoutNow,
    /// Rejects a message of an earlier term; the sender learns the current one.
    OldTerm,
    /// Tells a voter that the sender has restarted and knows no leader.
    Restarted {
        /// The index of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Requests a vote after a restart of all voters; the sender needs the votes of all of them.
    VoteAfterRestart {
        /// The index of the last entry in the sender's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
}

/// Identifies when a leader sent a message; the reply returns it unchanged.
///
/// Acknowledged stamps extend the leader's lease and confirm its reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaderStamp {
    /// The latest round of read confirmations that a reply to the message acknowledges.
    pub read_round: u64,
    /// The time on the leader's clock when the message was created.
    pub sent_ms: u64,
}

/// The result of an [`MessageKind::Append`] or of a completed snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The receiver has synced the leader's log up to this index.
    Matched {
        /// The index of the last synced entry that the message covers.
        index: Index,
    },
    /// The receiver's log has no entry at `prev_index`, or one of another term.
    Conflict {
        /// The `prev_index` of the rejected message.
        prev_index: Index,
        /// The term of the receiver's entry at `prev_index`, if it has that entry.
        term: Option<Term>,
        /// The receiver's first uncommitted index of that term, or the index after its last entry.
        first_index: Index,
    },
}

/// The error of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum MessageError {
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("the message has {size_bytes} bytes; the limit is {MAX_MESSAGE_BYTES}")]
    TooLarge {
        /// The size of the message.
        size_bytes: usize,
    },
    /// The bytes don't decode to a message.
    #[error("the message can't be decoded ({0}); check that both sides run the same version")]
    Malformed(Box<str>),
}

impl LogMessage {
    /// Encodes the message with postcard.
    ///
    /// # Errors
    ///
    /// Returns an error if the message exceeds [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_allocvec(self).map_err(malformed)?;
        check_size(&bytes)?;
        Ok(bytes)
    }

    /// Decodes a message from the whole of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` exceed [`MAX_MESSAGE_BYTES`], are malformed or continue after
    /// the message.
    pub fn decode(bytes: &[u8]) -> Result<LogMessage, MessageError> {
        check_size(bytes)?;
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
        if !rest.is_empty() {
            return Err(MessageError::Malformed("bytes follow the message".into()));
        }
        Ok(message)
    }
}

fn check_size(bytes: &[u8]) -> Result<(), MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLarge { size_bytes: bytes.len() });
    }
    Ok(())
}

fn malformed(error: postcard::Error) -> MessageError {
    MessageError::Malformed(error.to_string().into())
}
