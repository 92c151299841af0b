//! The disk storage of a replica: hard state, log segments and snapshots.

mod checked_file;
mod error;
mod files;
mod open;
mod record;

use std::{
    io,
    path::{Path, PathBuf},
};

use redwinglatch_core::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{DurableState, Effects, Entry, HardState, Index, Membership, Snapshot, Term};

pub use self::{
    error::StorageError,
    files::{FileOps, FolderLock, OpenFile},
    record::{RecordError, decode_record, encode_record},
};

const HARD_STATE_FILE: &str = "hard-state";
const IDENTITY_FILE: &str = "identity";
const TEMPORARY_SUFFIX: &str = ".tmp";
const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The size at which a segment is full and the next one is started.
///
/// It equals the default size of applied entries after which a snapshot is due, so that about one
/// old segment stays on the disk.
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;

/// The head of a snapshot file; the snapshot's data is the tail.
#[derive(Serialize, Deserialize)]
struct SnapshotHead {
    index: Index,
    term: Term,
    membership: Membership,
}

/// A file with the records of consecutive entries.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    first_index: Index,
    /// The offset of each record in the file.
    record_offsets: Vec<u64>,
    size_bytes: u64,
}

impl Segment {
    fn next_index(&self) -> Index {
        self.first_index + self.record_offsets.len() as u64
    }
}

/// The log, hard state and snapshot of one replica in one folder.
///
/// Appended entries are not durable before [`Storage::sync`] has returned. After a failure every
/// call returns [`StorageError::Poisoned`], because the kernel may have dropped pages of a failed
/// sync.
pub struct Storage {
    dir: PathBuf,
    file_ops: FileOps,
    segment_bytes: u64,
    segments: Vec<Segment>,
    /// The open file of the last segment.
    active_file: Option<OpenFile>,
    has_unsynced_writes: bool,
    next_index: Index,
    poisoned: Option<Box<str>>,
    _lock: FolderLock,
}

impl std::fmt::Debug for Storage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Storage")
            .field("dir", &self.dir)
            .field("next_index", &self.next_index)
            .field("poisoned", &self.poisoned)
            .finish_non_exhaustive()
    }
}

impl Storage {
    /// Opens the folder of `replica`, or creates it, and reads its content.
    ///
    /// An incomplete record at the end of the log, left by a crash during a write, is removed.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder belongs to another replica, is in use, is damaged or can't
    /// be read or written.
    pub fn open(
        dir: impl Into<PathBuf>,
        replica: ReplicaId,
    ) -> Result<(Storage, DurableState), StorageError> {
        Storage::open_with(dir, replica, FileOps::os())
    }

    /// Returns whether `dir` contains the storage of a replica.
    ///
    /// A driver that restarts a replica must not open an empty folder: a replica that has lost its
    /// votes and entries could help to elect a leader that lacks committed entries.
    #[must_use]
    pub fn is_initialized(dir: &Path) -> bool {
        dir.join(IDENTITY_FILE).exists()
    }

    /// Like [`Storage::open`], but with the given file operations.
    ///
    /// # Errors
    ///
    /// See [`Storage::open`].
    pub fn open_with(
        dir: impl Into<PathBuf>,
        replica: ReplicaId,
        file_ops: FileOps,
    ) -> Result<(Storage, DurableState), StorageError> {
        open::open(dir.into(), replica, file_ops)
    }

    /// Sets the size at which a segment is full and the next one is started.
    #[must_use]
    pub fn segment_bytes(mut self, segment_bytes: u64) -> Storage {
        self.segment_bytes = segment_bytes;
        self
    }

    /// Performs and syncs the writes in `effects`.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails; the storage is unusable then, and the driver must
    /// call [`Replica::halt`](crate::Replica::halt).
    pub fn save(&mut self, effects: &Effects) -> Result<(), StorageError> {
        if let Some(hard_state) = &effects.hard_state {
            self.write_hard_state(hard_state)?;
        }
        if let Some(snapshot) = &effects.snapshot {
            self.write_snapshot(snapshot)?;
        }
        if let Some(first) = effects.truncate_from {
            self.truncate(first)?;
        }
        if let Some(snapshot) = &effects.snapshot {
            self.remove_before(snapshot.index)?;
        }
        self.append(&effects.append)?;
        self.sync()
    }

    /// Replaces the hard state and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails.
    pub fn write_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.replace_file(HARD_STATE_FILE, hard_state, &[])
    }

    /// Writes a snapshot and syncs it. The log isn't changed.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let Snapshot { index, term, ref membership, ref data } = *snapshot;
        let head = SnapshotHead { index, term, membership: membership.clone() };
        self.replace_file(&snapshot_name(index), &head, data)
    }

    /// Removes the entries from `first` on and syncs the removal.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails.
    pub fn truncate(&mut self, first: Index) -> Result<(), StorageError> {
        self.check_usable()?;
        // Segments are removed from the end, and each removal is synced, so that a crash leaves no gap in the log.
        while let Some(segment) = self.segments.last()
            && segment.first_index >= first
        {
            let path = segment.path.clone();
            self.active_file = None;
            self.remove_file(path)?;
            self.sync_dir()?;
            self.segments.pop();
        }
        if let Some(segment) = self.segments.last_mut()
            && first < segment.next_index()
        {
            let kept = usize::try_from(first - segment.first_index).unwrap_or(usize::MAX);
            let size_bytes = segment.record_offsets[kept];
            segment.record_offsets.truncate(kept);
            segment.size_bytes = size_bytes;
            let path = segment.path.clone();
            self.open_last_segment()?;
            // Synced before anything is appended: if a crash undid the truncation, a torn new
            // record could be followed by an older, valid one, which the next start would reject as
            // damage.
            if let Some(active_file) = &mut self.active_file {
                let result = (active_file.truncate)(size_bytes);
                let synced = (active_file.sync)();
                self.check_io("truncate", &path, result)?;
                self.check_sync(&path, synced)?;
            }
        }
        self.next_index = self.next_index.min(first);
        Ok(())
    }

    /// Removes the snapshots before `index` and the segments that contain no entry from `index` on.
    ///
    /// The segment with the entry at `index` stays, so that the next start can compare its term
    /// with the snapshot's.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails.
    pub fn remove_before(&mut self, index: Index) -> Result<(), StorageError> {
        self.check_usable()?;
        let newest = snapshot_name(index);
        let result = (self.file_ops.list)(&self.dir);
        let names = self.check_io("list", &self.dir.clone(), result)?;
        for name in names {
            if name.starts_with(SNAPSHOT_PREFIX) && name < newest {
                self.remove_file(self.dir.join(name))?;
            }
        }
        // A snapshot beyond the end of the log has replaced the log.
        if self.next_index <= index && self.segments.is_empty() {
            self.next_index = index + 1;
        }
        while self.segments.len() > 1 && self.segments[0].next_index() <= index {
            let path = self.segments[0].path.clone();
            self.remove_file(path)?;
            // A power loss may undo each removal that isn't synced, and leave a gap in the log.
            self.sync_dir()?;
            self.segments.remove(0);
        }
        self.sync_dir()
    }

    /// Appends `entries`; they are durable once [`Storage::sync`] has returned.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails or the indexes of `entries` don't continue the log.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.check_usable()?;
        let mut buffer = Vec::new();
        for entry in entries {
            if entry.index != self.next_index {
                return Err(StorageError::Gap { expected: self.next_index, found: entry.index });
            }
            if self.segments.last().is_none_or(|last| last.size_bytes >= self.segment_bytes) {
                self.write_buffer(&mut buffer)?;
                self.start_segment(entry.index)?;
            }
            let start = buffer.len();
            encode_record(entry, &mut buffer);
            if let Some(segment) = self.segments.last_mut() {
                segment.record_offsets.push(segment.size_bytes);
                segment.size_bytes += (buffer.len() - start) as u64;
            }
            self.next_index += 1;
        }
        self.write_buffer(&mut buffer)
    }

    /// Makes all appended entries durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails. A failed sync is never repeated.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        if !std::mem::take(&mut self.has_unsynced_writes) {
            return Ok(());
        }
        let (Some(active_file), Some(segment)) = (&mut self.active_file, self.segments.last())
        else {
            return Ok(());
        };
        let path = segment.path.clone();
        let result = (active_file.sync)();
        self.check_sync(&path, result)
    }

    fn write_buffer(&mut self, buffer: &mut Vec<u8>) -> Result<(), StorageError> {
        if buffer.is_empty() {
            return Ok(());
        }
        self.open_last_segment()?;
        let (Some(active_file), Some(segment)) = (&mut self.active_file, self.segments.last())
        else {
            return Ok(());
        };
        self.has_unsynced_writes = true;
        let path = segment.path.clone();
        let result = (active_file.write)(buffer);
        buffer.clear();
        self.check_io("write", &path, result)
    }

    /// Starts a new segment.
    ///
    /// The current segment is synced before, so that only the last one can have a torn record.
    fn start_segment(&mut self, first_index: Index) -> Result<(), StorageError> {
        self.sync()?;
        let path = self.dir.join(segment_name(first_index));
        let segment = Segment { path, first_index, record_offsets: Vec::new(), size_bytes: 0 };
        self.segments.push(segment);
        self.active_file = None;
        self.open_last_segment()?;
        self.sync_dir()
    }

    fn open_last_segment(&mut self) -> Result<(), StorageError> {
        if self.active_file.is_some() {
            return Ok(());
        }
        let Some(segment) = self.segments.last() else { return Ok(()) };
        let path = segment.path.clone();
        let result = (self.file_ops.open)(&path);
        self.active_file = Some(self.check_io("open", &path, result)?);
        Ok(())
    }

    /// Replaces a file atomically: a crash leaves either the old or the new content.
    fn replace_file<T: Serialize>(
        &mut self,
        name: &str,
        head: &T,
        tail: &[u8],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        let path = self.dir.join(name);
        let temporary = self.dir.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let result = checked_file::encode(head, tail).map_err(io::Error::other);
        let bytes = self.check_io("encode", &path, result)?;
        let result = (self.file_ops.open)(&temporary);
        let mut file = self.check_io("create", &temporary, result)?;
        let result = (file.truncate)(0).and_then(|()| (file.write)(&bytes));
        self.check_io("write", &temporary, result)?;
        let result = (file.sync)();
        self.check_sync(&temporary, result)?;
        let result = (self.file_ops.rename)(&temporary, &path);
        self.check_io("rename", &temporary, result)?;
        self.sync_dir()
    }

    fn remove_file(&mut self, path: PathBuf) -> Result<(), StorageError> {
        let result = (self.file_ops.remove)(&path);
        self.check_io("remove", &path, result)
    }

    fn sync_dir(&mut self) -> Result<(), StorageError> {
        let dir = self.dir.clone();
        let result = (self.file_ops.sync_dir)(&dir);
        self.check_sync(&dir, result)
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        match &self.poisoned {
            Some(cause) => Err(StorageError::Poisoned { cause: cause.clone() }),
            None => Ok(()),
        }
    }

    fn check_io<T>(
        &mut self,
        operation: &'static str,
        path: &Path,
        result: io::Result<T>,
    ) -> Result<T, StorageError> {
        result.map_err(|source| {
            let path = path.to_owned();
            let error = match source.kind() {
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                    StorageError::DiskFull { operation, path, source }
                }
                _ => StorageError::Io { operation, path, source },
            };
            self.poison(error)
        })
    }

    fn check_sync(&mut self, path: &Path, result: io::Result<()>) -> Result<(), StorageError> {
        result.map_err(|source| {
            let path = path.to_owned();
            self.poison(StorageError::SyncFailed { path, source })
        })
    }

    fn poison(&mut self, error: StorageError) -> StorageError {
        log::error!("log: {error}");
        self.poisoned.get_or_insert_with(|| error.to_string().into());
        error
    }
}

fn segment_name(first_index: Index) -> String {
    format!("{SEGMENT_PREFIX}{first_index:020}")
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}
