//! What waits for the disk.

use std::{collections::VecDeque, sync::Arc};

use crate::{Index, Outgoing, Snapshot, WriteId};

/// A snapshot that is being written.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotWrite {
    pub(crate) snapshot: Arc<Snapshot>,
    /// Whether the snapshot came from the leader and replaces the log.
    pub(crate) installed: bool,
}

#[derive(Debug)]
struct Write {
    id: WriteId,
    /// The log's last index once the write is synced.
    last_index: Index,
    snapshot: Option<SnapshotWrite>,
}

/// Collects what is to be written and holds back the messages that depend on it.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    /// The first index that no write contains yet.
    pub(crate) unwritten_from: Index,
    pub(crate) truncate: Option<Index>,
    pub(crate) hard_state: bool,
    pub(crate) snapshot: Option<SnapshotWrite>,
    /// The last index that is synced.
    pub(crate) durable_index: Index,
    last_taken: WriteId,
    last_synced: WriteId,
    in_flight: VecDeque<Write>,
    held: Vec<(WriteId, Outgoing)>,
}

impl WriteQueue {
    pub(crate) fn new(durable_index: Index) -> WriteQueue {
        WriteQueue { unwritten_from: durable_index + 1, durable_index, ..WriteQueue::default() }
    }

    fn has_unwritten(&self, last_index: Index) -> bool {
        self.hard_state
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || last_index >= self.unwritten_from
    }

    /// The write after which everything known now is synced.
    pub(crate) fn covering_write(&self, last_index: Index) -> WriteId {
        WriteId(self.last_taken.0 + u64::from(self.has_unwritten(last_index)))
    }

    /// Holds `message` back until `after` is synced.
    pub(crate) fn hold(&mut self, after: WriteId, message: Outgoing) {
        self.held.push((after, message));
    }

    /// Removes the messages whose write is synced.
    pub(crate) fn take_messages(&mut self) -> Vec<Outgoing> {
        let synced = self.last_synced;
        let (ready, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(after, _)| *after <= synced);
        self.held = held;
        let ready: Vec<_> = ready;
        ready.into_iter().map(|(_, message)| message).collect()
    }

    /// Records that the entries from `first` on leave the log.
    pub(crate) fn truncate(&mut self, first: Index) {
        let last = first.saturating_sub(1);
        if first < self.unwritten_from {
            self.truncate = Some(self.truncate.map_or(first, |earlier| earlier.min(first)));
            self.unwritten_from = first;
        }
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(last);
        }
    }

    /// Starts a write of everything up to `last_index`.
    pub(crate) fn start_write(&mut self, last_index: Index) -> Option<WriteId> {
        if !self.has_unwritten(last_index) {
            return None;
        }
        self.last_taken.0 += 1;
        let id = self.last_taken;
        self.in_flight.push_back(Write { id, last_index, snapshot: self.snapshot.take() });
        self.unwritten_from = last_index + 1;
        self.hard_state = false;
        self.truncate = None;
        Some(id)
    }

    /// Records that the writes up to `id` are synced; returns the newest snapshot among them.
    pub(crate) fn synced(&mut self, id: WriteId) -> Option<SnapshotWrite> {
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

    /// Whether a snapshot waits to be written or synced.
    pub(crate) fn has_snapshot(&self) -> bool {
        self.snapshot.is_some() || self.in_flight.iter().any(|write| write.snapshot.is_some())
    }

    /// Drops everything, for a replica that may no longer trust its disk.
    pub(crate) fn clear(&mut self) {
        *self = WriteQueue::new(self.durable_index);
    }
}
