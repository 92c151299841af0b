//! The errors of the storage.

use std::{io, path::PathBuf};

use redwinglatch_core::ReplicaId;
use thiserror::Error;

use crate::Index;

/// The error of a storage operation.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The folder belongs to another replica.
    #[error(
        "folder {} belongs to replica {found}, not to replica {expected}; use another folder or \
         correct the replica id", .dir.display()
    )]
    OtherReplica {
        /// The path of the folder.
        dir: PathBuf,
        /// The replica that owns the folder.
        found: ReplicaId,
        /// The replica that tried to open it.
        expected: ReplicaId,
    },
    /// Another process uses the folder.
    #[error("folder {} is in use by another process; stop that process first", .dir.display())]
    InUse {
        /// The path of the folder.
        dir: PathBuf,
    },
    /// A file is missing or its content is not what was synced to it.
    #[error(
        "file {} is damaged at offset {offset}: {detail}; replace this replica by one with a new \
         id and an empty folder", .path.display()
    )]
    Damaged {
        /// The path of the file.
        path: PathBuf,
        /// The offset at which the damage begins.
        offset: u64,
        /// A description of the damage.
        detail: Box<str>,
    },
    /// No space is left on the disk; all further operations fail.
    #[error(
        "no space left to {operation} {}; free disk space and restart the process", .path.display()
    )]
    DiskFull {
        /// The operation that failed.
        operation: &'static str,
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sync failed, so written data may be lost; all further operations fail.
    #[error("the sync of {} failed; check the disk and restart the process", .path.display())]
    SyncFailed {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another operation failed; all further operations fail.
    #[error("can't {operation} {}; check the folder and restart the process", .path.display())]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The storage is unusable because an earlier operation failed.
    #[error("the storage is unusable after an earlier failure ({cause}); restart the process")]
    Poisoned {
        /// The message of the earlier error.
        cause: Box<str>,
    },
    /// The entry's index doesn't continue the log.
    #[error("the log's next index is {expected}, but the appended entry has index {found}")]
    Gap {
        /// The log's next index.
        expected: Index,
        /// The index of the appended entry.
        found: Index,
    },
}
