//! Pending disk writes, and the messages that depend on them.

use std::{collections::VecDeque, sync::Arc};

use crate::{Index, OutgoingMessage, Snapshot, WriteId};

/// A snapshot that is being written.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotWrite {
    pub(crate) snapshot: Arc<Snapshot>,
    /// Whether the snapshot was received from the leader and replaces the log.
    pub(crate) is_from_leader: bool,
}

/// A write that the driver has taken but not reported as synced.
#[derive(Debug)]
struct Write {
    id: WriteId,
    /// The index of the last durable entry once the write is synced.
    last_index: Index,
    snapshot: Option<SnapshotWrite>,
}

/// Collects pending writes and delays the messages that depend on them.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    /// The first index that is not part of any started write.
    pub(crate) first_unwritten_index: Index,
    pub(crate) truncate_from: Option<Index>,
    pub(crate) is_hard_state_dirty: bool,
    pub(crate) snapshot: Option<SnapshotWrite>,
    /// The index of the last synced entry.
    pub(crate) durable_index: Index,
    last_started: WriteId,
    last_synced: WriteId,
    in_flight: VecDeque<Write>,
    delayed_messages: Vec<(WriteId, OutgoingMessage)>,
}

impl WriteQueue {
    pub(crate) fn new(durable_index: Index) -> WriteQueue {
        WriteQueue {
            first_unwritten_index: durable_index + 1,
            durable_index,
            ..WriteQueue::default()
        }
    }

    fn has_unwritten(&self, last_index: Index) -> bool {
        self.is_hard_state_dirty
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || last_index >= self.first_unwritten_index
    }

    /// Returns the id of the write after which all current state is synced.
    pub(crate) fn covering_write(&self, last_index: Index) -> WriteId {
        WriteId(self.last_started.0 + u64::from(self.has_unwritten(last_index)))
    }

    /// Delays `message` until `after_write` is synced.
    pub(crate) fn delay_message(&mut self, after_write: WriteId, message: OutgoingMessage) {
        self.delayed_messages.push((after_write, message));
    }

    /// Removes and returns the messages whose write is synced.
    pub(crate) fn take_messages(&mut self) -> Vec<OutgoingMessage> {
        let synced = self.last_synced;
        let (ready, delayed_messages) = std::mem::take(&mut self.delayed_messages)
            .into_iter()
            .partition(|(after_write, _)| *after_write <= synced);
        self.delayed_messages = delayed_messages;
        let ready: Vec<_> = ready;
        ready.into_iter().map(|(_, message)| message).collect()
    }

    /// Records that the entries from `first` on are removed from the log.
    pub(crate) fn truncate(&mut self, first: Index) {
        let last = first.saturating_sub(1);
        if first < self.first_unwritten_index {
            self.truncate_from =
                Some(self.truncate_from.map_or(first, |earlier| earlier.min(first)));
            self.first_unwritten_index = first;
        }
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(last);
        }
    }

    /// Starts a write of all pending state, with the entries up to `last_index`; returns `None` if
    /// there is nothing to write.
    pub(crate) fn start_write(&mut self, last_index: Index) -> Option<WriteId> {
        if !self.has_unwritten(last_index) {
            return None;
        }
        self.last_started.0 += 1;
        let id = self.last_started;
        self.in_flight.push_back(Write { id, last_index, snapshot: self.snapshot.take() });
        self.first_unwritten_index = last_index + 1;
        self.is_hard_state_dirty = false;
        self.truncate_from = None;
        Some(id)
    }

    /// Records that the writes up to `id` are synced; returns the latest snapshot among them.
    pub(crate) fn mark_synced(&mut self, id: WriteId) -> Option<SnapshotWrite> {
        let mut snapshot = None;
        while self.in_flight.front().is_some_and(|write| write.id <= id) {
            let Some(write) = self.in_flight.pop_front() else { break };
            self.durable_index = write.last_index;
            self.last_synced = write.id;
            snapshot = write.snapshot.or(snapshot);
        }
        snapshot
    }

    pub(crate) fn is_synced(&self, id: WriteId) -> bool {
        id <= self.last_synced
    }

    /// Returns whether a snapshot is not synced yet.
    pub(crate) fn has_pending_snapshot(&self) -> bool {
        self.snapshot.is_some() || self.in_flight.iter().any(|write| write.snapshot.is_some())
    }

    /// Drops all writes and messages; called once the replica can't rely on its disk any more.
    pub(crate) fn clear(&mut self) {
        *self = WriteQueue::new(self.durable_index);
    }
}
