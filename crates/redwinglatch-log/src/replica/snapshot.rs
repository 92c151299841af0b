//! Creating, sending and receiving snapshots.

use std::sync::Arc;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;

use crate::{
    AppendResult, Index, LeaderStamp, MessageKind, Replica, Snapshot, Term, memory_log::MemoryLog,
    progress::SendState, write_queue::SnapshotWrite,
};

use super::follower::MAX_INDEX_OR_TERM;

/// A snapshot that is being received in chunks.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: Index,
    term: Term,
    total_bytes: u64,
    data: Vec<u8>,
}

pub(super) fn chunk_message(
    snapshot: &Snapshot,
    offset: u64,
    chunk_bytes: usize,
    stamp: LeaderStamp,
) -> MessageKind {
    let len = snapshot.data.len();
    let start = usize::try_from(offset).unwrap_or(len).min(len);
    let end = len.min(start + chunk_bytes);
    MessageKind::SnapshotChunk {
        index: snapshot.index,
        snapshot_term: snapshot.term,
        membership: snapshot.membership.clone(),
        total_bytes: len as u64,
        offset: start as u64,
        data: snapshot.data.slice(start..end),
        stamp,
    }
}

impl Replica {
    /// Returns whether the driver should pass a snapshot to [`Replica::compact`].
    #[must_use]
    pub fn snapshot_due(&self) -> bool {
        let last_snapshot_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        !self.write_queue.has_pending_snapshot()
            && self.applied_index > last_snapshot_index
            && (self.applied_index - last_snapshot_index >= self.config.snapshot_interval_entries
                || self.applied_bytes_since_snapshot >= self.config.snapshot_interval_bytes)
    }

    /// Replaces the log up to `index` by a snapshot; `data` is the state machine's state after that
    /// entry.
    ///
    /// Returns whether the snapshot will be written; it isn't if `index` has not been returned to
    /// be applied yet, if a snapshot covers it, or while another snapshot is being written.
    pub fn compact(&mut self, index: Index, data: impl Into<Bytes>) -> bool {
        let last_snapshot_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(term) = self.log.term_at(index) else { return false };
        if index <= last_snapshot_index
            || index > self.applied_index
            || self.write_queue.has_pending_snapshot()
        {
            return false;
        }
        let membership = self.log.membership_at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, membership, data: data.into() });
        self.write_queue.snapshot = Some(SnapshotWrite { snapshot, is_from_leader: false });
        self.applied_bytes_since_snapshot = 0;
        true
    }

    pub(super) fn snapshot_synced(&mut self, snapshot_write: SnapshotWrite) {
        let SnapshotWrite { snapshot, is_from_leader } = snapshot_write;
        if is_from_leader {
            self.restore = Some(Arc::clone(&snapshot));
        } else {
            let new_base_index = snapshot.index.saturating_sub(self.config.retained_entries);
            if new_base_index > self.log.base_index() {
                self.log.compact(new_base_index);
            }
        }
        self.snapshot = Some(snapshot);
    }

    /// Handles a chunk; `chunk` is the snapshot with only the chunk's data.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        total_bytes: u64,
        offset: u64,
        stamp: LeaderStamp,
    ) {
        let Snapshot { index, term, membership, data } = chunk;
        if self.log.term_at(index) == Some(term) {
            // The log contains the snapshot's last entry, so it matches the leader's up to there.
            self.commit_index = self.commit_index.max(index);
        }
        if index <= self.commit_index {
            let result = AppendResult::Matched { index };
            self.send_after_sync(from, MessageKind::AppendReply { stamp, result });
            return;
        }
        if total_bytes > self.config.max_snapshot_bytes
            || index > MAX_INDEX_OR_TERM
            || term > self.term
        {
            log::error!("log: rejects the snapshot of {total_bytes} bytes from replica {from}");
            return;
        }
        let is_same_snapshot = |incoming_snapshot: &IncomingSnapshot| {
            (incoming_snapshot.index, incoming_snapshot.term, incoming_snapshot.total_bytes)
                == (index, term, total_bytes)
        };
        if !self.incoming_snapshot.as_ref().is_some_and(is_same_snapshot) {
            self.incoming_snapshot =
                Some(IncomingSnapshot { index, term, total_bytes, data: Vec::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else { return };
        let received = incoming_snapshot.data.len() as u64;
        if offset == received && received + data.len() as u64 <= total_bytes {
            incoming_snapshot.data.extend_from_slice(&data);
        }
        let next_offset = incoming_snapshot.data.len() as u64;
        if next_offset < total_bytes {
            self.send_after_sync(from, MessageKind::SnapshotReply { stamp, index, next_offset });
            return;
        }
        let data = std::mem::take(&mut incoming_snapshot.data).into();
        self.incoming_snapshot = None;
        self.install(Snapshot { index, term, membership, data });
        let result = AppendResult::Matched { index };
        self.send_after_sync(from, MessageKind::AppendReply { stamp, result });
    }

    /// Replaces the whole log by `snapshot`.
    fn install(&mut self, snapshot: Snapshot) {
        let Snapshot { index, term, .. } = snapshot;
        log::info!("log: replica {} installs the snapshot at index {index}", self.config.id);
        self.write_queue.truncate(0);
        self.write_queue.first_unwritten_index = index + 1;
        self.log = MemoryLog::new(index, term, snapshot.membership.clone());
        self.commit_index = index;
        self.restore = None;
        self.write_queue.snapshot =
            Some(SnapshotWrite { snapshot: Arc::new(snapshot), is_from_leader: true });
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: ReplicaId,
        stamp: LeaderStamp,
        index: Index,
        next_offset: u64,
    ) {
        let Some(progress) = self.acknowledged_progress(from, stamp) else { return };
        if let SendState::Snapshot { snapshot, offset, is_awaiting_reply } = &mut progress.state
            && snapshot.index == index
            && *offset != next_offset
            && next_offset <= snapshot.data.len() as u64
        {
            *offset = next_offset;
            *is_awaiting_reply = false;
        }
        self.confirm_reads();
    }
}
