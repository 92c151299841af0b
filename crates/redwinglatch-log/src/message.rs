//! Messages between replicas.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Entry, Index, Membership, Term, wire};

/// The largest encoded message; it leaves room for an envelope in a 4 MiB frame.
pub const MAX_MESSAGE_BYTES: usize = (4 << 20) - 1024;

/// The most entries in one message; also bounds what a decoder allocates.
pub(crate) const MAX_BATCH_ENTRIES: usize = 4096;

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogMessage {
    /// The sender's term; for [`MessageKind::PreVote`] the term that it would stand for.
    pub term: Term,
    /// What the message says.
    pub kind: MessageKind,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks whether the sender would win an election, without changing any term.
    PreVote {
        /// The sender's last index.
        last_index: Index,
        /// The sender's last term.
        last_term: Term,
    },
    /// Answers [`MessageKind::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's last index.
        last_index: Index,
        /// The sender's last term.
        last_term: Term,
        /// Whether the leader gave up its lease for the sender.
        transfer: bool,
    },
    /// Answers [`MessageKind::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends entries, or none as a heartbeat.
    Append {
        /// The index before the first entry.
        prev_index: Index,
        /// The term at `prev_index`.
        prev_term: Term,
        /// The entries.
        #[serde(deserialize_with = "wire::bounded_list::<_, _, MAX_BATCH_ENTRIES>")]
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// When the leader sent the message.
        stamp: Stamp,
    },
    /// Answers [`MessageKind::Append`] and the last [`MessageKind::SnapshotChunk`].
    AppendReply {
        /// The stamp of the answered message.
        stamp: Stamp,
        /// Whether the entries fit.
        result: AppendResult,
    },
    /// Sends a part of a snapshot.
    SnapshotChunk {
        /// The snapshot's index.
        index: Index,
        /// The snapshot's term.
        snapshot_term: Term,
        /// The members at the snapshot.
        membership: Membership,
        /// The size of the whole data.
        total_bytes: u64,
        /// Where the chunk begins.
        offset: u64,
        /// The chunk.
        #[serde(with = "wire::byte_string")]
        data: Bytes,
        /// When the leader sent the message.
        stamp: Stamp,
    },
    /// Answers [`MessageKind::SnapshotChunk`].
    SnapshotReply {
        /// The stamp of the answered message.
        stamp: Stamp,
        /// The snapshot's index.
        index: Index,
        /// Where the next chunk begins.
        next_offset: u64,
    },
    /// Tells the receiver to stand for election at once.
    TimeoutNow,
    /// Refuses a message of an old term.
    OldTerm,
}

/// When a leader sent a message; receivers return it unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// The newest read confirmation that the message serves.
    pub round: u64,
    /// The leader's clock when the message was made.
    pub sent_ms: u64,
}

/// Whether the entries of an [`MessageKind::Append`] fit the receiver's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The receiver has synced the leader's log up to this index.
    Matched {
        /// The last synced index that the message covered.
        index: Index,
    },
    /// The receiver's log differs at `prev_index`.
    Conflict {
        /// The `prev_index` of the refused message.
        prev_index: Index,
        /// The receiver's term at `prev_index`, if it has that entry.
        term: Option<Term>,
        /// The first index of that term, or the index after the receiver's last entry.
        first_index: Index,
    },
}

/// Why bytes are no message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum MessageError {
    /// The bytes exceed [`MAX_MESSAGE_BYTES`].
    #[error("the message has {size_bytes} bytes of at most {MAX_MESSAGE_BYTES}")]
    TooLarge {
        /// The size.
        size_bytes: usize,
    },
    /// The bytes are not an encoded message.
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

    /// Decodes a message that fills `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` are too many, malformed or have a rest.
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
