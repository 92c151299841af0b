//! Taking, sending and receiving snapshots.

use std::sync::Arc;

use bytes::Bytes;
use redwinglatch_core::ReplicaId;

use crate::{
    AppendResult, Index, MessageKind, Replica, Snapshot, Stamp, Term, memory_log::MemoryLog,
    progress::SendState, write_queue::SnapshotWrite,
};

use super::follower::MAX_NUMBER;

/// A snapshot of which some chunks have arrived.
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
    stamp: Stamp,
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
    /// Whether the state machine should be saved by [`Replica::compact`].
    #[must_use]
    pub fn snapshot_due(&self) -> bool {
        let last = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        !self.queue.has_snapshot()
            && self.applied > last
            && (self.applied - last >= self.config.snapshot_interval_entries
                || self.applied_bytes_since_snapshot >= self.config.snapshot_interval_bytes)
    }

    /// Replaces the log up to `index` by `data`, the state machine's state after that entry.
    ///
    /// Returns whether the snapshot will be written; it isn't if `index` was not handed out to be
    /// applied yet or is covered by a snapshot.
    pub fn compact(&mut self, index: Index, data: impl Into<Bytes>) -> bool {
        let last = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(term) = self.log.term_at(index) else { return false };
        if index <= last || index > self.applied || self.queue.has_snapshot() {
            return false;
        }
        let membership = self.log.membership_at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, membership, data: data.into() });
        self.queue.snapshot = Some(SnapshotWrite { snapshot, installed: false });
        self.applied_bytes_since_snapshot = 0;
        true
    }

    pub(super) fn snapshot_synced(&mut self, written: SnapshotWrite) {
        let SnapshotWrite { snapshot, installed } = written;
        if installed {
            self.restore = Some(Arc::clone(&snapshot));
        } else {
            let kept_from = snapshot.index.saturating_sub(self.config.retained_entries);
            if kept_from > self.log.base_index() {
                self.log.compact(kept_from);
            }
        }
        self.snapshot = Some(snapshot);
    }

    /// Handles a chunk; `part` is the snapshot with only this chunk as its data.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        part: Snapshot,
        total_bytes: u64,
        offset: u64,
        stamp: Stamp,
    ) {
        let Snapshot { index, term, membership, data } = part;
        if self.log.term_at(index) == Some(term) {
            // The log contains the snapshot's last entry, so the log is right up to it.
            self.commit = self.commit.max(index);
        }
        if index <= self.commit {
            let result = AppendResult::Matched { index };
            self.send_after_sync(from, MessageKind::AppendReply { stamp, result });
            return;
        }
        if total_bytes > self.config.max_snapshot_bytes || index > MAX_NUMBER || term > self.term {
            log::error!("log: the snapshot of {total_bytes} bytes from replica {from} is refused");
            return;
        }
        let is_same = |incoming: &IncomingSnapshot| {
            (incoming.index, incoming.term, incoming.total_bytes) == (index, term, total_bytes)
        };
        if !self.incoming.as_ref().is_some_and(is_same) {
            self.incoming = Some(IncomingSnapshot { index, term, total_bytes, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        let received = incoming.data.len() as u64;
        if offset == received && received + data.len() as u64 <= total_bytes {
            incoming.data.extend_from_slice(&data);
        }
        let next_offset = incoming.data.len() as u64;
        if next_offset < total_bytes {
            self.send_after_sync(from, MessageKind::SnapshotReply { stamp, index, next_offset });
            return;
        }
        let data = std::mem::take(&mut incoming.data).into();
        self.incoming = None;
        self.install(Snapshot { index, term, membership, data });
        let result = AppendResult::Matched { index };
        self.send_after_sync(from, MessageKind::AppendReply { stamp, result });
    }

    /// Replaces the whole log by `snapshot`.
    fn install(&mut self, snapshot: Snapshot) {
        let Snapshot { index, term, .. } = snapshot;
        log::info!("log: replica {} installs the snapshot at {index}", self.config.id);
        self.queue.truncate(0);
        self.queue.unwritten_from = index + 1;
        self.log = MemoryLog::new(index, term, snapshot.membership.clone());
        self.commit = index;
        self.restore = None;
        self.queue.snapshot = Some(SnapshotWrite { snapshot: Arc::new(snapshot), installed: true });
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: ReplicaId,
        stamp: Stamp,
        index: Index,
        next_offset: u64,
    ) {
        let Some(progress) = self.acknowledged_progress(from, stamp) else { return };
        if let SendState::Snapshot { snapshot, offset, waiting } = &mut progress.state
            && snapshot.index == index
            && *offset != next_offset
            && next_offset <= snapshot.data.len() as u64
        {
            *offset = next_offset;
            *waiting = false;
        }
        self.confirm_reads();
    }
}
