//! Opens the folder of a replica and reads its content.

use std::{path::PathBuf, sync::Arc};

use bytes::Bytes;
use redwinglatch_core::ReplicaId;
use serde::de::DeserializeOwned;

use crate::{DurableState, Entry, HardState, Index, Snapshot, StorageError};

use super::{
    DEFAULT_SEGMENT_BYTES, FileOps, HARD_STATE_FILE, IDENTITY_FILE, RecordError, SEGMENT_PREFIX,
    SNAPSHOT_PREFIX, Segment, SnapshotHead, Storage, TEMPORARY_SUFFIX, checked_file, record,
};

pub(super) fn open(
    dir: PathBuf,
    replica: ReplicaId,
    file_ops: FileOps,
) -> Result<(Storage, DurableState), StorageError> {
    let io_error = |operation, path: &PathBuf| {
        let path = path.clone();
        move |source| StorageError::Io { operation, path, source }
    };
    (file_ops.create_dir)(&dir).map_err(io_error("create", &dir))?;
    let lock = (file_ops.lock_dir)(&dir).map_err(io_error("lock", &dir))?;
    let Some(lock) = lock else { return Err(StorageError::InUse { dir }) };
    let mut names = (file_ops.list)(&dir).map_err(io_error("list", &dir))?;
    names.sort_unstable();
    let mut storage = Storage {
        dir,
        file_ops,
        segment_bytes: DEFAULT_SEGMENT_BYTES,
        segments: Vec::new(),
        active_file: None,
        has_unsynced_writes: false,
        next_index: 1,
        poisoned: None,
        _lock: lock,
    };
    // The files may hold writes that the last process didn't sync before it was killed. They are synced before they are
    // used, because a power loss could undo them after the replica has answered.
    storage.sync_dir()?;
    let hard_state = storage.read_or_create_identity(replica, &names)?;
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        storage.remove_file(storage.dir.join(name))?;
    }
    names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
    let snapshot = storage.read_newest_snapshot(&names)?;
    let entries = storage.read_segments(&names)?;
    let entries = storage.retain_after_snapshot(entries, snapshot.as_deref())?;
    storage.sync_last_segment()?;
    Ok((storage, DurableState { hard_state, snapshot, entries }))
}

impl Storage {
    /// Checks that the folder belongs to `replica`, or initialises an empty one; returns the hard
    /// state.
    fn read_or_create_identity(
        &mut self,
        replica: ReplicaId,
        names: &[String],
    ) -> Result<HardState, StorageError> {
        let has_file = |wanted: &str| names.iter().any(|name| name == wanted);
        if !has_file(IDENTITY_FILE) {
            let is_log = |name: &&String| {
                name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX)
            };
            if let Some(name) = names.iter().find(is_log) {
                return Err(self.damaged(name, 0, "the folder has a log but no identity file"));
            }
            // If the parent isn't synced, a power loss could remove the new folder with the votes
            // in it.
            if let Some(parent) = self.dir.parent() {
                let parent = parent.to_owned();
                let result = (self.file_ops.sync_dir)(&parent);
                self.check_sync(&parent, result)?;
            }
            // The identity file is written last, so that a folder with one always has a hard state.
            self.write_hard_state(&HardState::default())?;
            self.replace_file(IDENTITY_FILE, &replica, &[])?;
            return Ok(HardState::default());
        }
        let (found, _): (ReplicaId, _) = self.read_checked_file(IDENTITY_FILE)?;
        if found != replica {
            return Err(StorageError::OtherReplica {
                dir: self.dir.clone(),
                found,
                expected: replica,
            });
        }
        if !has_file(HARD_STATE_FILE) {
            // Without the hard state, the replica could vote twice in one term.
            return Err(self.damaged(HARD_STATE_FILE, 0, "the file is missing"));
        }
        Ok(self.read_checked_file(HARD_STATE_FILE)?.0)
    }

    fn damaged(&self, name: &str, offset: u64, detail: impl Into<Box<str>>) -> StorageError {
        StorageError::Damaged { path: self.dir.join(name), offset, detail: detail.into() }
    }

    fn read_file(&mut self, name: &str) -> Result<Vec<u8>, StorageError> {
        let path = self.dir.join(name);
        let result = (self.file_ops.read)(&path);
        self.check_io("read", &path, result)
    }

    /// Reads a file in the format of [`checked_file`]; returns its head and its tail.
    fn read_checked_file<T: DeserializeOwned>(
        &mut self,
        name: &str,
    ) -> Result<(T, Bytes), StorageError> {
        let bytes = self.read_file(name)?;
        let (head, tail_offset) =
            checked_file::decode(&bytes).map_err(|detail| self.damaged(name, 0, detail))?;
        Ok((head, Bytes::from(bytes).slice(tail_offset..)))
    }

    fn read_newest_snapshot(
        &mut self,
        names: &[String],
    ) -> Result<Option<Arc<Snapshot>>, StorageError> {
        let mut snapshots = names.iter().filter(|name| name.starts_with(SNAPSHOT_PREFIX)).rev();
        let Some(newest) = snapshots.next() else { return Ok(None) };
        let (head, data) = self.read_checked_file(newest)?;
        let SnapshotHead { index, term, membership } = head;
        for older in snapshots {
            self.remove_file(self.dir.join(older))?;
        }
        Ok(Some(Arc::new(Snapshot { index, term, membership, data })))
    }

    fn read_segments(&mut self, names: &[String]) -> Result<Vec<Entry>, StorageError> {
        let names: Vec<_> = names.iter().filter(|name| name.starts_with(SEGMENT_PREFIX)).collect();
        let mut entries: Vec<Entry> = Vec::new();
        for (position, name) in names.iter().enumerate() {
            let Ok(first_index) = name[SEGMENT_PREFIX.len()..].parse() else {
                return Err(self.damaged(name, 0, "the file name doesn't contain an index"));
            };
            if entries.last().is_some_and(|last| last.index + 1 != first_index) {
                return Err(self.damaged(name, 0, "the entries before this file are missing"));
            }
            let is_last = position + 1 == names.len();
            self.read_segment(name, first_index, is_last, &mut entries)?;
        }
        Ok(entries)
    }

    fn read_segment(
        &mut self,
        name: &str,
        first_index: Index,
        is_last: bool,
        entries: &mut Vec<Entry>,
    ) -> Result<(), StorageError> {
        let bytes = self.read_file(name)?;
        let mut segment = Segment {
            path: self.dir.join(name),
            first_index,
            record_offsets: Vec::new(),
            size_bytes: 0,
        };
        let mut offset = 0;
        while offset < bytes.len() {
            match record::decode_record(&bytes[offset..]) {
                Ok((entry, size_bytes)) => {
                    let last_term = entries.last().map_or(0, |last| last.term);
                    if entry.index != segment.next_index() || entry.term < last_term {
                        let detail = format!("entry {} is out of order", entry.index);
                        return Err(self.damaged(name, offset as u64, detail));
                    }
                    segment.record_offsets.push(offset as u64);
                    entries.push(entry);
                    offset += size_bytes;
                }
                Err(error) => {
                    self.check_is_torn_tail(
                        name,
                        &bytes,
                        offset,
                        segment.next_index(),
                        is_last,
                        error,
                    )?;
                    break;
                }
            }
        }
        segment.size_bytes = offset as u64;
        self.next_index = segment.next_index();
        self.segments.push(segment);
        if offset < bytes.len() {
            log::warn!(
                "log: removes an incomplete record of {} bytes from {name}",
                bytes.len() - offset
            );
            self.truncate_last_segment(offset as u64)?;
        }
        Ok(())
    }

    /// Checks that an invalid record can result from a crash during the last write; returns an
    /// error for other damage.
    fn check_is_torn_tail(
        &self,
        name: &str,
        bytes: &[u8],
        offset: usize,
        next_index: Index,
        is_last: bool,
        error: RecordError,
    ) -> Result<(), StorageError> {
        if !is_last {
            let detail = format!("{error}, and later files follow");
            return Err(self.damaged(name, offset as u64, detail));
        }
        if let Some(valid) = record::find_valid_record(&bytes[offset + 1..], next_index - 1) {
            let valid = offset + 1 + valid;
            let detail = format!("{error}, and a valid record follows at offset {valid}");
            return Err(self.damaged(name, offset as u64, detail));
        }
        Ok(())
    }

    /// Syncs the last segment, which a killed process may have written without a sync.
    fn sync_last_segment(&mut self) -> Result<(), StorageError> {
        self.open_last_segment()?;
        self.has_unsynced_writes = true;
        self.sync()
    }

    /// Truncates the last segment to `size_bytes` and syncs it.
    fn truncate_last_segment(&mut self, size_bytes: u64) -> Result<(), StorageError> {
        self.open_last_segment()?;
        let (Some(active_file), Some(segment)) = (&mut self.active_file, self.segments.last())
        else {
            return Ok(());
        };
        let path = segment.path.clone();
        let result = (active_file.truncate)(size_bytes);
        let synced = (active_file.sync)();
        self.check_io("truncate", &path, result)?;
        self.check_sync(&path, synced)
    }

    /// Returns the entries that follow the snapshot; removes the log if the snapshot replaced it.
    fn retain_after_snapshot(
        &mut self,
        mut entries: Vec<Entry>,
        snapshot: Option<&Snapshot>,
    ) -> Result<Vec<Entry>, StorageError> {
        let base_index = snapshot.map_or(0, |snapshot| snapshot.index);
        let Some(first) = entries.first() else {
            self.truncate(0)?;
            self.next_index = base_index + 1;
            return Ok(entries);
        };
        if first.index > base_index + 1 {
            let name = super::segment_name(first.index);
            let detail = format!("the entries from {} on are missing", base_index + 1);
            return Err(self.damaged(&name, 0, detail));
        }
        let entry_at_base = entries.iter().find(|entry| entry.index == base_index);
        let follows_snapshot = first.index == base_index + 1
            || entry_at_base.map(|entry| entry.term) == snapshot.map(|snapshot| snapshot.term);
        if !follows_snapshot {
            // A crash happened after a snapshot from the leader was written and before the old log
            // was removed.
            self.truncate(0)?;
            self.next_index = base_index + 1;
            return Ok(Vec::new());
        }
        entries.retain(|entry| entry.index > base_index);
        Ok(entries)
    }
}
