//! Errors of the storage.

use std::{io, path::PathBuf};

use redwinglatch_core::ReplicaId;
use thiserror::Error;

use crate::Index;

/// Why the storage failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The folder belongs to another replica.
    #[error(
        "folder {} belongs to replica {found}, not to replica {expected}; use another folder or \
         correct the replica id", .dir.display()
    )]
    OtherReplica {
        /// The folder.
        dir: PathBuf,
        /// The replica that owns the folder.
        found: ReplicaId,
        /// The replica that tried to open it.
        expected: ReplicaId,
    },
    /// Another process uses the folder.
    #[error("folder {} is in use by another process; stop that process first", .dir.display())]
    InUse {
        /// The folder.
        dir: PathBuf,
    },
    /// A file holds something else than what was synced to it.
    #[error(
        "file {} is damaged at offset {offset}: {detail}; replace this replica by one with a new \
         id and an empty folder", .path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        detail: Box<str>,
    },
    /// No space is left; the storage refuses everything from now on.
    #[error("no space left to {operation} {}; free space and restart the process", .path.display())]
    DiskFull {
        /// The operation.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A sync failed, so what was written may be lost; the storage refuses everything from now on.
    #[error("the sync of {} failed; check the disk and restart the process", .path.display())]
    SyncFailed {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another operation failed; the storage refuses everything from now on.
    #[error("can't {operation} {}; check the folder and restart the process", .path.display())]
    Io {
        /// The operation.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// An earlier operation failed.
    #[error("the storage failed before ({cause}); restart the process")]
    Poisoned {
        /// The earlier failure.
        cause: Box<str>,
    },
    /// The entry doesn't follow the last one.
    #[error("entry {found} doesn't follow the log, which expects {expected}")]
    Gap {
        /// The index that would follow.
        expected: Index,
        /// The index of the entry.
        found: Index,
    },
}
