//! The disk storage of a replica.

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

/// A new segment is started once the last one has this size; it equals the size of the log at
/// which a snapshot is due, so that about one old segment stays on the disk.
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;

/// The head of a snapshot file; the state machine's data is the tail.
#[derive(Serialize, Deserialize)]
struct SnapshotHead {
    index: Index,
    term: Term,
    membership: Membership,
}

/// A file with consecutive records.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    first_index: Index,
    /// The offset of each record.
    offsets: Vec<u64>,
    size_bytes: u64,
}

impl Segment {
    fn next_index(&self) -> Index {
        self.first_index + self.offsets.len() as u64
    }
}

/// The log, hard state and snapshot of one replica in one folder.
///
/// Nothing counts as stored before [`Storage::sync`] returned. After a failure every call returns
/// [`StorageError::Poisoned`], because the kernel may have dropped pages of a failed sync.
pub struct Storage {
    dir: PathBuf,
    files: FileOps,
    segment_bytes: u64,
    segments: Vec<Segment>,
    /// The last segment, open for writes.
    active: Option<OpenFile>,
    unsynced: bool,
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
    /// Opens the folder of `replica`, or creates it, and reads what it holds.
    ///
    /// A record that was being written when the process stopped is removed.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder belongs to another replica, is in use, is damaged or can't
    /// be read.
    pub fn open(
        dir: impl Into<PathBuf>,
        replica: ReplicaId,
    ) -> Result<(Storage, DurableState), StorageError> {
        Storage::open_with(dir, replica, FileOps::os())
    }

    /// Whether a replica has been created in `dir`.
    ///
    /// A driver that expects a replica must not open an empty folder: a replica that forgot its
    /// votes and entries could help to elect a leader that lacks committed entries.
    #[must_use]
    pub fn is_initialized(dir: &Path) -> bool {
        dir.join(IDENTITY_FILE).exists()
    }

    /// Like [`Storage::open`] with other file operations.
    ///
    /// # Errors
    ///
    /// See [`Storage::open`].
    pub fn open_with(
        dir: impl Into<PathBuf>,
        replica: ReplicaId,
        files: FileOps,
    ) -> Result<(Storage, DurableState), StorageError> {
        open::open(dir.into(), replica, files)
    }

    /// Sets the size at which a new segment is started.
    #[must_use]
    pub fn segment_bytes(mut self, segment_bytes: u64) -> Storage {
        self.segment_bytes = segment_bytes;
        self
    }

    /// Writes and syncs everything that `effects` asks for.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails; the storage is poisoned then, and the driver calls
    /// [`Replica::halt`](crate::Replica::halt).
    pub fn save(&mut self, effects: &Effects) -> Result<(), StorageError> {
        if let Some(hard_state) = &effects.hard_state {
            self.write_hard_state(hard_state)?;
        }
        if let Some(snapshot) = &effects.snapshot {
            self.write_snapshot(snapshot)?;
        }
        if let Some(first) = effects.truncate {
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

    /// Writes a snapshot and syncs it. The log stays as it is.
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
        // From the end, so that a crash leaves a log without a gap.
        while let Some(segment) = self.segments.last()
            && segment.first_index >= first
        {
            let path = segment.path.clone();
            self.active = None;
            self.remove_file(path)?;
            self.segments.pop();
        }
        self.sync_dir()?;
        if let Some(segment) = self.segments.last_mut()
            && first < segment.next_index()
        {
            let kept = usize::try_from(first - segment.first_index).unwrap_or(usize::MAX);
            let size_bytes = segment.offsets[kept];
            segment.offsets.truncate(kept);
            segment.size_bytes = size_bytes;
            let path = segment.path.clone();
            self.open_last()?;
            // Synced at once: a torn record must never be followed by an older, valid one.
            if let Some(active) = &mut self.active {
                let result = (active.truncate)(size_bytes);
                let synced = (active.sync)();
                self.check("truncate", &path, result)?;
                self.check_sync(&path, synced)?;
            }
        }
        self.next_index = self.next_index.min(first);
        Ok(())
    }

    /// Removes older snapshots and the segments that hold no entry from `index` on.
    ///
    /// The segment with the entry at `index` stays, so that a start can compare its term with
    /// the snapshot's.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails.
    pub fn remove_before(&mut self, index: Index) -> Result<(), StorageError> {
        self.check_usable()?;
        let newest = snapshot_name(index);
        let result = (self.files.list)(&self.dir);
        let names = self.check("list", &self.dir.clone(), result)?;
        for name in names {
            if name.starts_with(SNAPSHOT_PREFIX) && name < newest {
                self.remove_file(self.dir.join(name))?;
            }
        }
        // The log was replaced by a snapshot beyond its end.
        if self.next_index <= index && self.segments.is_empty() {
            self.next_index = index + 1;
        }
        while self.segments.len() > 1 && self.segments[0].next_index() <= index {
            let path = self.segments[0].path.clone();
            self.remove_file(path)?;
            self.segments.remove(0);
        }
        self.sync_dir()
    }

    /// Appends `entries`; they are stored once [`Storage::sync`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails or `entries` don't follow the log.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.check_usable()?;
        let mut buffer = Vec::new();
        for entry in entries {
            if entry.index != self.next_index {
                return Err(StorageError::Gap { expected: self.next_index, found: entry.index });
            }
            if self.segments.last().is_none_or(|last| last.size_bytes >= self.segment_bytes) {
                self.write(&mut buffer)?;
                self.start_segment(entry.index)?;
            }
            let start = buffer.len();
            encode_record(entry, &mut buffer);
            if let Some(segment) = self.segments.last_mut() {
                segment.offsets.push(segment.size_bytes);
                segment.size_bytes += (buffer.len() - start) as u64;
            }
            self.next_index += 1;
        }
        self.write(&mut buffer)
    }

    /// Makes all appended entries durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails. It is never repeated.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        if !std::mem::take(&mut self.unsynced) {
            return Ok(());
        }
        let (Some(active), Some(segment)) = (&mut self.active, self.segments.last()) else {
            return Ok(());
        };
        let path = segment.path.clone();
        let result = (active.sync)();
        self.check_sync(&path, result)
    }

    fn write(&mut self, buffer: &mut Vec<u8>) -> Result<(), StorageError> {
        if buffer.is_empty() {
            return Ok(());
        }
        self.open_last()?;
        let (Some(active), Some(segment)) = (&mut self.active, self.segments.last()) else {
            return Ok(());
        };
        self.unsynced = true;
        let path = segment.path.clone();
        let result = (active.write)(buffer);
        buffer.clear();
        self.check("write", &path, result)
    }

    /// Syncs the last segment before a new one is created, so that only the last one can be torn.
    fn start_segment(&mut self, first_index: Index) -> Result<(), StorageError> {
        self.sync()?;
        let path = self.dir.join(segment_name(first_index));
        let segment = Segment { path, first_index, offsets: Vec::new(), size_bytes: 0 };
        self.segments.push(segment);
        self.active = None;
        self.open_last()?;
        self.sync_dir()
    }

    fn open_last(&mut self) -> Result<(), StorageError> {
        if self.active.is_some() {
            return Ok(());
        }
        let Some(segment) = self.segments.last() else { return Ok(()) };
        let path = segment.path.clone();
        let result = (self.files.open)(&path);
        self.active = Some(self.check("open", &path, result)?);
        Ok(())
    }

    /// Replaces a file so that a crash leaves either the old or the new content.
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
        let bytes = self.check("encode", &path, result)?;
        let result = (self.files.open)(&temporary);
        let mut file = self.check("create", &temporary, result)?;
        let result = (file.truncate)(0).and_then(|()| (file.write)(&bytes));
        self.check("write", &temporary, result)?;
        let result = (file.sync)();
        self.check_sync(&temporary, result)?;
        let result = (self.files.rename)(&temporary, &path);
        self.check("rename", &temporary, result)?;
        self.sync_dir()
    }

    fn remove_file(&mut self, path: PathBuf) -> Result<(), StorageError> {
        let result = (self.files.remove)(&path);
        self.check("remove", &path, result)
    }

    fn sync_dir(&mut self) -> Result<(), StorageError> {
        let dir = self.dir.clone();
        let result = (self.files.sync_dir)(&dir);
        self.check_sync(&dir, result)
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        match &self.poisoned {
            Some(cause) => Err(StorageError::Poisoned { cause: cause.clone() }),
            None => Ok(()),
        }
    }

    fn check<T>(
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
